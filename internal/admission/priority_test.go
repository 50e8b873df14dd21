package admission

import (
	"fmt"
	"testing"
	"time"
)

// Calls that were cut come again all at once; more than can stand in time only jam the server.
func TestBurstIsHeldBack(t *testing.T) {
	r := newTestController(t, testSettings(), serverA)
	r.offerSteadily(100*millisecond, 4*time.Second, 40*millisecond)
	sent := 0
	for i := range 60 {
		id := fmt.Sprint("f", i)
		if r.offerCall(CallOffered{CallID: id, Number: id, Class: "read", Deadline: r.now + 3*time.Second, Reestablish: true}) != "" {
			sent++
		}
	}
	if sent < 5 || sent > 14 {
		t.Errorf("%d calls sent at once to a server that answers 10 a second, want 5 to 14", sent)
	}
}

func TestBusyDestination(t *testing.T) {
	r := newTestController(t, testSettings(), serverA)
	ask := func(id string) string {
		return r.offerCall(CallOffered{CallID: id, Class: "read", Number: "crowd", Deadline: r.now + 3*time.Second})
	}
	r.endAttempt("1", ask("1"), ServerError, CauseDestinationBusy)
	if !hasAction[FailCall](r.actions) {
		t.Errorf("a busy number is the end of the call: %v", r.actions)
	}
	if ask("2") != "" {
		t.Error("a call to a busy number was sent")
	}
	r.advance(r.machine.window)
	if ask("3") == "" {
		t.Error("a window later no call finds out whether a line is free")
	}
	if ask("4") != "" {
		t.Error("two calls went to a busy number in a window")
	}
}

// Unmarked calls dialled again are known by their number.
func TestRedialIsHeldBackFirst(t *testing.T) {
	r := newTestController(t, testSettings(), serverA)
	r.offerSteadily(100*millisecond, 4*time.Second, 50*millisecond)
	r.offerCall(CallOffered{CallID: "x1", Class: "read", Number: "n", Deadline: r.now + millisecond})
	r.advance(2 * time.Second)
	s := r.machine.servers[0]
	s.limit.rate, s.limit.overloadedAt, s.limit.tokens = 20, r.now, 1.5
	if got := r.offerCall(CallOffered{CallID: "x2", Class: "read", Number: "n", Deadline: r.now + time.Second}); got != "" {
		t.Error("a call dialled again took room from fresh ones")
	}
	if _, got := r.offer("read", 0); got == "" {
		t.Error("a fresh call found no room")
	}
}

// A caller who was refused and is back within the wanted time is as good as new.
func TestEarlyRedialKeepsPriority(t *testing.T) {
	r := newTestController(t, testSettings(), serverA)
	k := &call{number: "n", class: r.machine.classes["read"]}
	if r.machine.isRedial(k, false) {
		t.Error("a first call counts as dialled again")
	}
	r.advance(700 * millisecond)
	if r.machine.isRedial(k, true) {
		t.Error("back within the wanted time, it counts as late")
	}
	if !r.machine.isRedial(k, false) {
		t.Error("a third call for a number is not taken for a crowd")
	}
}

// An emergency goes where an ordinary call is held back, as a call that was cut does.
func TestEmergencyPriority(t *testing.T) {
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
func TestEmergencyToBusyDestination(t *testing.T) {
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

// Where all servers are in a jam, a node of many servers and few calls at each does not wait until each
// of them looks slow to it: what it has out in all goes by what was answered to it in all. (Each of a
// hundred nodes once sent every server the calls that it could not know to be too many: 330 calls a
// second stood where 450 had, for 12 s after a burst of 4.)
func TestManyServersOverloaded(t *testing.T) {
	r := newControllerOfManyServers(t)
	sent := 0
	for i := range 24 { // a call for each in 2.4 s, and nobody answers any more
		if _, s := r.offer("read", i); s != "" {
			sent++
		}
		r.advance(100 * millisecond)
	}
	if most := burstSize + 1 + int(4*r.machine.latencyThreshold.Seconds()+1); sent > most || sent < 2 {
		t.Errorf("%d calls were sent while none was answered, at 4/s answered before: want 2 to %d", sent, most)
	}
	if id, s := r.offer("read", 3); s != "" || !r.isForgotten(id) {
		t.Errorf("a further call went to %q, or was not refused at once", s)
	}
	if s := r.offerCall(CallOffered{CallID: "cut", Class: "read", Number: "7", PreferredPool: 3, Deadline: r.now + 3*time.Second, Reestablish: true}); s == "" {
		t.Error("a call that was cut and comes again was held back")
	}
}

// Servers that answer quickly are sent as many calls as ever, however many are out at once.
func TestManyServersQuickRise(t *testing.T) {
	r := newControllerOfManyServers(t)
	type out struct {
		id, server string
		due        Time
	}
	var under []out
	refused := 0
	for i := range 240 { // twenty calls a second where there were four
		if id, s := r.offer("read", i%24); s != "" {
			under = append(under, out{id, s, r.now + 120*millisecond})
		} else {
			refused++
		}
		r.advance(50 * millisecond)
		for len(under) > 0 && under[0].due <= r.now {
			r.establish(under[0].id, under[0].server, 120*millisecond)
			under = under[1:]
		}
	}
	if refused > 0 {
		t.Errorf("%d of 240 calls were refused while all were answered within 120 ms", refused)
	}
}

// A call without a number is nobody's second try, and leaves no record of a number.
func TestCallWithoutNumber(t *testing.T) {
	r := newTestController(t, testSettings(), serverA)
	for i := range 5 {
		id := fmt.Sprint("x", i)
		if s := r.offerCall(CallOffered{CallID: id, Class: "read", Deadline: r.now + time.Second}); s != "a" {
			t.Fatalf("call %d without a number went to %q", i, s)
		}
		r.endAttempt(id, "a", ServerError, CauseDestinationBusy)
		r.advance(r.machine.period)
	}
	if n := len(r.machine.dialedNumbers) + len(r.machine.busyNumbers); n != 0 {
		t.Errorf("%d records of a number that no call had", n)
	}
}
