package invariant

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// check passes events of one call to a new Checker. Events without a time follow each other after 1 ms; other times
// are relative to the start.
func check(events ...Event) *Checker { return checkWith(DefaultLimits(), events...) }

// checkWith is check with other limits.
func checkWith(limits Limits, events ...Event) *Checker {
	const start = time.Second
	c := New(limits)
	now := start
	for _, e := range events {
		now += ms
		if e.At > 0 {
			now = start + e.At
		}
		e.At = now
		if e.Controller == "" {
			e.Controller = "n"
		}
		if e.Call == "" && e.Kind != ServerUpdated && e.Kind != ControllerEnded {
			e.Call = "c"
		}
		if e.Kind == CallOffered {
			e.Deadline = now + 3*time.Second
		}
		c.Record(e)
	}
	c.Finish(now)
	return c
}

func invite(server string, attempt int, at time.Duration) Event {
	return attemptEvent(AttemptSent, server, attempt, at)
}

// attemptEvent returns an event of an attempt.
func attemptEvent(kind Kind, server string, attempt int, at time.Duration) Event {
	return Event{Kind: kind, Server: server, Attempt: attempt, At: at}
}

// inactive returns an endpoint update that a server drains.
func inactive(server string, at time.Duration) Event {
	return Event{Kind: ServerUpdated, Server: server, IsSet: true, At: at}
}

// Each sequence violates no rule, or exactly the rule that it names.
func TestRules(t *testing.T) {
	setUp, established, rejected := Event{Kind: CallOffered}, Event{Kind: CallEstablished}, Event{Kind: CallRejected}
	abandonedCall := Event{Kind: CallAbandoned}
	lateSetUp := Event{Kind: CallOffered, At: 1990 * ms}
	for name, test := range map[string]struct {
		want   Rule // "": no violation
		events []Event
	}{
		"answered":          {"", []Event{setUp, invite("x", 0, 0), attemptEvent(AttemptAnswered, "x", 0, 0), established}},
		"answered twice":    {OneAnswer, []Event{setUp, established, rejected}},
		"answer to no call": {OneAnswer, []Event{established}},
		"no answer":         {InTime, []Event{setUp, invite("x", 0, 0)}},
		"late answer":       {InTime, []Event{setUp, {Kind: CallEstablished, At: 4 * time.Second}}},
		"abandoned":         {"", []Event{setUp, abandonedCall}},
		"controller killed": {"", []Event{setUp, {Kind: ControllerEnded}}},
		"two open attempts": {OneAttempt, []Event{setUp, invite("x", 0, 0), invite("y", 1, 0), established}},
		"attempts in sequence": {"", []Event{
			setUp, invite("x", 0, 0), attemptEvent(AttemptRejected, "x", 0, 0), invite("y", 1, 0), established,
		}},
		"attempt after answer":  {OneAnswer, []Event{setUp, rejected, invite("x", 0, 0)}},
		"attempt after abandon": {OneAnswer, []Event{setUp, abandonedCall, invite("x", 0, 0)}},
		"cold server crashed":   {SlowStartRespected, []Event{{Kind: ServerCrashed, Server: "x"}}},
		"retry within the guard after a cancel": {RetryGuardRespected, []Event{
			setUp, invite("x", 0, 10*ms), attemptEvent(AttemptCanceled, "x", 0, 20*ms), invite("y", 1, 319*ms), established,
		}},
		"retry after the guard": {"", []Event{
			setUp, invite("x", 0, 10*ms), attemptEvent(AttemptCanceled, "x", 0, 20*ms), invite("y", 1, 320*ms), established,
		}},
		"retry within the guard after a reset": {RetryGuardRespected, []Event{
			setUp, invite("x", 0, 10*ms), attemptEvent(AttemptBroken, "x", 0, 20*ms), invite("x", 1, 30*ms), established,
		}},
		"retry of an unsent attempt": {"", []Event{
			setUp, invite("x", 0, 10*ms), attemptEvent(AttemptUnsent, "x", 0, 20*ms), invite("x", 1, 21*ms), established,
		}},
		"draining server, soon": {"", []Event{
			inactive("x", ms), lateSetUp, invite("x", 0, 2*time.Second), established,
		}},
		"draining server": {DrainRespected, []Event{
			inactive("x", ms), lateSetUp, invite("x", 0, 2002*ms), established,
		}},
		"draining server, updated twice": {DrainRespected, []Event{
			inactive("x", ms), inactive("x", 1900*ms), lateSetUp, invite("x", 0, 2002*ms), established,
		}},
		"server that is active again": {"", []Event{
			inactive("x", ms), {Kind: ServerUpdated, Server: "x", At: 1900 * ms}, lateSetUp, invite("x", 0, 2500*ms), established,
		}},
		"cancel of an earlier attempt": {OneAttempt, []Event{
			setUp, invite("x", 0, 0), attemptEvent(AttemptRejected, "x", 0, 0), invite("x", 1, 0), attemptEvent(AttemptCanceled, "x", 0, 0),
			invite("y", 2, 0), established,
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c := check(test.events...)
			for _, r := range Rules {
				if n := c.Count(r); (n > 0) != (r == test.want) {
					t.Errorf("%s: %d violations", r, n)
				}
			}
			if test.want != "" && len(c.Violations()[0].Events) == 0 {
				t.Error("the violation has no events")
			}
		})
	}
}

// In a long run the checker keeps the state of open calls and of those that ended within the retention only.
func TestBounds(t *testing.T) {
	c := New(DefaultLimits())
	for i := range 100_000 {
		at := time.Duration(i) * ms
		id := string(rune('a'+i%26)) + time.Duration(i).String()
		c.Record(Event{Kind: CallOffered, At: at, Controller: "n", Call: id, Deadline: at + 100*ms})
		c.Record(Event{Kind: CallRejected, At: at, Controller: "n", Call: id})
	}
	if n := len(c.calls); n > 11_000 {
		t.Errorf("the state of %d calls is kept", n)
	}
	if c.Total() != 0 {
		t.Errorf("%d violations", c.Total())
	}
}

// endedAt returns the end of a call at its server, of which the caller must be notified by a time.
func endedAt(at, notifyBy time.Duration) Event {
	return Event{Kind: CallEnded, Server: "x", At: at, Deadline: time.Second + notifyBy}
}

// The rules on established calls: for each there are sequences that obey it, also at its limit, and that violate it.
func TestReleaseRules(t *testing.T) {
	setUp, established := Event{Kind: CallOffered}, Event{Kind: CallEstablished}
	established2 := Event{Kind: CallEstablished, At: 2 * time.Second}
	for name, test := range map[string]struct {
		want   Rule // "": no violation
		events []Event
	}{
		"notified at the last moment": {"", []Event{
			setUp, established, endedAt(time.Second, 9*time.Second), {Kind: CallerNotified, At: 9 * time.Second},
		}},
		"notified late": {ReleasedInTime, []Event{
			setUp, established, endedAt(time.Second, 9*time.Second), {Kind: CallerNotified, At: 9*time.Second + ms},
		}},
		"released after its end, notified late": {ReleasedInTime, []Event{
			setUp, established, endedAt(time.Second, 9*time.Second), endedAt(1500*ms, 2500*ms),
			{Kind: CallerNotified, At: 2501 * ms},
		}},
		"ended again, with a later deadline": {ReleasedInTime, []Event{
			setUp, established, endedAt(time.Second, 2*time.Second), endedAt(1500*ms, 9*time.Second),
			{Kind: CallerNotified, At: 2001 * ms},
		}},
		"never notified":                  {ReleasedInTime, []Event{setUp, established, endedAt(time.Second, 2*time.Second)}},
		"ended before the answer arrived": {ReleasedInTime, []Event{setUp, endedAt(time.Second, 2*time.Second), established2}},
		"released by the caller":          {"", []Event{setUp, established, {Kind: CallerReleased}, endedAt(time.Second, 2*time.Second)}},
		"crossing releases": {"", []Event{
			setUp, established, endedAt(time.Second, 2*time.Second), {Kind: CallerReleased, At: 1900 * ms},
		}},
		"ended where an earlier attempt was answered": {"", []Event{
			setUp, {Kind: CallEstablished, Server: "y"}, endedAt(time.Second, 2*time.Second),
		}},
		"ended at the earlier attempt before the answer": {"", []Event{
			setUp, endedAt(time.Second, 2*time.Second), {Kind: CallEstablished, Server: "y", At: 1500 * ms},
		}},
		"an earlier attempt at the same server ended": {"", []Event{
			setUp, endedAt(time.Second, 2*time.Second), {Kind: CallEstablished, Server: "x", Attempt: 1, At: 1500 * ms},
		}},
		"ended where it is established": {ReleasedInTime, []Event{
			setUp, {Kind: CallEstablished, Server: "x"}, endedAt(time.Second, 2*time.Second),
		}},
		"never established": {"", []Event{setUp, endedAt(time.Second, 2*time.Second), {Kind: CallRejected, At: 1500 * ms}}},
		"controller ended": {"", []Event{
			setUp, established, endedAt(time.Second, 2*time.Second), {Kind: ControllerEnded, At: 1500 * ms},
		}},
		"established for long, then not notified": {ReleasedInTime, []Event{
			setUp, established, {Kind: CallRejected, Call: "other", At: 40 * time.Second},
			endedAt(60*time.Second, 61*time.Second),
		}},
		"still established for its caller": {"", []Event{setUp, established, {Kind: CallStillEstablished, At: 20 * time.Second}}},
		"still established, ended just now for its caller": {"", []Event{
			setUp, established, {Kind: CallerReleased, At: time.Second}, {Kind: CallStillEstablished, At: 9 * time.Second},
		}},
		"left established": {NoOrphanedCall, []Event{
			setUp, established, {Kind: CallerReleased, At: time.Second}, {Kind: CallStillEstablished, At: 9*time.Second + ms},
		}},
		"left established after an abandoned set-up": {NoOrphanedCall, []Event{
			setUp, {Kind: CallAbandoned, At: time.Second}, {Kind: CallStillEstablished, At: 9*time.Second + ms},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			limits := DefaultLimits()
			limits.CheckReleases = true
			limits.MaxOrphanTime = 8 * time.Second
			c := checkWith(limits, test.events...)
			for _, r := range ReleaseRules {
				if n := c.Count(r); (n > 0) != (r == test.want) {
					t.Errorf("%s: %d violations", r, n)
				}
			}
			if check(test.events...).Count(ReleasedInTime) > 0 {
				t.Error("ReleasedInTime was checked without Limits.CheckReleases")
			}
		})
	}
}

// An attempt that arrives Limits.AbandonGrace or later after its caller abandoned the call is a violation.
func TestAbandonGrace(t *testing.T) {
	limits := DefaultLimits()
	limits.AbandonGrace = 300 * ms
	for after, want := range map[time.Duration]int{299 * ms: 0, 300 * ms: 1} {
		c := checkWith(limits, Event{Kind: CallOffered}, Event{Kind: CallAbandoned, At: time.Second},
			invite("x", 0, time.Second+after))
		if n := c.Count(OneAnswer); n != want {
			t.Errorf("%v after the caller abandoned the call: %d violations, want %d", after, n, want)
		}
	}
}
