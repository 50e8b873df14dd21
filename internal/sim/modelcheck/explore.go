// Package explore goes through every order of events that two calls, two exchanges and what goes wrong
// between them can come in, up to a bound, over the transitions of the call controller's core, and
// checks what must hold in each state. The module is free to say anything at any time: what holds here
// holds whatever it decides.
package modelcheck

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"olivedale/internal/admission"
	"olivedale/internal/call"
)

// A Result says what was gone through.
type Result struct {
	States  int // that differ in what the core or the exchanges can do next
	Steps   int // transitions
	Depth   int // the longest order of events
	Whole   bool
	Failure *Failure
}

// A Failure is an order of events after which something does not hold.
type Failure struct {
	Steps []string
	What  string
}

func (f *Failure) Error() string {
	return f.What + " after\n  " + strings.Join(f.Steps, "\n  ")
}

// Bounds of an exploration.
type Bounds struct {
	Calls, Servers int
	Attempts       int // of a call
	Depth          int
	States         int // it ends there, and Whole is false
	// Wire, if set, stands between the core and the wire: tests put breaches in by it.
	Wire func(call.Backends) call.Backends
}

// An action is one thing that happens, with what the module says if it is asked.
type action struct {
	kind    string
	call    int
	server  int
	attempt int
	word    admission.DecisionKind
	to      int // server of a Try
}

func (a action) String() string {
	s := fmt.Sprintf("%s c%d", a.kind, a.call)
	if a.server >= 0 {
		s += fmt.Sprintf(" x%d/%d", a.server, a.attempt)
	}
	switch a.word {
	case admission.Send:
		s += fmt.Sprintf(", the module: try x%d", a.to)
	case admission.Reject:
		s += ", the module: deny"
	case admission.Fail:
		s += ", the module: give up"
	case admission.Cancel:
		s += ", the module: call off"
	}
	return s
}

// life is a call as it is seen from outside.
type life struct {
	asked, left, closed bool
	finals              int
	stood, over         bool // it stands; it has been released since
	out                 int  // server of the attempt that is out, -1: none
	n                   int  // its number
	sent                int
	until               time.Duration
	expires             time.Duration
}

// held is an attempt that an exchange knows of.
type held struct {
	call, server, n           int
	cancelled, answered, gone bool
}

// A machine is a core with its surroundings.
type machine struct {
	b      Bounds
	now    time.Duration
	core   *call.Manager
	calls  []life
	held   []held
	word   action
	ticks  []admission.Decision
	broken string
}

const (
	patience = 3 * time.Second
	wait     = time.Second // of an attempt
)

func newMachine(b Bounds) *machine {
	m := &machine{b: b, now: time.Hour, calls: make([]life, b.Calls)}
	for i := range m.calls {
		m.calls[i].out = -1
	}
	var out call.Backends = m
	if b.Wire != nil {
		out = b.Wire(m)
	}
	m.core = call.NewManager(m, out, func() call.Time { return m.now }, call.Limits{OpenCalls: 8, DescriptionBytes: 1 << 10, CompletedIDs: 64})
	return m
}

func (m *machine) fail(format string, args ...any) {
	if m.broken == "" {
		m.broken = fmt.Sprintf(format, args...)
	}
}

func number(id string) int { return int(id[len(id)-1] - '0') }

func server(id string) int { return int(id[len(id)-1] - '0') }

// order is the module's word on a call.
func (m *machine) order(id string) admission.Decision {
	o := admission.Decision{CallID: id, Kind: m.word.word, Wait: wait}
	if o.Kind == admission.Send {
		o.Server = fmt.Sprint("x", m.word.to)
		if m.calls[number(id)].sent >= m.b.Attempts {
			o.Kind = admission.None
		}
	}
	if o.Kind == admission.Cancel {
		o.Attempt = m.calls[number(id)].n
	}
	return o
}

// Pick implements call.Decider.
func (m *machine) Place(_ call.Time, r admission.Request) admission.Decision {
	return m.order(r.CallID)
}

// Report implements call.Decider.
func (m *machine) Report(_ call.Time, p admission.AttemptReport) admission.Decision {
	if p.Kind != admission.ReportEnded || p.Final {
		return admission.Decision{CallID: p.CallID}
	}
	return m.order(p.CallID)
}

// Tick implements call.Decider.
func (m *machine) Tick(call.Time) []admission.Decision {
	all := m.ticks
	m.ticks = nil
	return all
}

// Next implements call.Decider.
func (m *machine) NextDeadline() call.Time { return 1 << 62 }

// List implements call.Decider.
func (m *machine) UpdateServers(call.Time, []admission.Server, bool) {}

// Invite implements call.Exchanges.
func (m *machine) Invite(to string, s call.Setup) {
	k := &m.calls[number(s.ID)]
	if k.out >= 0 {
		m.fail("c%d is sent to %s while its attempt %d is out at x%d", number(s.ID), to, k.n, k.out)
	}
	if k.finals > 0 || k.left || k.closed {
		m.fail("c%d is sent to %s after its end", number(s.ID), to)
	}
	if s.Timeout <= 0 || m.now >= k.until {
		m.fail("c%d is sent to %s with no time left", number(s.ID), to)
	}
	k.out, k.n, k.expires = server(to), s.Attempt, m.now+s.Timeout
	k.sent++
	m.held = append(m.held, held{call: number(s.ID), server: server(to), n: s.Attempt})
}

func (m *machine) find(to, id string, n int) *held {
	for i := range m.held {
		if h := &m.held[i]; h.server == server(to) && h.call == number(id) && h.n == n {
			return h
		}
	}
	return nil
}

// Cancel implements call.Exchanges.
func (m *machine) Cancel(to, id string, attempt int) bool {
	k := &m.calls[number(id)]
	if k.out != server(to) || k.n != attempt {
		m.fail("a cancel of %s to %s, which is not out there", id, to)
	}
	k.out = -1
	if h := m.find(to, id, attempt); h != nil {
		h.cancelled = true
	}
	return false
}

// Release implements call.Exchanges.
func (m *machine) Release(to, id string, attempt, _ int) {
	if h := m.find(to, id, attempt); h != nil {
		h.gone = true
	}
}

// ReleaseEverywhere implements call.Exchanges.
func (m *machine) ReleaseEverywhere(string, int) {}

// client is the connection that a call came on.
type client struct{ m *machine }

func (c client) final(id string) {
	k := &c.m.calls[number(id)]
	if k.finals++; k.finals > 1 {
		c.m.fail("a second final answer to %s", id)
	}
	if k.left || k.closed {
		c.m.fail("an answer to %s, whose caller has left", id)
	}
	if c.m.now > k.until {
		c.m.fail("an answer to %s after its caller's time", id)
	}
}

// CallEstablished implements call.Client.
func (c client) CallEstablished(id string, _ []byte) {
	c.final(id)
	k := &c.m.calls[number(id)]
	if k.stood = true; k.out < 0 {
		c.m.fail("%s stands at no exchange", id)
	}
}

// CallRejected implements call.Client.
func (c client) CallRejected(id string, _ int, _ time.Duration) { c.final(id) }

// CallForgotten implements call.Client.
func (c client) CallForgotten(string) {}

// Frontend implements call.Client.
func (c client) Frontend() call.Frontend { return front(c) }

type front struct{ m *machine }

// NotifyRelease implements call.Front.
func (f front) NotifyRelease(_ call.Client, id string, _ int) {
	k := &f.m.calls[number(id)]
	if !k.stood || k.over {
		f.m.fail("a release of %s, which does not stand", id)
	}
	k.over = true
}

// do carries an action out.
func (m *machine) do(a action) {
	m.word = a
	id := fmt.Sprint("c", a.call)
	to := fmt.Sprint("x", a.server)
	k := &m.calls[a.call]
	switch a.kind {
	case "set-up":
		k.asked, k.until = true, m.now+patience
		_ = m.core.Offer(client{m}, call.Request{ID: id, Class: "c", Deadline: k.until})
	case "hang-up":
		k.left = true
		if k.stood {
			k.over, k.out = true, -1
		}
		m.core.ReleaseByCaller(id, call.CauseNormal)
	case "close":
		for i := range m.calls {
			if c := &m.calls[i]; c.asked && c.finals == 0 {
				c.closed = true
			}
		}
		m.core.CallerDisconnected(client{m})
	case "answer":
		h := m.find(to, id, a.attempt)
		h.answered = true
		m.core.AttemptAnswered(to, id, a.attempt, nil)
	case "full", "reset":
		h := m.find(to, id, a.attempt)
		h.gone = true
		if k.out == a.server && k.n == a.attempt {
			k.out = -1
		}
		e := call.ProcessorBusy
		if a.kind == "reset" {
			e = call.ConnectionReset
		}
		m.core.AttemptEnded(to, id, a.attempt, e)
	case "release":
		h := m.find(to, id, a.attempt)
		h.gone = true
		m.core.BackendReleased(to, id, call.CauseNormal, front{m})
		if k.over {
			k.out = -1
		}
	case "lost":
		for i := range m.held {
			if h := &m.held[i]; h.server == a.server {
				h.gone = true
			}
		}
		m.core.BackendRestarted(to, m.now+1)
		if k := &m.calls[a.call]; k.over {
			k.out = -1
		}
	case "order":
		m.ticks = []admission.Decision{m.order(id)}
		m.core.Tick()
	case "pass":
		if next := m.core.NextDeadline(); next < 1<<61 {
			m.now = max(m.now, next)
			m.core.Tick()
		}
	}
	for i := range m.calls {
		if c := &m.calls[i]; c.over {
			c.out = -1
		}
	}
}

// can lists what can happen next.
func (m *machine) can() (all []action) {
	words := []action{{word: admission.None}, {word: admission.Reject}, {word: admission.Fail}}
	for s := range m.b.Servers {
		words = append(words, action{word: admission.Send, to: s})
	}
	each := func(a action) {
		for _, w := range words {
			b := a
			b.word, b.to = w.word, w.to
			all = append(all, b)
		}
	}
	live := false
	for i := range m.calls {
		k := &m.calls[i]
		switch {
		case !k.asked:
			if i == 0 || m.calls[i-1].asked { // calls are alike: the first comes first
				each(action{kind: "set-up", call: i, server: -1})
			}
		case !k.left && !k.closed && !k.over && (k.finals == 0 || k.stood):
			all = append(all, action{kind: "hang-up", call: i, server: -1})
			if k.finals == 0 {
				live = true
				each(action{kind: "order", call: i, server: -1})
				if k.out >= 0 {
					all = append(all, action{kind: "order", call: i, server: -1, word: admission.Cancel})
				}
			}
		}
	}
	for _, h := range m.held {
		if h.gone {
			continue
		}
		if !h.answered {
			all = append(all, action{kind: "answer", call: h.call, server: h.server, attempt: h.n})
			each(action{kind: "full", call: h.call, server: h.server, attempt: h.n})
			each(action{kind: "reset", call: h.call, server: h.server, attempt: h.n})
		}
		each(action{kind: "release", call: h.call, server: h.server, attempt: h.n}) // also where its answer was lost
	}
	if live {
		each(action{kind: "pass", server: -1})
		all = append(all, action{kind: "close", server: -1})
	}
	for s := range m.b.Servers {
		if slices.ContainsFunc(m.held, func(h held) bool { return h.server == s && !h.gone }) {
			all = append(all, action{kind: "lost", server: s})
		}
	}
	return all
}

// state tells apart what can go on differently.
func (m *machine) state() string {
	var b strings.Builder
	for _, k := range m.calls {
		until, expires := k.until-m.now, k.expires-m.now
		if k.finals > 0 || k.left || k.closed || !k.asked {
			until = 0
		}
		if k.out < 0 || k.stood {
			expires = 0
		}
		fmt.Fprint(&b, k.asked, k.left, k.closed, k.finals, k.stood, k.over, k.out, k.n, k.sent, until, expires, m.core.Contains(fmt.Sprint("c", 0)), ";")
	}
	all := slices.Clone(m.held)
	slices.SortFunc(all, func(x, y held) int {
		return (x.call-y.call)*100 + (x.server-y.server)*10 + x.n - y.n
	})
	for _, h := range all {
		if !h.gone {
			fmt.Fprint(&b, h, ";")
		}
	}
	fmt.Fprint(&b, m.core.OpenCalls(), m.core.EstablishedCalls())
	return b.String()
}

// settles tells whether every caller gets an answer if nothing but time goes on.
func (m *machine) settles() {
	for range 64 {
		if m.core.OpenCalls() == 0 || m.broken != "" {
			break
		}
		m.word = action{word: admission.None}
		next := m.core.NextDeadline()
		if next >= 1<<61 {
			m.fail("%d calls are open and nothing will be done about them", m.core.OpenCalls())
			return
		}
		m.now = max(m.now, next)
		m.core.Tick()
	}
	for i := range m.calls {
		if k := &m.calls[i]; k.asked && !k.left && !k.closed && k.finals == 0 {
			m.fail("c%d has no answer when all is over", i)
		}
	}
}

// Run explores breadth first: the first failure found has the fewest events.
func Run(b Bounds) Result {
	var r Result
	seen := map[string]bool{newMachine(b).state(): true}
	r.States = 1
	paths := [][]action{nil}
	replay := func(path []action) *machine {
		m := newMachine(b)
		for _, a := range path {
			m.do(a)
		}
		return m
	}
	for r.Depth = 0; r.Depth < b.Depth && len(paths) > 0; r.Depth++ {
		var next [][]action
		for _, path := range paths {
			for _, a := range replay(path).can() {
				m := replay(path)
				m.do(a)
				r.Steps++
				s := m.state()
				if m.broken == "" && !seen[s] {
					m2 := replay(append(slices.Clone(path), a))
					m2.settles()
					m.broken = m2.broken
				}
				if m.broken != "" {
					r.Failure = &Failure{What: m.broken}
					for _, x := range append(slices.Clone(path), a) {
						r.Failure.Steps = append(r.Failure.Steps, x.String())
					}
					return r
				}
				if seen[s] {
					continue
				}
				if seen[s] = true; r.States >= b.States {
					return r
				}
				r.States++
				next = append(next, append(slices.Clone(path), a))
			}
		}
		paths = next
	}
	r.Whole = true
	return r
}
