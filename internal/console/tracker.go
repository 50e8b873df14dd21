package console

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"olivedale/internal/record"
)

// Bounds of what a tracker keeps.
const (
	mostEvents    = 200
	mostCalls     = 500 // lives of calls, the latest
	mostLines     = 24  // of one life
	mostServers   = 1024
	mostClasses   = 64
	mostInstances = 4096
)

// A tracker follows records and always knows the state of the fleet that they tell of.
type tracker struct {
	at     record.Time
	by     map[string]*tracked
	order  []string
	events []Event
	calls  map[string]*Call // by instance and id
	queue  []string         // of them, in the order they came
}

// tracked is one instance.
type tracked struct {
	Instance
	boot    uint64
	at      record.Time
	gap     record.Time // the last gap ended
	aims    map[string]time.Duration
	open    map[string]string // class by call
	classes map[string]*Class
	servers map[string]*Server
}

func newTracker() *tracker {
	return &tracker{by: make(map[string]*tracked), calls: make(map[string]*Call)}
}

// take follows one record.
func (t *tracker) take(h *record.Header, r *record.Record) {
	name := h.Name
	k := t.by[name]
	if k == nil {
		if len(t.by) >= mostInstances {
			return
		}
		k = &tracked{Instance: Instance{Name: name, State: StateRunning}, aims: make(map[string]time.Duration)}
		t.by[name] = k
		t.order = append(t.order, name)
	}
	if k.boot != h.Boot {
		if k.boot != 0 && k.State != StateEnded {
			t.event(r, name, "", "ended without a word", "it has started anew", true)
		}
		k.boot, k.State, k.Total, k.Standing = h.Boot, StateRunning, Counts{}, 0
		k.Starts++
		k.open, k.classes, k.servers = make(map[string]string), make(map[string]*Class), make(map[string]*Server)
	}
	k.at = max(k.at, r.At)
	t.at = max(t.at, r.At)
	t.follow(k, r)
	if r.Call != "" {
		t.life(k, h, r)
	}
}

func (t *tracker) follow(k *tracked, r *record.Record) {
	switch r.Kind {
	case record.KindGap:
		k.Lost += r.Lost()
		k.gap = r.At
		t.event(r, k.Name, "", "records lost", fmt.Sprintf("%d to %d: %v", r.From, r.Seq, record.GapCause(r.Code)), true)
	case record.KindStart:
		t.event(r, k.Name, "", "start", r.Text, false)
	case record.KindStopping:
		k.State = StateStopping
		t.event(r, k.Name, "", "stopping", "SIGTERM", false)
	case record.KindEnd:
		k.State = StateEnded
		t.event(r, k.Name, "", "end", "in good order", false)
	case record.KindConfig:
		if r.By == "class" && len(k.aims) < mostClasses {
			k.aims[r.Class] = r.Wait
		}
		if r.By == "numbers" {
			digest, _, _ := strings.Cut(r.Text, " ")
			if k.Numbers != "" && k.Numbers != digest {
				t.event(r, k.Name, "", "numbers", "table "+brief(digest)+" is in force", false)
			}
			k.Numbers = digest
		}
	case record.KindSetUp:
		if len(k.open) < 1<<18 {
			k.open[r.Call] = r.Class
		}
		k.Total.Offered++
		k.class(r.Class).Offered++
	case record.KindTry:
		k.Total.Tries++
		if class, ok := k.open[r.Call]; ok {
			k.class(class).Tries++
		}
		k.server(r.Server).Tries++
	case record.KindAnswer:
		k.answer(r)
	case record.KindRelease:
		k.Standing = max(k.Standing-1, 0)
		if r.End == "cut" || r.End == "exchange_lost" {
			k.Total.Cut++
			k.class(r.Class).Cut++
			k.server(r.Server).Cut++
		}
	case record.KindServer:
		s := k.server(r.Server)
		phase := record.Phase(r.Code).String()
		if s.Phase != phase && (s.Phase != "" || phase != "listed") {
			t.event(r, k.Name, r.Server, phase, "", false)
		}
		s.Phase, s.Pool, s.Cold = phase, r.Pool, r.Flag
		if r.Flag {
			t.event(r, k.Name, r.Server, "cold start", "", false)
		}
	case record.KindCeiling:
		s := k.server(r.Server)
		was := s.Ceiling
		s.Ceiling = r.Value
		switch none := math.IsInf(r.Value, 1); {
		case math.IsInf(was, 1) && !none:
			t.event(r, k.Name, r.Server, "under pressure", fmt.Sprintf("ceiling %.1f/s (%s)", r.Value, r.Text), true)
		case !math.IsInf(was, 1) && none:
			t.event(r, k.Name, r.Server, "pressure over", r.Text, false)
		}
	case record.KindLimit:
		t.event(r, k.Name, "", "limit", fmt.Sprintf("%s: %d", r.By, r.Count), false)
	case record.KindClock:
		if r.By == "" && r.T[1] != 0 {
			if off := time.Duration(r.T[0] - r.T[1]); off > time.Second || off < -time.Second {
				t.event(r, k.Name, "", "clock set", off.Round(time.Millisecond).String(), true)
			}
		}
	}
}

func (k *tracked) answer(r *record.Record) {
	delete(k.open, r.Call)
	c := k.class(r.Class)
	count := func(f func(*Counts) *uint64) {
		*f(&k.Total)++
		*f(&c.Counts)++
	}
	switch record.Outcome(r.Code) {
	case record.Stood:
		count(func(c *Counts) *uint64 { return &c.Stood })
		k.server(r.Server).Stood++
		k.Standing++
		if aim, ok := k.aims[r.Class]; ok && r.Took > aim {
			count(func(c *Counts) *uint64 { return &c.Late })
		}
	case record.Refused, record.Crowded, record.Stopped, record.Barred:
		count(func(c *Counts) *uint64 { return &c.Refused })
	case record.GivenUp:
		count(func(c *Counts) *uint64 { return &c.GivenUp })
	default:
		count(func(c *Counts) *uint64 { return &c.Failed })
	}
}

func (k *tracked) class(name string) *Class {
	c := k.classes[name]
	if c == nil {
		if len(k.classes) >= mostClasses {
			return &Class{}
		}
		c = &Class{Name: name}
		k.classes[name] = c
	}
	return c
}

func (k *tracked) server(name string) *Server {
	s := k.servers[name]
	if s == nil {
		s = &Server{Name: name, Ceiling: math.Inf(1)}
		if len(k.servers) < mostServers {
			k.servers[name] = s
		}
	}
	return s
}

func (t *tracker) event(r *record.Record, instance, server, kind, text string, bad bool) {
	t.events = append(t.events, Event{At: record.Unix(r.At), Instance: instance, Server: server, Kind: kind, Text: text, Bad: bad})
	if len(t.events) > 2*mostEvents {
		t.events = slices.Delete(t.events, 0, len(t.events)-mostEvents)
	}
}

// life adds a record to the life of its call.
func (t *tracker) life(k *tracked, h *record.Header, r *record.Record) {
	key := k.Name + "/" + r.Call
	c := t.calls[key]
	if c == nil {
		if len(t.queue) >= mostCalls {
			delete(t.calls, t.queue[0])
			t.queue = t.queue[1:]
		}
		c = &Call{ID: r.Call, Instance: k.Name, At: record.Unix(r.At), Outcome: "open"}
		t.calls[key] = c
		t.queue = append(t.queue, key)
	}
	switch r.Kind {
	case record.KindSetUp:
		c.Class, c.At = r.Class, record.Unix(r.At)
	case record.KindTry:
		c.Server = r.Server
		c.Tries++
	case record.KindAnswer:
		c.Outcome, c.Took = record.Outcome(r.Code).String(), r.Took
	case record.KindRelease:
		c.Outcome += ", " + strings.ReplaceAll(r.End, "_", " ")
	}
	if len(c.Lines) < mostLines {
		c.Lines = append(c.Lines, r.Line(h))
	}
}

// snapshot is the fleet as the records tell it up to here.
func (t *tracker) snapshot() *Snapshot {
	s := &Snapshot{At: record.Unix(t.at)}
	for _, name := range t.order {
		k := t.by[name]
		in := k.Instance
		in.Seen = record.Unix(k.at)
		in.Open = len(k.open)
		in.Gap = k.gap > 0 && k.at-k.gap < 2*time.Second
		in.Classes = values(k.classes, func(c *Class) string { return c.Name })
		in.Servers = values(k.servers, func(s *Server) string { return s.Name })
		s.Instances = append(s.Instances, in)
	}
	for _, e := range slices.Backward(t.events) {
		if len(s.Events) >= mostEvents {
			break
		}
		s.Events = append(s.Events, e)
	}
	for _, key := range slices.Backward(t.queue) {
		c := *t.calls[key]
		c.Lines = slices.Clone(c.Lines)
		s.Calls = append(s.Calls, c)
	}
	return s
}
