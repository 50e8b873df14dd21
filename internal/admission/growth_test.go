package admission

import (
	"math"
	"testing"
	"time"
)

// A node of many calls must not be held for seconds to the few calls a period that
// suit one of few calls, while every answer comes at once.
func TestProvenServerGetsMore(t *testing.T) {
	r := newRig(t, testSettings(), a)
	asked, sent := 0, 0
	for end := r.now + time.Second; r.now < end; r.pass(5 * ms) {
		for range 2 { // 400 a second
			asked++
			if id, s := r.ask("read", 0); s != "" {
				sent++
				r.stands(id, s, 20*ms)
				r.feed(AttemptEnded{CallID: id, Server: s, Result: Delivered, Final: true})
			}
		}
	}
	if sent < asked*3/4 {
		t.Errorf("in its first second a node sent %d of %d calls to a server that answers at once", sent, asked)
	}
}

// Answers that take longer than the quickest prove nothing: the set-ups wait for each other.
func TestQueueingServerIsNotProven(t *testing.T) {
	r := newRig(t, testSettings(), a)
	id, s := r.ask("read", 0)
	r.stands(id, s, 20*ms)
	for range 40 {
		if id, s := r.ask("read", 0); s != "" {
			r.stands(id, s, 120*ms)
		}
		r.pass(5 * ms)
	}
	if p := r.c.servers[0].limit.provenBurst; p > 1 {
		t.Errorf("a server that lets set-ups wait is proven for %v at once", p)
	}
}

// A server's lines must not look taken once the calls on them have ended.
func TestEndedCallsGiveTheirLinesBack(t *testing.T) {
	r := newRig(t, testSettings(), a)
	r.feed(LoadReported{Server: "a", OK: true, Load: LoadReport{FreeCircuits: Optional{40, true}, TotalCircuits: Optional{40, true}}})
	for i := range 30 { // each ends before the next comes
		id, s := r.ask("write", 0)
		if s == "" {
			t.Fatalf("call %d found no line though all before it had ended", i)
		}
		r.stands(id, s, 20*ms)
		r.feed(AttemptEnded{CallID: id, Server: s, Result: Delivered, Final: true})
		r.pass(20 * ms)
	}
}

// Where answers are quick a set-up that was overtaken is lost long before a period
// has gone by, and does not press its server.
func TestLostSetUpPressesNoQuickServer(t *testing.T) {
	set := testSettings()
	set.ResendInterval = 120 * ms
	r := newRig(t, set, a)
	r.steady(20*ms, 4*time.Second, 15*ms)
	if _, s := r.ask("read", 0); s == "" {
		t.Fatal("the server was not used")
	}
	var out []string // answered 40 ms after they went out
	for range 30 {
		r.pass(10 * ms)
		if id, s := r.ask("read", 0); s != "" {
			out = append(out, id)
		}
		if len(out) > 3 {
			r.stands(out[0], "a", 40*ms)
			out = out[1:]
		}
	}
	if c := r.c.servers[0].limit.rate; !math.IsInf(c, 1) {
		t.Errorf("one lost set-up set a ceiling of %v", c)
	}
}

// Whoever is turned down is told when to come back.
func TestRefusalNamesAWait(t *testing.T) {
	r := newRig(t, testSettings(), a)
	r.c.servers[0].backoffUntil = r.now + 2*time.Second
	r.ask("read", 0)
	if f, ok := r.acts[len(r.acts)-1].(RejectCall); !ok || f.RetryAfter != 2*time.Second {
		t.Errorf("got %+v, want a refusal for 2 s", r.acts)
	}
	r.c.servers[0].backoffUntil = r.now + time.Hour
	r.ask("read", 0)
	if f, ok := r.acts[len(r.acts)-1].(RejectCall); !ok || f.RetryAfter != r.c.window {
		t.Errorf("got %+v, want a refusal for a window", r.acts)
	}
	r.askAs(CallOffered{CallID: "odd", Class: "nobody", Deadline: r.now + time.Second})
	if f, ok := r.acts[len(r.acts)-1].(RejectCall); !ok || f.RetryAfter <= 0 {
		t.Errorf("an unknown class: %+v, want a refusal with a wait", r.acts)
	}
}

// A call goes to its permitted pools only, in their order, and to none where all of them are out.
func TestPermittedPools(t *testing.T) {
	settings := testSettings()
	c, err := NewStateMachine(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := Time(time.Hour)
	c.Begin(now)
	c.Handle(now, ServersUpdated{Full: true, Servers: []Server{{ID: "a", Pool: 0}, {ID: "b", Pool: 1}, {ID: "c", Pool: 2}}})
	ask := func(id string, pools ...int) string {
		now += 50 * time.Millisecond
		acts := c.Handle(now, CallOffered{CallID: id, Class: settings.Classes[0].Name, PreferredPool: pools[0], Pools: pools, Deadline: now + time.Second})
		for _, a := range acts {
			if s, ok := a.(SendAttempt); ok {
				c.Handle(now, CallEstablished{CallID: id, Server: s.Server, SetupTime: time.Millisecond})
				return s.Server
			}
		}
		return ""
	}
	if got := ask("1", 2, 1); got != "c" {
		t.Errorf("the preferred pool is 2, sent to %q", got)
	}
	c.Handle(now, ServersUpdated{Servers: []Server{{ID: "c", Pool: 2, State: Draining}}})
	if got := ask("2", 2, 1); got != "b" {
		t.Errorf("the next pool is 1, sent to %q", got)
	}
	c.Handle(now, ServersUpdated{Servers: []Server{{ID: "b", Pool: 1, State: Removed}}})
	if got := ask("3", 2, 1); got != "" {
		t.Errorf("all permitted pools are out, sent to %q", got)
	}
}

// An emergency goes where an ordinary call is held back, as a call that was cut does.
func TestEmergencyComesFirst(t *testing.T) {
	settings := testSettings()
	for _, urgent := range []bool{false, true} {
		d, err := NewEngine(Time(time.Hour), settings, 1, func(string) {})
		if err != nil {
			t.Fatal(err)
		}
		now := Time(time.Hour)
		d.UpdateServers(now, []Server{{ID: "a", Pool: 0}}, true)
		sent := 0
		for i := range 20 { // a burst: ordinary calls are held to what the server has shown
			o := d.Place(now, Request{CallID: string(rune('a' + i)), Class: settings.Classes[0].Name, Deadline: now + time.Second, Emergency: urgent})
			if o.Kind == Send {
				sent++
			}
			// Not as quick as the first: that proves nothing, and credit runs out.
			took := min(time.Duration(1+99*i), 100) * time.Millisecond
			d.Report(now, AttemptReport{CallID: string(rune('a' + i)), Server: "a", Kind: ReportEstablished, Elapsed: took})
		}
		if urgent != (sent == 20) {
			t.Errorf("urgent %v: %d of 20 sent", urgent, sent)
		}
	}
}

// An emergency is not turned away for its number's lines having all been busy of late, as a crowd
// that dials that number is.
func TestEmergencyPassesJammedNumber(t *testing.T) {
	now := Time(time.Hour)
	settings := testSettings()
	d, err := NewEngine(now, settings, 1, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	d.UpdateServers(now, []Server{{ID: "a", Pool: 0}}, true)
	ask := func(id string, urgent bool) Decision {
		now += 5 * time.Millisecond
		return d.Place(now, Request{CallID: id, Class: settings.Classes[0].Name, Number: "133", Deadline: now + time.Second, Emergency: urgent})
	}
	jammed := ""
	for i := range 12 { // callers find all lines busy
		id := string(rune('a' + i))
		o := ask(id, false)
		if o.Kind == Reject && o.Reason == ReasonDestinationCongested {
			jammed = id
			break
		}
		if o.Kind == Send {
			d.Report(now, AttemptReport{CallID: id, Server: o.Server, Kind: ReportEnded, Result: ServerError, Cause: CauseDestinationBusy, Elapsed: time.Millisecond})
		}
	}
	if jammed == "" {
		t.Fatal("no call was turned away for its number")
	}
	if o := ask("urgent", true); o.Kind != Send {
		t.Errorf("an emergency to the same number: %+v", o)
	}
}

// Where calls are few a single quick answer does not end a ceiling early: of hundreds of nodes each
// would be back at full rate a moment after the other. A server's own word does.
func TestOneQuickAnswerEndsNoCeiling(t *testing.T) {
	for _, c := range []struct {
		answers int
		told    bool
	}{{1, false}, {minSamples, false}, {0, true}} {
		r := newRig(t, testSettings(), a)
		s := r.c.servers[0]
		r.pass(time.Minute)
		r.c.recordOverload(s, r.c.latencyThreshold*3/2)
		s.limit.isHealthy, s.limit.isReported, s.limit.tokens = true, c.told, burstSize
		for range c.answers {
			s.counts.answered.add()
		}
		for end := r.now + 2*r.c.window; r.now < end; {
			r.pass(r.c.period)
			s.limit.tokens = burstSize
		}
		if lapsed := math.IsInf(s.limit.rate, 1); lapsed != (c.told || c.answers >= minSamples) {
			t.Errorf("%+v: within %v the ceiling has lapsed: %v", c, 2*r.c.window, lapsed)
		}
	}
}
