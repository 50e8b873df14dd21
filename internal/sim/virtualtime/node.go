package virtualtime

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"olivedale/internal/admission"
	"olivedale/internal/call"
	"olivedale/internal/sim/eventqueue"
	"olivedale/internal/sim/exchange"
	"olivedale/internal/sim/invariant"
)

// A node is a call controller: the product's core and module on the run's clock.
type node struct {
	w      *World
	i      int
	name   string
	zone   int
	life   int // which start this is
	core   *call.Manager
	desk   call.Decider
	front  *front
	conns  []*conn
	out    map[exchange.Attempt]*site // attempts that are out
	to     map[*site]*wire
	back   map[*site]*wire
	wake   Time
	ticked Time // when it was last looked at
	newsAt Time
	missed []admission.Server
	gone   map[string]bool // told as drained or gone, by which the checker is told once
	hears  func(from int, b []byte)
	shares Sharer
	turn   Time           // when it next does something of its own, for the others
	dead   map[*site]bool // connections that carry nothing; true: that is found out, a new one is made
	leaves bool           // it is being stopped: no new calls come
}

func newNode(w *World, i int) *node {
	return &node{w: w, i: i, name: fmt.Sprint("n", i), zone: i % w.sc.Fleet.Zones}
}

// begin starts the node's program. It is told the list as it is.
func (n *node) begin() {
	w := n.w
	n.life++
	n.out, n.to, n.back = make(map[exchange.Attempt]*site), make(map[*site]*wire), make(map[*site]*wire)
	n.gone, n.missed, n.wake = make(map[string]bool), nil, eventqueue.Never
	n.dead, n.leaves = make(map[*site]bool), false
	n.newsAt = w.now
	seed := w.seed*1_000_003 + uint64(n.i)*101 + uint64(n.life)
	desk, err := admission.NewEngine(n.clock(), w.sc.Settings(), seed, func(string) {})
	if err != nil {
		panic(err) // the scenario was checked
	}
	n.desk = desk
	if w.opt.Module != nil {
		n.desk = w.opt.Module(n.name, n.desk)
	}
	var out call.Backends = (*port)(n)
	if w.opt.Wire != nil {
		out = w.opt.Wire(n.name, out)
	}
	n.core = call.NewManager(n.desk, out, n.clock, call.Limits{OpenCalls: 12288, DescriptionBytes: 24 << 20, CompletedIDs: 24576})
	n.front = &front{n: n}
	n.conns = nil
	for k := range w.sc.Fleet.Clients {
		n.conns = append(n.conns, &conn{n: n, k: k})
	}
	var list []admission.Server
	for _, s := range w.places {
		if s.state != admission.Removed {
			list = append(list, s.server())
		}
	}
	n.core.UpdateServers(list, true)
	if w.opt.Talk != nil {
		life := n.life
		n.hears = w.opt.Talk(n.i, func(to int, b []byte) {
			if n.life == life {
				n.say(to, b)
			}
		})
	}
	n.shares, n.turn = nil, eventqueue.Never
	if w.opt.Share != nil && w.sc.Fleet.Share {
		life := n.life
		n.shares = w.opt.Share(w.sc, n.i, n.life, seed, n.clock(), desk, func(to int, b []byte) {
			if n.life == life {
				n.say(to, b)
			}
		})
		n.hears = func(from int, b []byte) { n.shares.Hears(n.clock(), from, b) }
	}
	n.settle()
}

// share has the node do what it does for the others when that is due.
func (n *node) share() {
	if n.shares == nil {
		return
	}
	next := max(n.shares.Next()-epoch, n.w.now)
	if next >= n.turn || next > 100*epoch {
		return
	}
	n.turn = next
	life := n.life
	n.w.plan.Push(next, func() {
		if n.life == life && n.turn == next && n.core != nil {
			n.turn = eventqueue.Never
			n.shares.Tick(n.clock())
			n.settle()
		}
	})
}

// clock is what the node's clock shows.
func (n *node) clock() call.Time { return epoch + n.w.now }

// leastTick lies between two looks of a node's core at its timers.
const leastTick = 100 * time.Microsecond

// settle has the node looked at when its core wants it.
func (n *node) settle() {
	if n.core == nil {
		return
	}
	n.share()
	// Guards against a module that wants to be looked at for ever at one moment: the clock goes on.
	due := n.core.NextDeadline()
	next := max(due-epoch, n.w.now, n.ticked+leastTick)
	if next >= n.wake || due > 100*epoch {
		return
	}
	n.wake = next
	life := n.life
	n.w.plan.Push(next, func() {
		if n.life == life && n.wake == next {
			n.wake, n.ticked = eventqueue.Never, next
			n.core.Tick()
			n.settle()
		}
	})
}

// kill ends the node's program. Its callers and the exchanges see their connections reset.
func (n *node) kill() {
	if n.core == nil {
		return
	}
	n.life++
	n.core = nil
	n.w.see(invariant.Event{Kind: invariant.Killed, Node: n.name})
	for _, s := range n.w.sites {
		n.reset(s)
	}
	n.w.crowd.lost(n)
}

// reset has an exchange see that the connection to the node is gone.
func (n *node) reset(s *site) {
	n.carryTo(s, func() { s.do(func(x *exchange.Exchange, now Time) { x.Reset(now, n.name) }) })
}

// carryTo has something arrive at an exchange.
func (n *node) carryTo(s *site, f func()) {
	if n.to[s] == nil {
		n.to[s] = &wire{}
	}
	n.w.carry(n.to[s], n.zone == s.zone, f)
}

// carryBack has something arrive from an exchange; what a start of the node after this one may see as
// well is anew.
func (n *node) carryBack(s *site, anew bool, f func()) {
	if n.back[s] == nil {
		n.back[s] = &wire{}
	}
	life := n.life
	n.w.carry(n.back[s], n.zone == s.zone, func() {
		if n.core != nil && (anew || n.life == life) {
			f()
		}
	})
}

// told brings news of an exchange.
func (n *node) told(v admission.Server) {
	for _, m := range append(n.missed, v) {
		out := m.State != admission.Active
		if out != n.gone[m.ID] {
			n.gone[m.ID] = out
			n.w.see(invariant.Event{Kind: invariant.Told, Node: n.name, Server: m.ID, On: out})
		}
		n.core.UpdateServers([]admission.Server{m}, false)
		if m.State == admission.Removed {
			n.core.BackendRestarted(m.ID, n.clock()+1)
		}
	}
	n.missed = nil
	n.settle()
}

// from takes what an exchange says, as it leaves the exchange.
func (n *node) from(s *site, m exchange.Message) {
	w := n.w
	if n.mute(s) {
		if m.Kind == exchange.Released { // said again on the next connection that carries it
			w.after(sayAgain, func() {
				if !s.vanished {
					n.from(s, m)
				}
			})
		}
		return
	}
	answer := m.Kind == exchange.Answered
	if answer && w.half > 0 && w.rng.Float64() < w.half {
		return // half of it arrives, which is as good as nothing
	}
	spoilt := answer && w.spoil > 0 && w.rng.Float64() < w.spoil
	again := answer && w.twice > 0 && w.rng.Float64() < w.twice
	n.carryBack(s, m.Kind == exchange.Released, func() {
		if spoilt {
			n.lostLink(s, call.Malformed)
			return
		}
		n.take(s, m)
		if again {
			n.take(s, m)
		}
	})
}

func (n *node) take(s *site, m exchange.Message) {
	see := func(k invariant.Kind) {
		delete(n.out, m.Attempt)
		n.w.see(invariant.Event{Kind: k, Node: n.name, Call: m.Call, Server: s.id, N: m.N})
	}
	switch m.Kind {
	case exchange.Answered:
		see(invariant.Answer)
		if t := n.w.crowd.tries[m.Call]; t != nil && !t.over {
			t.at = s
		}
		n.core.AttemptAnswered(s.id, m.Call, m.N, nil)
	case exchange.Full:
		see(invariant.TurnedBack)
		n.core.AttemptEnded(s.id, m.Call, m.N, call.ProcessorBusy)
	case exchange.NoLine:
		see(invariant.TurnedBack)
		n.core.AttemptEnded(s.id, m.Call, m.N, call.NoCircuit)
	case exchange.Released:
		n.core.BackendReleased(s.id, m.Call, m.Cause, n.front)
	}
	n.settle()
}

// lostLink tells that the connection to an exchange broke: what was out there has ended.
func (n *node) lostLink(s *site, e call.AttemptEnd) {
	n.carryBack(s, false, func() {
		var all []exchange.Attempt
		for a, at := range n.out {
			if at == s {
				all = append(all, a)
			}
		}
		slices.SortFunc(all, func(a, b exchange.Attempt) int { return cmp.Or(cmp.Compare(a.Call, b.Call), a.N-b.N) })
		for _, a := range all {
			delete(n.out, a)
			n.w.see(invariant.Event{Kind: invariant.Broke, Node: n.name, Call: a.Call, Server: s.id, N: a.N})
			n.core.AttemptEnded(s.id, a.Call, a.N, e)
		}
		n.settle()
	})
	if s.x.State() != exchange.Down {
		n.reset(s)
	}
}

// A port is the node's side of the wires to the exchanges.
type port node

// Invite implements call.Exchanges.
func (p *port) Invite(server string, s call.Setup) {
	n := (*node)(p)
	w := n.w
	to := w.bySite[server]
	a := exchange.Attempt{Call: s.ID, N: s.Attempt}
	w.see(invariant.Event{Kind: invariant.Invite, Node: n.name, Call: s.ID, Server: server, N: s.Attempt})
	w.tally.Sent()
	if to == nil {
		return // the directory never named it: a breach put in by a test
	}
	n.out[a] = to
	if to.x.State() == exchange.Down && !to.vanished { // nobody listens there
		n.carryBack(to, false, func() {
			if n.out[a] != to {
				return
			}
			delete(n.out, a)
			w.see(invariant.Event{Kind: invariant.TurnedBack, Node: n.name, Call: a.Call, Server: to.id, N: a.N})
			n.core.AttemptEnded(to.id, a.Call, a.N, call.DialRefused)
			n.settle()
		})
		return
	}
	if n.mute(to) {
		n.intoNothing(to, a)
		return
	}
	if w.lost > 0 && w.rng.Float64() < w.lost {
		return // it never arrives
	}
	class := s.Class
	n.carryTo(to, func() {
		if to.sends != nil {
			to.sends[int((w.now-to.born)/time.Second)]++
		}
		was := to.x.State()
		to.do(func(x *exchange.Exchange, now Time) { x.Invite(now, n.name, a, class) })
		if was == exchange.Running && to.x.State() == exchange.Down {
			to.fell = true
			w.see(invariant.Event{Kind: invariant.PushedOver, Node: n.name, Server: to.id})
			to.crash()
		}
	})
}

// Cancel implements call.Exchanges.
func (p *port) Cancel(server, id string, attempt int) (unsent bool) {
	n := (*node)(p)
	a := exchange.Attempt{Call: id, N: attempt}
	delete(n.out, a)
	n.w.see(invariant.Event{Kind: invariant.Cancel, Node: n.name, Call: id, Server: server, N: attempt})
	if to := n.w.bySite[server]; to == nil || !n.mute(to) { // else it goes down with its connection
		n.send(server, func(x *exchange.Exchange, now Time) { x.Cancel(now, a) })
	}
	return false
}

// Release implements call.Exchanges.
func (p *port) Release(server, id string, attempt, _ int) {
	n := (*node)(p)
	n.send(server, func(x *exchange.Exchange, now Time) { x.Release(now, exchange.Attempt{Call: id, N: attempt}) })
}

// ReleaseEverywhere implements call.Exchanges.
func (p *port) ReleaseEverywhere(id string, _ int) {
	n := (*node)(p)
	for _, s := range n.w.places {
		n.send(s.id, func(x *exchange.Exchange, now Time) { x.ReleaseCall(now, id) })
	}
}

func (n *node) send(server string, f func(*exchange.Exchange, Time)) {
	to := n.w.bySite[server]
	switch {
	case to == nil:
	case n.mute(to): // a release is said again until it is heard
		life := n.life
		n.w.after(sayAgain, func() {
			if n.life == life {
				n.send(server, f)
			}
		})
	default:
		n.carryTo(to, func() { to.do(f) })
	}
}

// A front is the callers' side of a node.
type front struct{ n *node }

// NotifyRelease implements call.Front.
func (f *front) NotifyRelease(_ call.Client, id string, cause int) {
	w := f.n.w
	w.after(w.sc.Wire.Client.D(), func() { w.crowd.released(id, cause) })
}

// A conn is a connection of callers to a node.
type conn struct {
	n *node
	k int
}

// CallEstablished implements call.Client.
func (c *conn) CallEstablished(id string, _ []byte) {
	w := c.n.w
	w.see(invariant.Event{Kind: invariant.Stands, Node: c.n.name, Call: id})
	w.after(w.sc.Wire.Client.D(), func() { w.crowd.stands(id) })
}

// CallRejected implements call.Client.
func (c *conn) CallRejected(id string, cause int, wait time.Duration) {
	w := c.n.w
	w.see(invariant.Event{Kind: invariant.Refused, Node: c.n.name, Call: id})
	w.after(w.sc.Wire.Client.D(), func() { w.crowd.refused(id, cause, wait) })
}

// CallForgotten implements call.Client.
func (c *conn) CallForgotten(string) {}

// Frontend implements call.Client.
func (c *conn) Frontend() call.Frontend { return c.n.front }
