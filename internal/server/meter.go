package server

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"olivedale/internal/admission"
	"olivedale/internal/call"
	"olivedale/internal/codec/h248"
)

// A meter counts calls by class and by server for those who ask on the admin address. It is
// there only where that address is, and passes on to the recorder where there is one. Its
// tables grow with the configured classes and the links, not with what callers send.
type meter struct {
	n       *Node
	next    call.Observer // nil: none
	classes []classMeter  // as configured; the last is for all others
}

type classMeter struct {
	name                                                       string
	aim                                                        time.Duration
	offered, stood, late, refused, failed, givenUp, cut, tries int
}

// A serverMeter is a link's.
type serverMeter struct {
	tries, stood, cut int
	ceiling           float64 // set-ups a second; 0 stands for none
	started           time.Duration
}

func newMeter(n *Node, next call.Observer) *meter {
	m := &meter{n: n, next: next}
	for _, k := range n.cfg.Settings.Classes {
		m.classes = append(m.classes, classMeter{name: k.Name, aim: k.LatencyObjective})
	}
	m.classes = append(m.classes, classMeter{name: "(others)", aim: math.MaxInt64})
	return m
}

func (m *meter) class(name string) *classMeter {
	for i := range m.classes {
		if m.classes[i].name == name {
			return &m.classes[i]
		}
	}
	return &m.classes[len(m.classes)-1]
}

// server is the account of a server that there is a link to; what is counted for others is lost.
func (m *meter) server(id string) *serverMeter {
	if l := m.n.links[id]; l != nil {
		return &l.meter
	}
	return &serverMeter{}
}

// CallOffered implements call.Observer.
func (m *meter) CallOffered(now call.Time, r *call.Request) {
	m.class(r.Class).offered++
	if m.next != nil {
		m.next.CallOffered(now, r)
	}
}

// Decided implements call.Observer.
func (m *meter) Decided(now call.Time, o *admission.Decision) {
	if m.next != nil {
		m.next.Decided(now, o)
	}
}

// AttemptStarted implements call.Observer.
func (m *meter) AttemptStarted(now call.Time, server string, s *call.Setup) {
	m.class(s.Class).tries++
	m.server(server).tries++
	if m.next != nil {
		m.next.AttemptStarted(now, server, s)
	}
}

// AttemptEnded implements call.Observer.
func (m *meter) AttemptEnded(now call.Time, server, id string, attempt int, e call.AttemptEnd, took time.Duration) {
	if m.next != nil {
		m.next.AttemptEnded(now, server, id, attempt, e, took)
	}
}

// CallAnswered implements call.Observer.
func (m *meter) CallAnswered(now call.Time, a *call.Answer) {
	k := m.class(a.Class)
	switch a.Outcome {
	case call.Established:
		k.stood++
		if a.Elapsed > k.aim {
			k.late++
		}
		m.server(a.Server).stood++
	case call.Rejected, call.RejectedOverLimit, call.RejectedShuttingDown, call.RejectedByPolicy:
		k.refused++
	case call.Abandoned:
		k.givenUp++
	default:
		k.failed++
	}
	if m.next != nil {
		m.next.CallAnswered(now, a)
	}
}

// CallReleased implements call.Observer.
func (m *meter) CallReleased(now call.Time, r *call.Release) {
	if r.End == call.EndedByFault || r.End == call.BackendLost {
		m.class(r.Class).cut++
		m.server(r.Server).cut++
	}
	if m.next != nil {
		m.next.CallReleased(now, r)
	}
}

// LimitReached implements call.Observer.
func (m *meter) LimitReached(now call.Time, l call.Limit, id string) {
	if m.next != nil {
		m.next.LimitReached(now, l, id)
	}
}

// ceiling notes what the module says of a server.
func (m *meter) ceiling(c admission.RateLimitChanged) {
	if m == nil {
		return
	}
	s := m.server(c.Server)
	if s.ceiling = c.AttemptsPerSecond; math.IsInf(c.AttemptsPerSecond, 1) {
		s.ceiling = 0
	}
}

// mostAudited bounds the servers of one reply, which is one message of 16 KiB at most.
const mostAudited = 64

// audit is what the meter knows, as statistics: by class, and by server, those under pressure
// and the busiest first.
func (m *meter) audit() (all []*h248.Node) {
	node := func(kind string, text map[string]string, order []string) {
		n := &h248.Node{Name: kind}
		for _, name := range order {
			if v := text[name]; v != "" {
				n.Kids = append(n.Kids, &h248.Node{Name: "oc/" + name, Value: v, Quoted: name == "name"})
			}
		}
		all = append(all, n)
	}
	for _, k := range m.classes {
		if k.offered == 0 && k.name == "(others)" {
			continue
		}
		node("oc/class", map[string]string{"name": k.name, "requests": strconv.Itoa(k.offered), "stood": strconv.Itoa(k.stood), "late": strconv.Itoa(k.late),
			"refused": strconv.Itoa(k.refused), "failed": strconv.Itoa(k.failed), "givenup": strconv.Itoa(k.givenUp), "cut": strconv.Itoa(k.cut), "attempts": strconv.Itoa(k.tries)},
			[]string{"name", "requests", "stood", "late", "refused", "failed", "givenup", "cut", "attempts"})
	}
	links := make([]*link, 0, len(m.n.links))
	for _, l := range m.n.links {
		links = append(links, l)
	}
	slices.SortFunc(links, func(a, b *link) int {
		pressed := func(l *link) int {
			if l.meter.ceiling > 0 {
				return 0
			}
			return 1
		}
		return cmp.Or(cmp.Compare(pressed(a), pressed(b)), cmp.Compare(b.meter.tries, a.meter.tries), cmp.Compare(a.id, b.id))
	})
	for _, l := range links[:min(len(links), mostAudited)] {
		text := map[string]string{"name": l.id, "pool": strconv.Itoa(l.pool), "phase": "listed", "attempts": strconv.Itoa(l.meter.tries),
			"stood": strconv.Itoa(l.meter.stood), "cut": strconv.Itoa(l.meter.cut)}
		if l.draining {
			text["phase"] = "drains"
		}
		if l.meter.ceiling > 0 {
			text["ceiling"] = strconv.FormatFloat(l.meter.ceiling, 'f', 2, 64)
		}
		if started := l.meter.started; started > 0 && m.n.now()-started < m.n.cfg.Settings.SlowStartPeriod {
			text["cold"] = "1"
		}
		node("oc/server", text, []string{"name", "pool", "phase", "cold", "ceiling", "attempts", "stood", "cut"})
	}
	return all
}

var _ call.Observer = (*meter)(nil)
