package console

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"sync"
	"time"

	"olivedale/internal/adminapi"
	"olivedale/internal/codec/h248"
	"olivedale/internal/record"
)

// A Source makes snapshots, one after the other. Next returns when the next is due, or as soon
// as ctx is done. It is for one goroutine.
type Source interface {
	Next(ctx context.Context) (*Snapshot, error)
	Close() error
}

// A Player is a Source that can be steered; its methods may be called from anywhere.
type Player interface {
	Hold()             // stops a replay, or goes on
	Faster(by float64) // by that factor
}

// wait sleeps, or returns as soon as ctx is done.
func wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// Records plays records, or follows stores as they are written.
type Records struct {
	m       *record.Merger
	t       *tracker
	rates   rater
	every   time.Duration
	live    bool
	label   string
	begun   bool
	ahead   record.Record
	aheadOf record.Header
	full    bool
	over    bool
	at      record.Time // of the replay

	mu    sync.Mutex
	speed float64
	held  bool
}

// Replay plays stores from a time on (0: the first record), at a speed.
func Replay(stores []record.Store, at record.Time, speed float64, every time.Duration) (*Records, error) {
	m, err := record.OpenStores(stores)
	if err != nil {
		return nil, err
	}
	return &Records{m: m, t: newTracker(), every: every, label: "replay", at: at, speed: speed}, nil
}

// Follow shows live stores as they are written.
func Follow(stores []record.Store, every time.Duration) (*Records, error) {
	m, err := record.OpenStores(stores)
	if err != nil {
		return nil, err
	}
	return &Records{m: m, t: newTracker(), every: every, live: true, label: "records"}, nil
}

// Close implements Source.
func (s *Records) Close() error { return s.m.Close() }

// Hold implements Player.
func (s *Records) Hold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = !s.held
}

// Faster implements Player.
func (s *Records) Faster(by float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.speed = min(max(s.speed*by, 1.0/16), 4096)
}

// Next implements Source.
func (s *Records) Next(ctx context.Context) (*Snapshot, error) {
	if s.begun {
		if err := wait(ctx, s.every); err != nil {
			return nil, err
		}
	}
	s.mu.Lock()
	speed, held := s.speed, s.held
	s.mu.Unlock()
	until := record.Time(math.MaxInt64)
	if !s.live {
		if err := s.peek(); err != nil {
			return nil, err
		}
		switch {
		case s.begun && !held:
			s.at += time.Duration(float64(s.every) * speed)
		case !s.begun && s.at == 0 && s.full:
			s.at = s.ahead.At
		}
		until = s.at
	}
	s.begun = true
	for n := 0; ; n++ {
		if n%4096 == 0 && ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if err := s.peek(); err != nil {
			return nil, err
		}
		if !s.full || s.ahead.At > until {
			break
		}
		s.t.take(&s.aheadOf, &s.ahead)
		s.full = false
	}
	s.over = !s.live && !s.full
	snap := s.t.snapshot()
	snap.Source, snap.Replay, snap.Over = s.label, !s.live, s.over
	if snap.Replay {
		snap.At = record.Unix(s.at)
		if snap.Speed = speed; held {
			snap.Speed = 0
		}
		if s.over {
			snap.At = record.Unix(max(s.t.at, 0))
			s.at = s.t.at
		}
	} else {
		snap.At = time.Now().UTC()
	}
	for i := range snap.Instances { // an instance that is quiet has no calls: its counts are of now
		in := &snap.Instances[i]
		if snap.Replay && (in.State == StateRunning || in.State == StateStopping) && !s.over {
			in.Seen = snap.At
		}
	}
	s.rates.rate(snap)
	return snap, nil
}

// peek reads the next record if none is at hand.
func (s *Records) peek() error {
	if s.full {
		return nil
	}
	err := s.m.Next(&s.ahead, &s.aheadOf)
	if errors.Is(err, io.EOF) {
		return nil
	}
	s.full = err == nil
	return err
}

// Agents asks agents and, where they tell an admin address, the instances.
type Agents struct {
	addrs []string
	every time.Duration
	rates rater
	last  map[string]Instance
	begun bool
	log   []Event
}

// Ask shows the instances of agents, asked again and again.
func Ask(addrs []string, every time.Duration) *Agents {
	return &Agents{addrs: addrs, every: every, last: make(map[string]Instance)}
}

// Close implements Source.
func (*Agents) Close() error { return nil }

// Next implements Source. An agent or instance that does not answer is shown as such, with
// what was last known of it; that alone is no error.
func (a *Agents) Next(ctx context.Context) (*Snapshot, error) {
	if a.begun {
		if err := wait(ctx, a.every); err != nil {
			return nil, err
		}
	}
	a.begun = true
	snap := &Snapshot{Source: fmt.Sprintf("%d agents", len(a.addrs))}
	if len(a.addrs) == 1 {
		snap.Source = "agent " + a.addrs[0]
	}
	ctx, cancel := context.WithTimeout(ctx, max(a.every, time.Second))
	defer cancel()
	found := make([][]Instance, len(a.addrs))
	var wg sync.WaitGroup
	for i, addr := range a.addrs {
		wg.Go(func() { found[i] = a.agent(ctx, addr) })
	}
	wg.Wait()
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return nil, ctx.Err()
	}
	for _, all := range found {
		for _, in := range all {
			a.changed(in)
			a.last[in.Agent+"/"+in.Name] = in
			snap.Instances = append(snap.Instances, in)
		}
	}
	for key, in := range a.last { // an agent that does not list it any more has let it go
		if time.Since(in.Seen) > time.Hour {
			delete(a.last, key)
		}
	}
	snap.At = time.Now().UTC()
	for i := len(a.log) - 1; i >= 0; i-- {
		snap.Events = append(snap.Events, a.log[i])
	}
	a.rates.rate(snap)
	return snap, nil
}

// agent asks one agent and its instances.
func (a *Agents) agent(ctx context.Context, addr string) []Instance {
	c, err := adminapi.Send(ctx, addr, adminapi.AuditCommand("ROOT"))
	if err != nil {
		var all []Instance
		for _, in := range a.last {
			if in.Agent == addr {
				in.State, in.Problem = StateSilent, "its agent does not answer: "+err.Error()
				all = append(all, in)
			}
		}
		if len(all) == 0 {
			all = []Instance{{Name: "(agent)", Agent: addr, State: StateSilent, Problem: err.Error()}}
		}
		return all
	}
	stats := h248.Find(c.Descriptors, "Statistics")
	if stats == nil {
		return nil
	}
	all := make([]Instance, len(stats.Kids))
	var wg sync.WaitGroup
	limit := make(chan struct{}, 16) // connections at once
	for i, n := range stats.Kids {
		wg.Go(func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			all[i] = a.instance(ctx, addr, n)
		})
	}
	wg.Wait()
	return all
}

func (a *Agents) instance(ctx context.Context, addr string, n *h248.Node) Instance {
	at := func(name string) string { return h248.Value(n.Kids, name) }
	in := a.last[addr+"/"+at("name")] // read only while the agents are asked
	in.Name, in.Agent, in.State, in.PID, in.Problem = at("name"), addr, at("state"), at("pid"), ""
	in.Starts, _ = strconv.Atoi(at("starts"))
	admin := at("admin")
	switch {
	case in.State != StateRunning && in.State != "draining":
		in.Seen = time.Now().UTC()
		return in
	case admin == "":
		in.Seen, in.Problem = time.Now().UTC(), "it has no admin address; set h248.admin"
		return in
	}
	c, err := adminapi.Send(ctx, admin, adminapi.AuditCommand("ROOT"))
	if err != nil {
		in.State, in.Problem = StateSilent, err.Error()
		return in
	}
	in.Seen = time.Now().UTC()
	if h248.Value(c.Descriptors, "Media", "TerminationState", "ServiceStates") == "OutOfService" {
		in.State = StateStopping
	}
	number := func(kids []*h248.Node, name string) uint64 {
		v, _ := strconv.ParseUint(h248.Value(kids, "oc/"+name), 10, 64)
		return v
	}
	counts := func(kids []*h248.Node) Counts {
		return Counts{number(kids, "requests"), number(kids, "stood"), number(kids, "late"), number(kids, "refused"), number(kids, "failed"),
			number(kids, "givenup"), number(kids, "cut"), number(kids, "attempts")}
	}
	in.Classes, in.Servers, in.Numbers = nil, nil, ""
	if s := h248.Find(c.Descriptors, "Statistics"); s != nil {
		in.Total, in.Open, in.Standing, in.Lost = counts(s.Kids), int(number(s.Kids, "open")), int(number(s.Kids, "standing")), number(s.Kids, "recordslost")
		for _, k := range s.Kids {
			switch k.Name {
			case "oc/class":
				in.Classes = append(in.Classes, Class{Name: h248.Value(k.Kids, "oc/name"), Counts: counts(k.Kids)})
				in.Total.Late += number(k.Kids, "late")
				in.Total.Cut += number(k.Kids, "cut")
			case "oc/table":
				in.Numbers = h248.Value(k.Kids, "oc/digest")
			case "oc/server":
				x := Server{Name: h248.Value(k.Kids, "oc/name"), Pool: int(number(k.Kids, "pool")), Phase: h248.Value(k.Kids, "oc/phase"),
					Cold: h248.Value(k.Kids, "oc/cold") == "1", Tries: number(k.Kids, "attempts"), Stood: number(k.Kids, "stood"), Cut: number(k.Kids, "cut"), Ceiling: math.Inf(1)}
				if v, err := strconv.ParseFloat(h248.Value(k.Kids, "oc/ceiling"), 64); err == nil {
					x.Ceiling = v
				}
				in.Servers = append(in.Servers, x)
			}
		}
	}
	return in
}

// changed notes what an instance's news tells of.
func (a *Agents) changed(in Instance) {
	old, known := a.last[in.Agent+"/"+in.Name]
	note := func(server, kind, text string, bad bool) {
		a.log = append(a.log, Event{At: time.Now().UTC(), Instance: in.Name, Server: server, Kind: kind, Text: text, Bad: bad})
		if len(a.log) > mostEvents {
			a.log = a.log[1:]
		}
	}
	switch {
	case !known && in.State != StateSilent:
		return
	case old.State != in.State:
		note("", in.State, in.Problem, in.State == StateSilent)
	case old.Starts != in.Starts:
		note("", "started anew", fmt.Sprintf("start %d", in.Starts), true)
	}
	if known && old.Numbers != in.Numbers && in.Numbers != "" {
		note("", "numbers", "table "+brief(in.Numbers)+" is in force", false)
	}
	for _, s := range in.Servers {
		for _, o := range old.Servers {
			if o.Name != s.Name {
				continue
			}
			if o.Phase != s.Phase {
				note(s.Name, s.Phase, "", false)
			}
			switch was, is := math.IsInf(o.Ceiling, 1), math.IsInf(s.Ceiling, 1); {
			case was && !is:
				note(s.Name, "under pressure", fmt.Sprintf("ceiling %.1f/s", s.Ceiling), true)
			case !was && is:
				note(s.Name, "pressure over", "", false)
			}
		}
	}
}
