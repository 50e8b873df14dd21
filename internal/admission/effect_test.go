package admission

import (
	"fmt"
	"testing"
	"time"
)

// Calls that may not run twice: after an attempt that may have run, one of Never goes nowhere and is not refused;
// one of Once goes to servers that know the repeat, within its window, and is refused only where all of them do.
func TestCallsThatMayNotRunTwice(t *testing.T) {
	servers := []Server{{ID: "a", Pool: 0, Zone: "n"}, {ID: "b", Pool: 1, Zone: "n"}, {ID: "c", Pool: 2, Zone: "s"}}
	cases := []struct {
		what  string
		class Class
		code  Code
		after time.Duration
		may   string // servers of the second attempt; "fail" or "refuse" instead
	}{
		{"harmless", Class{}, Expired, 0, "bc"},
		{"never, never ran", Class{Effect: Never}, Full, 0, "bc"},
		{"never, not dialled", Class{Effect: Never}, DialFailed, 0, "bc"},
		{"never, not sent", Class{Effect: Never}, Unused, 0, "abc"},
		{"never, timed out", Class{Effect: Never}, Expired, 0, "fail"},
		{"never, broke", Class{Effect: Never}, Dropped, 0, "fail"},
		{"never, called off", Class{Effect: Never}, Revoked, 0, "fail"},
		{"never, fault", Class{Effect: Never}, Error, 0, "fail"},
		{"once, everywhere", Class{Effect: Once, Window: time.Second}, Expired, 0, "bc"},
		{"once, zone", Class{Effect: Once, Scope: WithinZone, Window: time.Second}, Expired, 0, "b"},
		{"once, pool", Class{Effect: Once, Scope: WithinPool, Window: time.Second}, Expired, 0, "fail"},
		{"once, zone, never ran", Class{Effect: Once, Scope: WithinZone, Window: time.Second}, Full, 0, "bc"},
		{"once, everywhere, too late", Class{Effect: Once, Window: time.Second}, Expired, 2 * time.Second, "refuse"},
		{"once, zone, too late", Class{Effect: Once, Scope: WithinZone, Window: time.Second}, Expired, 2 * time.Second, "fail"},
	}
	for _, k := range cases {
		seen := make(map[string]bool)
		for seed := range uint64(60) {
			class := k.class
			class.Name, class.Aim, class.Deadline, class.Credit = "k", 2*time.Second, 20*time.Second, 1
			c, err := New(Settings{GroupSize: 1, Topology: "pools", Classes: []Class{class}, MaxAttempts: 4, MayCancel: true,
				Release: 300 * time.Millisecond, Cold: time.Second, Start: 0.5}, seed)
			if err != nil {
				t.Fatal(err)
			}
			now := Time(time.Hour)
			var acts []Action
			run := func(e Event) { acts = append(acts, c.Handle(now, e)...) }
			c.Begin(now)
			run(List{Full: true, Cached: true, Servers: servers})
			// A period in which the others become used to calls of second choice.
			for range 30 {
				now += 100 * time.Millisecond
				run(Bell{Key: 0})
			}
			acts = nil
			run(Ask{Call: "x", Class: "k", First: 0, Until: now + 15*time.Second})
			if s, ok := acts[0].(Send); !ok || s.Server != "a" {
				t.Fatalf("%s: first %+v", k.what, acts)
			}
			for end := now + k.after; now < end; {
				now += 100 * time.Millisecond
				run(Bell{Key: 0})
			}
			acts = nil
			run(Returned{Call: "x", Server: "a", Code: k.code})
			now += 400 * time.Millisecond
			for _, a := range acts {
				if d, ok := a.(Defer); ok && d.Key > 0 {
					run(Bell{Key: d.Key})
				}
			}
			what := "nothing"
			for _, a := range acts {
				switch a := a.(type) {
				case Send:
					what = a.Server
				case Refuse:
					what = "refuse"
				case Fail:
					what = "fail"
				}
			}
			seen[what] = true
		}
		want := make(map[string]bool)
		if k.may == "fail" || k.may == "refuse" {
			want[k.may] = true
		} else {
			for _, s := range k.may {
				want[string(s)] = true
			}
		}
		for what := range seen {
			if !want[what] {
				t.Errorf("%s: %v, want of %v only", k.what, seen, want)
				break
			}
		}
		if len(seen) == 0 || k.may != "fail" && k.may != "refuse" && fmt.Sprint(seen) == "map[]" {
			t.Errorf("%s: nothing seen", k.what)
		}
	}
}

// A lost set-up of a call that may not run twice is not called off: the answer may still come, and nothing else can.
func TestNeverIsNotCalledOff(t *testing.T) {
	for _, effect := range []Effect{Harmless, Never} {
		c, err := New(Settings{GroupSize: 1, Topology: "pools", MaxAttempts: 4, MayCancel: true, Release: 300 * time.Millisecond, Cold: time.Second, Start: 0.5,
			Classes: []Class{{Name: "k", Aim: time.Second, Deadline: 9 * time.Second, Credit: 1, Effect: effect}}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		now, off := Time(time.Hour), 0
		run := func(e Event) {
			for _, a := range c.Handle(now, e) {
				if _, ok := a.(Cancel); ok {
					off++
				}
			}
		}
		c.Begin(now)
		run(List{Full: true, Cached: true, Servers: []Server{{ID: "a", Pool: 0}, {ID: "b", Pool: 1}}})
		run(Ask{Call: "lost", Class: "k", Until: now + 8*time.Second})
		now += 200 * time.Millisecond
		run(Ask{Call: "next", Class: "k", Until: now + 8*time.Second})
		now += 20 * time.Millisecond
		run(Stands{Call: "next", Server: "a", Took: 20 * time.Millisecond}) // it overtook the other
		for range 30 {
			now += 100 * time.Millisecond
			run(Bell{Key: 0})
		}
		if (off > 0) != (effect == Harmless) {
			t.Errorf("effect %v: called off %d times", effect, off)
		}
	}
}
