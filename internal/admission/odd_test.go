package admission

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// TestOddSettings plays a calm minute under settings at the ends of what may come.
func TestOddSettings(t *testing.T) {
	many := make([]Server, 50)
	for i := range many {
		many[i] = Server{ID: fmt.Sprint("s", i), Pool: i}
	}
	for name, spoil := range map[string]func(*Settings){
		"as usual":            func(*Settings) {},
		"alone":               func(s *Settings) { s.ControllerCount = 1 },
		"one of a thousand":   func(s *Settings) { s.ControllerCount = 1000 },
		"start share 0":       func(s *Settings) { s.SlowStartShare = 0 },
		"never cold":          func(s *Settings) { s.SlowStartPeriod = 0 },
		"no repeats":          func(s *Settings) { s.ResendInterval = 0 },
		"no release guard":    func(s *Settings) { s.RetryGuard = 0 },
		"aim is all there is": func(s *Settings) { s.Classes[0].Deadline = s.Classes[0].LatencyObjective },
		"worthless":           func(s *Settings) { s.Classes[0].Weight, s.Classes[1].Weight = 0, 0 },
		"one attempt":         func(s *Settings) { s.MaxAttempts = 1 },
		"may not cancel":      func(s *Settings) { s.CanCancel = false },
	} {
		for _, servers := range [][]Server{{a}, {a, b}, many} {
			set := testSettings()
			spoil(&set)
			r := newRig(t, set, servers...)
			asked, stood := 0, 0
			for end := r.now + time.Minute; r.now < end; r.pass(500 * ms) {
				asked++
				id, s := r.ask("read", asked%len(servers))
				if s == "" {
					continue
				}
				stood++
				r.stands(id, s, 40*ms)
				r.feed(AttemptEnded{CallID: id, Server: s, Result: Delivered, Final: true})
			}
			if stood < asked*9/10 {
				t.Errorf("%s, %d servers: %d of %d calls were sent on a calm day", name, len(servers), stood, asked)
			}
		}
	}
}

// A restarted server with start share 0 must not be left alone for good.
func TestStartShareNought(t *testing.T) {
	for _, size := range []int{1, 1000} {
		set := testSettings()
		set.SlowStartShare, set.ControllerCount = 0, size
		r := newRig(t, set, a)
		r.steady(500*ms, 20*time.Second, 40*ms)
		r.feed(ServersUpdated{Servers: []Server{{ID: "a", Started: r.now}}})
		if sent := r.steady(500*ms, 20*time.Second, 40*ms); sent < 15 {
			t.Errorf("group of %d: %d of 40 calls in 20 s went to a server that started with share 0", size, sent)
		}
	}
}

// Figures that are no figures, empty names and a clock that goes back change nothing.
func TestOddEvents(t *testing.T) {
	r := newRig(t, testSettings(), a, b)
	r.steady(100*ms, 4*time.Second, 40*ms)
	for _, v := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1} {
		f := Optional{v, true}
		r.feed(LoadReported{Server: "a", OK: true, Load: LoadReport{f, f, f, f, f, f}})
		id, s := r.ask("read", 0)
		if s != "a" {
			t.Errorf("a report of %v sent a call to %q", v, s)
		}
		r.stands(id, s, 40*ms)
		r.pass(r.c.period)
	}
	r.now -= time.Hour
	if acts := r.feed(TimerFired{}); len(acts) != 0 {
		t.Errorf("a clock that went back: %v", acts)
	}
	r.now += time.Hour
	if acts := r.feed(nil); len(acts) != 0 {
		t.Errorf("no event: %v", acts)
	}
	r.feed(CallEstablished{CallID: "", SetupTime: -time.Second})
	r.feed(AttemptEnded{CallID: "", Result: AttemptResult(99), Cause: FailureCause(-1), RetryAfter: -time.Hour})
	r.feed(ServersUpdated{Servers: []Server{{}}})
	if _, s := r.ask("read", 0); s != "a" {
		t.Errorf("empty names sent a call to %q", s)
	}
}

// A call without a number is nobody's second try, and leaves no record of a number.
func TestNoNumber(t *testing.T) {
	r := newRig(t, testSettings(), a)
	for i := range 5 {
		id := fmt.Sprint("x", i)
		if s := r.askAs(CallOffered{CallID: id, Class: "read", Deadline: r.now + time.Second}); s != "a" {
			t.Fatalf("call %d without a number went to %q", i, s)
		}
		r.returned(id, "a", ServerError, CauseDestinationBusy)
		r.pass(r.c.period)
	}
	if n := len(r.c.dialedNumbers) + len(r.c.busyNumbers); n != 0 {
		t.Errorf("%d records of a number that no call had", n)
	}
}
