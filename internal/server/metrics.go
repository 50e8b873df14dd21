package server

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"olivedale/internal/admission"
	"olivedale/internal/backend"
	"olivedale/internal/call"
	"olivedale/internal/codec/h248"
)

// otherClasses is the name under which calls of unconfigured classes are counted.
const otherClasses = "(others)"

// maxAuditedServers bounds the exchanges in an audit reply, because a reply is a single message of at most 16 KiB.
const maxAuditedServers = 64

// metrics counts calls by class and by exchange for audits on the admin address. It exists only if that address is
// configured, and forwards all events to the recorder, if any. Its size depends on the configured classes and the known
// exchanges, not on the input of callers. A nil *metrics is disabled.
type metrics struct {
	server  *Server
	next    call.Observer // nil if there is none
	classes []classStats  // the configured classes, then otherClasses
}

var _ call.Observer = (*metrics)(nil)

// classStats holds the counters of one class.
type classStats struct {
	name             string
	latencyObjective time.Duration
	offered          int
	established      int
	late             int // established, but later than the objective
	rejected         int
	failed           int
	abandoned        int
	dropped          int
	attempts         int
}

func newMetrics(s *Server, next call.Observer) *metrics {
	m := &metrics{server: s, next: next}
	for _, c := range s.cfg.Settings.Classes {
		m.classes = append(m.classes, classStats{name: c.Name, latencyObjective: c.LatencyObjective})
	}
	m.classes = append(m.classes, classStats{name: otherClasses, latencyObjective: math.MaxInt64})
	return m
}

// class returns the counters of a class, or those of otherClasses if the class is not configured.
func (m *metrics) class(name string) *classStats {
	for i := range m.classes {
		if m.classes[i].name == name {
			return &m.classes[i]
		}
	}
	return &m.classes[len(m.classes)-1]
}

// backend returns the counters of an exchange. For an unknown exchange it returns counters that nobody reads.
func (m *metrics) backend(id string) *backend.Stats {
	if c := m.server.backends.Get(id); c != nil {
		return &c.Stats
	}
	return &backend.Stats{}
}

// CallOffered implements call.Observer.
func (m *metrics) CallOffered(now call.Time, r *call.Request) {
	m.class(r.Class).offered++
	if m.next != nil {
		m.next.CallOffered(now, r)
	}
}

// Decided implements call.Observer.
func (m *metrics) Decided(now call.Time, d *admission.Decision) {
	if m.next != nil {
		m.next.Decided(now, d)
	}
}

// AttemptStarted implements call.Observer.
func (m *metrics) AttemptStarted(now call.Time, server string, s *call.Setup) {
	m.class(s.Class).attempts++
	m.backend(server).Attempts++
	if m.next != nil {
		m.next.AttemptStarted(now, server, s)
	}
}

// AttemptEnded implements call.Observer.
func (m *metrics) AttemptEnded(now call.Time, server, id string, attempt int, e call.AttemptEnd, took time.Duration) {
	if m.next != nil {
		m.next.AttemptEnded(now, server, id, attempt, e, took)
	}
}

// CallAnswered implements call.Observer.
func (m *metrics) CallAnswered(now call.Time, a *call.Answer) {
	c := m.class(a.Class)
	switch a.Outcome {
	case call.Established:
		c.established++
		if a.Elapsed > c.latencyObjective {
			c.late++
		}
		m.backend(a.Server).Established++
	case call.Rejected, call.RejectedOverLimit, call.RejectedShuttingDown, call.RejectedByPolicy:
		c.rejected++
	case call.Abandoned:
		c.abandoned++
	default:
		c.failed++
	}
	if m.next != nil {
		m.next.CallAnswered(now, a)
	}
}

// CallReleased implements call.Observer.
func (m *metrics) CallReleased(now call.Time, r *call.ReleaseEvent) {
	if r.End == call.EndedByFault || r.End == call.BackendLost {
		m.class(r.Class).dropped++
		m.backend(r.Server).Dropped++
	}
	if m.next != nil {
		m.next.CallReleased(now, r)
	}
}

// LimitReached implements call.Observer.
func (m *metrics) LimitReached(now call.Time, l call.LimitEvent, id string) {
	if m.next != nil {
		m.next.LimitReached(now, l, id)
	}
}

// rateLimitChanged stores the rate limit of an exchange. +Inf means no limit.
func (m *metrics) rateLimitChanged(c admission.RateLimitChanged) {
	if m == nil {
		return
	}
	stats := m.backend(c.Server)
	stats.RateLimit = c.AttemptsPerSecond
	if math.IsInf(c.AttemptsPerSecond, 1) {
		stats.RateLimit = 0
	}
}

// A statistic is one named value in an audit reply.
type statistic struct{ name, value string }

// auditNode returns a node with the given statistics. Statistics without a value are omitted.
func auditNode(kind string, statistics []statistic) *h248.Node {
	n := &h248.Node{Name: kind}
	for _, s := range statistics {
		if s.value != "" {
			n.Children = append(n.Children, &h248.Node{Name: "oc/" + s.name, Value: s.value, Quoted: s.name == "name"})
		}
	}
	return n
}

// audit returns the metrics by class and by exchange. If there are more exchanges than fit, it prefers those with a
// rate limit and then the busiest.
func (m *metrics) audit() (nodes []*h248.Node) {
	for i := range m.classes {
		c := &m.classes[i]
		if c.offered == 0 && c.name == otherClasses {
			continue
		}
		nodes = append(nodes, c.audit())
	}
	all := slices.SortedFunc(m.server.backends.All(), compareForAudit)
	for _, c := range all[:min(len(all), maxAuditedServers)] {
		nodes = append(nodes, m.auditBackend(c))
	}
	return nodes
}

// compareForAudit orders exchanges with a rate limit first, then by descending number of attempts, then by id.
func compareForAudit(a, b *backend.Conn) int {
	switch aLimited, bLimited := a.Stats.RateLimit > 0, b.Stats.RateLimit > 0; {
	case aLimited && !bLimited:
		return -1
	case bLimited && !aLimited:
		return 1
	}
	return cmp.Or(cmp.Compare(b.Stats.Attempts, a.Stats.Attempts), cmp.Compare(a.ID(), b.ID()))
}

func (c *classStats) audit() *h248.Node {
	return auditNode("oc/class", []statistic{
		{"name", c.name},
		{"requests", strconv.Itoa(c.offered)},
		{"stood", strconv.Itoa(c.established)},
		{"late", strconv.Itoa(c.late)},
		{"refused", strconv.Itoa(c.rejected)},
		{"failed", strconv.Itoa(c.failed)},
		{"givenup", strconv.Itoa(c.abandoned)},
		{"cut", strconv.Itoa(c.dropped)},
		{"attempts", strconv.Itoa(c.attempts)},
	})
}

func (m *metrics) auditBackend(c *backend.Conn) *h248.Node {
	phase, slowStart, rateLimit := "listed", "", ""
	if c.IsDraining() {
		phase = "drains"
	}
	age := m.server.loop.Now() - c.StartedAt
	if c.StartedAt > 0 && age < m.server.cfg.Settings.SlowStartPeriod {
		slowStart = "1"
	}
	if c.Stats.RateLimit > 0 {
		rateLimit = strconv.FormatFloat(c.Stats.RateLimit, 'f', 2, 64)
	}
	return auditNode("oc/server", []statistic{
		{"name", c.ID()},
		{"pool", strconv.Itoa(c.Pool())},
		{"phase", phase},
		{"cold", slowStart},
		{"ceiling", rateLimit},
		{"attempts", strconv.Itoa(c.Stats.Attempts)},
		{"stood", strconv.Itoa(c.Stats.Established)},
		{"cut", strconv.Itoa(c.Stats.Dropped)},
	})
}
