// Package rules checks what call controllers must keep, from what is seen on their wires: one final
// answer a call and in time, never two attempts out, nothing new to a server long after the news that
// it drains, no cold server pushed over, no resend soon after an attempt that may have run. It shares
// no code with the call controller and does not know how that decides.
package invariant

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"olivedale/internal/sim/eventqueue"
)

// A Time is a reading of the clock that all that is seen is told by.
type Time = time.Duration

// A Rule is one that can be broken.
type Rule string

// The rules.
const (
	OneAnswer   Rule = "one_answer"   // a call that was taken gets one final answer, and only one
	InTime      Rule = "in_time"      // before its caller gives up
	OneAttempt  Rule = "one_attempt"  // never two attempts of a call out at once
	DrainsKept  Rule = "drains_kept"  // nothing new to a server over Drain after the news that it drains or is gone
	ColdSpared  Rule = "cold_spared"  // no cold server pushed over
	ReleaseKept Rule = "release_kept" // no resend within Release of a time-out, reset or cancel
)

// All lists them.
var All = []Rule{OneAnswer, InTime, OneAttempt, DrainsKept, ColdSpared, ReleaseKept}

// Limits are the times in the rules.
type Limits struct {
	Drain   time.Duration // 2 s
	Release time.Duration // 300 ms
	Slack   time.Duration // of the clocks and wires that it is seen by; 0 in virtual time
}

// Defaults are the operators' figures.
func Defaults() Limits { return Limits{Drain: 2 * time.Second, Release: 300 * time.Millisecond} }

// A Kind is what was seen.
type Kind uint8

// Kinds of what is seen, at a call controller's wires.
const (
	SetUp      Kind = iota // it took a set-up; Until: the caller gives up
	Stands                 // it told the caller that the call stands
	Refused                // it told the caller that the call does not stand
	CallerEnd              // the caller gave up, or its connection is gone: no answer is owed
	Invite                 // it sent a set-up to Server
	Cancel                 // it gave the set-up up
	Unsent                 // the same, and it had not been written yet
	Answer                 // the server's answer came
	TurnedBack             // the server's word came that the set-up did not run
	Broke                  // the set-up broke on its way: a reset, a lost connection
	Told                   // news came of Server: On: it drains or is gone
	Killed                 // the call controller is gone, and all it owed
	PushedOver             // Server fell over, cold
	Paused                 // the call controller was stopped (On) or goes on: it can answer nothing in time
)

var kindNames = [...]string{"set-up", "stands", "refused", "caller ended", "invite", "cancel", "unsent", "answer", "turned back", "broke", "told", "killed", "pushed over", "paused"}

// String implements fmt.Stringer.
func (k Kind) String() string { return kindNames[k] }

// An Event is one thing seen.
type Event struct {
	At     Time
	Kind   Kind
	Node   string
	Call   string
	Server string
	N      int  // number of the attempt
	On     bool // of Told
	Until  Time // of SetUp
}

// String implements fmt.Stringer.
func (e Event) String() string {
	s := fmt.Sprintf("%12.6f %-8s %-12s", e.At.Seconds(), e.Node, e.Kind)
	if e.Call != "" {
		s += " " + e.Call
	}
	if e.Server != "" {
		s += fmt.Sprintf(" %s/%d", e.Server, e.N)
	}
	if e.Kind == SetUp {
		s += fmt.Sprintf(" until %.6f", e.Until.Seconds())
	}
	return strings.TrimRight(s, " ")
}

// A Breach is a rule broken, with what was seen of the call until then.
type Breach struct {
	Rule   Rule
	At     Time
	Node   string
	Call   string
	Server string
	Text   string
	Around []Event
}

// Error implements error.
func (b *Breach) Error() string {
	return fmt.Sprintf("%s broken at %.6f by %s: %s", b.Rule, b.At.Seconds(), b.Node, b.Text)
}

// mostAround and mostBreaches bound what is kept; breaches past them are counted.
const (
	mostAround   = 32
	mostBreaches = 100
)

// A Checker takes what is seen, in the order of time. It is for one goroutine.
type Checker struct {
	limits   Limits
	calls    map[key]*life
	told     map[pair]Time // since when a node knows that a server drains or is gone
	paused   map[string]bool
	breaches []*Breach
	counts   map[Rule]int
	seen     int
	due      eventqueue.Queue[key]
}

type key struct{ node, call string }

type pair struct{ node, server string }

type life struct {
	owed    bool
	over    bool
	excused bool // its call controller was stopped while it was owed: it may be late
	missed  bool // no answer when its caller gave up: told once, whatever comes later
	until   Time
	out     string // server of the attempt that is out; "": none
	n       int
	guarded bool // an attempt that may have run ended at since
	since   Time
	events  []Event
}

// New makes a Checker.
func New(limits Limits) *Checker {
	return &Checker{limits: limits, calls: make(map[key]*life), told: make(map[pair]Time), paused: make(map[string]bool), counts: make(map[Rule]int)}
}

// Seen counts the events that it has looked at.
func (c *Checker) Seen() int { return c.seen }

// Breaches are the first of those found, in the order of time.
func (c *Checker) Breaches() []*Breach { return c.breaches }

// Count is how often a rule was broken.
func (c *Checker) Count(r Rule) int { return c.counts[r] }

// Total is how often any was.
func (c *Checker) Total() (n int) {
	for _, v := range c.counts {
		n += v
	}
	return n
}

func (c *Checker) breach(r Rule, e Event, l *life, format string, args ...any) {
	c.counts[r]++
	if len(c.breaches) >= mostBreaches {
		return
	}
	b := &Breach{Rule: r, At: e.At, Node: e.Node, Call: e.Call, Server: e.Server, Text: fmt.Sprintf(format, args...)}
	if l != nil {
		b.Around = slices.Clone(l.events)
	} else {
		b.Around = []Event{e}
	}
	c.breaches = append(c.breaches, b)
}

// See takes an event.
func (c *Checker) See(e Event) {
	c.seen++
	c.expire(e.At)
	switch e.Kind {
	case Told:
		p := pair{e.Node, e.Server}
		if _, known := c.told[p]; e.On && !known {
			c.told[p] = e.At
		} else if !e.On {
			delete(c.told, p)
		}
		return
	case PushedOver:
		c.breach(ColdSpared, e, nil, "%s was pushed over while it was cold", e.Server)
		return
	case Paused:
		c.pause(e)
		return
	case Killed:
		delete(c.paused, e.Node)
		for k := range c.calls {
			if k.node == e.Node {
				delete(c.calls, k)
			}
		}
		for p := range c.told {
			if p.node == e.Node {
				delete(c.told, p)
			}
		}
		return
	}
	k := key{e.Node, e.Call}
	l := c.calls[k]
	if l == nil {
		if e.Kind != SetUp {
			if e.Kind == Stands || e.Kind == Refused || e.Kind == Invite {
				c.breach(OneAnswer, e, nil, "%v of a call that nobody asked for, or that is long over", e.Kind)
			}
			return
		}
		l = &life{}
		c.calls[k] = l
	}
	if len(l.events) == mostAround {
		l.events = slices.Delete(l.events, 1, 2) // the set-up stays
	}
	l.events = append(l.events, e)
	switch e.Kind {
	case SetUp:
		if !l.owed && !l.over {
			l.owed, l.until, l.excused = true, e.Until, c.paused[e.Node]
			c.due.Push(e.Until+c.limits.Slack, k)
		}
	case Stands, Refused:
		switch {
		case l.missed:
			l.missed = false
		case !l.owed:
			c.breach(OneAnswer, e, l, "a second final answer to %s: %v", e.Call, e.Kind)
		case e.At > l.until+c.limits.Slack && !l.excused:
			c.breach(InTime, e, l, "the answer to %s came %v after its caller had given up", e.Call, e.At-l.until)
		}
		l.owed, l.over = false, true
	case CallerEnd:
		l.owed, l.over = false, true
	case Invite:
		c.invite(e, l)
	case Cancel, Broke:
		if l.out == e.Server && l.n == e.N {
			l.out, l.guarded, l.since = "", true, e.At
		}
	case Unsent, TurnedBack, Answer:
		if l.out == e.Server && l.n == e.N {
			l.out = ""
		}
	}
}

// pause excuses the calls that a call controller owes while it is stopped, and its reading of news: what
// waited for it unread counts as told when it goes on.
func (c *Checker) pause(e Event) {
	c.paused[e.Node] = e.On
	for k, l := range c.calls {
		if k.node == e.Node && l.owed {
			l.excused = true
		}
	}
	for p, since := range c.told {
		if p.node == e.Node && !e.On {
			c.told[p] = max(since, e.At)
		}
	}
}

func (c *Checker) invite(e Event, l *life) {
	if l.out != "" {
		c.breach(OneAttempt, e, l, "%s was sent to %s while its attempt %d was out at %s", e.Call, e.Server, l.n, l.out)
	}
	if l.over {
		c.breach(OneAnswer, e, l, "%s was sent to %s after its final answer", e.Call, e.Server)
	}
	if l.guarded && e.At-l.since < c.limits.Release-c.limits.Slack {
		c.breach(ReleaseKept, e, l, "%s was sent again %v after an attempt that may have run", e.Call, e.At-l.since)
	}
	if since, told := c.told[pair{e.Node, e.Server}]; told && e.At-since > c.limits.Drain+c.limits.Slack {
		c.breach(DrainsKept, e, l, "%s was sent to %s %v after the news that it drains or is gone", e.Call, e.Server, e.At-since)
	}
	l.out, l.n, l.guarded = e.Server, e.N, false
}

// keep is how long a call is remembered after its caller's time, for answers that come twice.
const keep = 10 * time.Second

// expire looks for calls that are still owed their answer, and forgets those long over.
func (c *Checker) expire(now Time) {
	for c.due.NextTime() < now {
		at, k := c.due.Pop()
		l := c.calls[k]
		if l == nil {
			continue
		}
		if l.owed && l.excused { // it reads late that its caller gave up, and may send the call on till then
			l.owed, l.missed = false, true
		} else if l.owed {
			c.breach(InTime, Event{At: at, Node: k.node, Call: k.call}, l, "%s has no answer when its caller gives up", k.call)
			l.owed, l.over, l.missed = false, true, true
		}
		if at >= l.until+keep {
			delete(c.calls, k)
			continue
		}
		c.due.Push(l.until+keep+c.limits.Slack, k)
	}
}

// End looks at what is still owed once all is over.
func (c *Checker) End(now Time) { c.expire(now + keep + time.Minute) }
