package invariant

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// see plays events of one call, a millisecond apart where they have no time of their own.
func see(all ...Event) *Checker {
	c := New(Defaults())
	now := time.Second
	for _, e := range all {
		if now += ms; e.At > 0 {
			now = time.Second + e.At
		}
		e.At = now
		if e.Node == "" {
			e.Node = "n"
		}
		if e.Call == "" && e.Kind != Told && e.Kind != Killed {
			e.Call = "c"
		}
		if e.Kind == SetUp {
			e.Until = now + 3*time.Second
		}
		c.See(e)
	}
	c.End(now)
	return c
}

// What keeps the rules is not told of, what breaks one is told of by its name.
func TestRules(t *testing.T) {
	setUp, stands, refused := Event{Kind: SetUp}, Event{Kind: Stands}, Event{Kind: Refused}
	invite := func(server string, n int, at time.Duration) Event {
		return Event{Kind: Invite, Server: server, N: n, At: at}
	}
	end := func(k Kind, server string, n int, at time.Duration) Event {
		return Event{Kind: k, Server: server, N: n, At: at}
	}
	for name, x := range map[string]struct {
		want Rule
		all  []Event
	}{
		"answered":                          {"", []Event{setUp, invite("x", 0, 0), end(Answer, "x", 0, 0), stands}},
		"answered twice":                    {OneAnswer, []Event{setUp, stands, refused}},
		"an answer nobody asked for":        {OneAnswer, []Event{stands}},
		"never answered":                    {InTime, []Event{setUp, invite("x", 0, 0)}},
		"answered late":                     {InTime, []Event{setUp, {Kind: Stands, At: 4 * time.Second}}},
		"its caller left":                   {"", []Event{setUp, {Kind: CallerEnd}}},
		"its controller was killed":         {"", []Event{setUp, {Kind: Killed}}},
		"two attempts":                      {OneAttempt, []Event{setUp, invite("x", 0, 0), invite("y", 1, 0), stands}},
		"one after the other":               {"", []Event{setUp, invite("x", 0, 0), end(TurnedBack, "x", 0, 0), invite("y", 1, 0), stands}},
		"again too soon after a cancel":     {ReleaseKept, []Event{setUp, invite("x", 0, 10*ms), end(Cancel, "x", 0, 20*ms), invite("y", 1, 319*ms), stands}},
		"again in good time":                {"", []Event{setUp, invite("x", 0, 10*ms), end(Cancel, "x", 0, 20*ms), invite("y", 1, 320*ms), stands}},
		"again too soon after a reset":      {ReleaseKept, []Event{setUp, invite("x", 0, 10*ms), end(Broke, "x", 0, 20*ms), invite("x", 1, 30*ms), stands}},
		"again at once, it never left":      {"", []Event{setUp, invite("x", 0, 10*ms), end(Unsent, "x", 0, 20*ms), invite("x", 1, 21*ms), stands}},
		"to one that drains, soon":          {"", []Event{{Kind: Told, Server: "x", On: true, At: ms}, {Kind: SetUp, At: 1990 * ms}, invite("x", 0, 2*time.Second), stands}},
		"to one that drains":                {DrainsKept, []Event{{Kind: Told, Server: "x", On: true, At: ms}, {Kind: SetUp, At: 1990 * ms}, invite("x", 0, 2002*ms), stands}},
		"to one that drains, told twice":    {DrainsKept, []Event{{Kind: Told, Server: "x", On: true, At: ms}, {Kind: Told, Server: "x", On: true, At: 1900 * ms}, {Kind: SetUp, At: 1990 * ms}, invite("x", 0, 2002*ms), stands}},
		"to one that is back":               {"", []Event{{Kind: Told, Server: "x", On: true, At: ms}, {Kind: Told, Server: "x", At: 1900 * ms}, {Kind: SetUp, At: 1990 * ms}, invite("x", 0, 2500*ms), stands}},
		"sent after its answer":             {OneAnswer, []Event{setUp, refused, invite("x", 0, 0)}},
		"sent after its caller left":        {OneAnswer, []Event{setUp, {Kind: CallerEnd}, invite("x", 0, 0)}},
		"a cold one pushed over":            {ColdSpared, []Event{{Kind: PushedOver, Server: "x"}}},
		"an old cancel ends no new attempt": {OneAttempt, []Event{setUp, invite("x", 0, 0), end(TurnedBack, "x", 0, 0), invite("x", 1, 0), end(Cancel, "x", 0, 0), invite("y", 2, 0), stands}},
	} {
		c := see(x.all...)
		for _, r := range All {
			if n := c.Count(r); (n > 0) != (r == x.want) {
				t.Errorf("%s: %s is broken %d times", name, r, n)
			}
		}
		if x.want != "" && len(c.Breaches()[0].Around) == 0 {
			t.Errorf("%s: nothing is told of what was seen", name)
		}
	}
}

// What is over is forgotten: a long run holds no more than what is open and what ended just now.
func TestBounds(t *testing.T) {
	c := New(Defaults())
	for i := range 100_000 {
		at := time.Duration(i) * ms
		id := string(rune('a'+i%26)) + time.Duration(i).String()
		c.See(Event{Kind: SetUp, At: at, Node: "n", Call: id, Until: at + 100*ms})
		c.See(Event{Kind: Refused, At: at, Node: "n", Call: id})
	}
	if n := len(c.calls); n > 11_000 {
		t.Errorf("%d calls are held", n)
	}
	if c.Total() != 0 {
		t.Errorf("%d breaches", c.Total())
	}
}
