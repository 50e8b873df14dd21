// Package virtual plays a scenario in virtual time: core and module of every call controller, the
// exchanges, the wires, the directory and the callers in one process and on one clock. It is
// deterministic: a scenario and a seed give the same run to the byte. The rules are checked by
// internal/sim/invariant from what passes over the wires.
package virtualtime

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"olivedale/internal/admission"
	"olivedale/internal/call"
	"olivedale/internal/sim/eventqueue"
	"olivedale/internal/sim/exchange"
	"olivedale/internal/sim/invariant"
	"olivedale/internal/sim/result"
	"olivedale/internal/sim/scenario"
)

// A Time is the time since the start of the run.
type Time = time.Duration

// epoch is what controllers' clocks show at the start of a run: their Times are of the Unix clock, and
// a server that started before it is warm.
const epoch = 1000 * time.Hour

// Options change a run; the zero value plays the scenario.
type Options struct {
	Until Time // the run ends here; 0: at the scenario's length
	// Module and Wire, if set, stand between core and module, and between core and wire. Tests put
	// breaches of the rules in by them, to see that they are found.
	Module func(node string, d call.Decider) call.Decider
	Wire   func(node string, x call.Backends) call.Backends
	Client func(node string, c call.Client) call.Client
	// Talk, if set, has controllers speak to each other: at each start of one it is given the way to say
	// something, to one by its number or to Everyone, and returns what takes what arrives.
	Talk func(node int, say func(to int, b []byte)) (hears func(from int, b []byte))
	// Share, if set, has controllers share what they know where the scenario says so. It is called at each
	// start of one, with what it decides by and the way to say something.
	Share func(sc *scenario.Scenario, node, life int, seed uint64, now time.Duration, d call.Decider, say func(to int, b []byte)) Sharer
	// Watch is told of everything that the checker sees.
	Watch func(invariant.Event)
}

// A Sharer is a controller's part in what controllers share. Times are of the controllers' clocks.
type Sharer interface {
	Hears(now time.Duration, from int, b []byte)
	Tick(now time.Duration)
	Next() time.Duration
}

// Everyone are all controllers but the one that speaks.
const Everyone = -1

// mostSaid is the most that a datagram between controllers may hold, as the platform has it.
const mostSaid = 256

// A World is a run.
type World struct {
	sc     *scenario.Scenario
	opt    Options
	seed   uint64
	now    Time
	plan   eventqueue.Queue[func()]
	rng    *rand.Rand // of the wires and the faults
	nodes  []*node
	sites  []*site // all that there ever were, in the order of their start
	bySite map[string]*site
	places []*site // by pool: the one that is there now
	byName map[string]*node
	model  exchange.Settings // of every exchange
	rate   float64           // of calls a second, as planned
	check  *invariant.Checker
	tally  *result.Tally
	crowd  *crowd

	// What goes wrong now.
	half, spoil, twice float64
	lost               float64
	severed            map[int]int // zones cut from the others, by how many faults
	namesLost          bool
	namesLate          time.Duration
	skew               time.Duration
	events             uint64
}

// Run plays a scenario and returns its result.
func Run(sc *scenario.Scenario, seed uint64, opt Options) *result.Result {
	w := newWorld(sc, seed, opt)
	end := sc.Length.D()
	if opt.Until > 0 {
		end = min(end, opt.Until)
	}
	w.run(end)
	// Callers who are still waiting get their answers, or are found without.
	w.crowd.closed = true
	w.run(end + w.crowd.longest())
	w.check.End(w.now)
	r := w.tally.Result(end)
	r.Scenario, r.Seed, r.Events = sc.Name, seed, w.events
	for _, rule := range invariant.All {
		if n := w.check.Count(rule); n > 0 {
			if r.Broken == nil {
				r.Broken = make(map[string]int)
			}
			r.Broken[string(rule)] = n
		}
	}
	r.Breaches = w.check.Breaches()
	w.account(r)
	r.Finish()
	return r
}

func newWorld(sc *scenario.Scenario, seed uint64, opt Options) *World {
	w := &World{sc: sc, opt: opt, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), bySite: make(map[string]*site), byName: make(map[string]*node), severed: make(map[int]int),
		check: invariant.New(invariant.Defaults()), model: sc.Model(), rate: sc.Rate()}
	w.tally = result.NewTally(sc)
	for i := range sc.Fleet.Exchanges {
		s := w.start(fmt.Sprint("x", i), i, false)
		w.places = append(w.places, s)
	}
	for i := range sc.Fleet.Controllers {
		n := newNode(w, i)
		w.nodes, w.byName[n.name] = append(w.nodes, n), n
	}
	for _, n := range w.nodes {
		n.begin()
	}
	w.crowd = newCrowd(w)
	for _, f := range sc.Fault {
		w.plan.Push(f.At.D(), func() { w.strike(f) })
	}
	return w
}

// run plays until a time.
func (w *World) run(end Time) {
	for w.plan.NextTime() <= end {
		at, f := w.plan.Pop()
		w.now = at
		w.events++
		f()
	}
	w.now = end
}

// after has something done so much later.
func (w *World) after(d time.Duration, f func()) { w.plan.Push(w.now+max(d, 0), f) }

// draw draws from a range.
func (w *World) draw(s scenario.Span) time.Duration { return s.Draw(w.rng) }

func (w *World) see(e invariant.Event) {
	e.At = w.now
	w.check.See(e)
	if w.opt.Watch != nil {
		w.opt.Watch(e)
	}
}

// A wire carries what goes one way between a controller and an exchange: in the order in which it was
// sent, as a connection does.
type wire struct{ last Time }

// carry has something arrive at the other end.
func (w *World) carry(l *wire, near bool, f func()) {
	d := w.sc.Wire.Far
	if near {
		d = w.sc.Wire.Near
	}
	l.last = max(w.now+w.draw(d), l.last+1)
	w.plan.Push(l.last, f)
}

// A site is an exchange in its place.
type site struct {
	w        *World
	id       string
	pool     int
	zone     int
	x        *exchange.Exchange
	born     Time
	cold     bool
	state    admission.ServerState // as the directory will say
	vanished bool
	fell     bool
	wake     Time        // when it is next looked at
	sends    map[int]int // set-ups that reached it, by second of the run, while it is cold
}

// start starts an exchange in a place.
func (w *World) start(id string, pool int, cold bool) *site {
	s := &site{w: w, id: id, pool: pool, zone: pool % w.sc.Fleet.Zones, born: w.now, cold: cold, wake: eventqueue.Never}
	s.x = exchange.New(w.model, w.now, cold, rand.New(rand.NewPCG(w.seed, uint64(len(w.sites))+1000)))
	if cold {
		s.sends = make(map[int]int)
	}
	w.sites = append(w.sites, s)
	w.bySite[id] = s
	return s
}

// server is the directory's line on a site.
func (s *site) server() admission.Server {
	v := admission.Server{ID: s.id, Pool: s.pool, State: s.state}
	if s.cold {
		v.Started = epoch + s.born + s.w.skew
	}
	return v
}

// do has an input reach the exchange and carries away what it says.
func (s *site) do(f func(x *exchange.Exchange, now Time)) {
	if s.vanished {
		return
	}
	s.x.Tick(s.w.now)
	f(s.x, s.w.now)
	s.pump()
}

func (s *site) pump() {
	for _, m := range s.x.Take() {
		if !s.vanished {
			s.w.byName[m.To].from(s, m)
		}
	}
	if next := s.x.Next(); next < s.wake {
		s.wake = next
		s.w.plan.Push(next, func() {
			if s.wake == next {
				s.wake = eventqueue.Never
				s.x.Tick(s.w.now)
				s.pump()
			}
		})
	}
}

// set changes a site's state in the directory, and tells the controllers.
func (s *site) set(state admission.ServerState) {
	s.state = state
	s.w.news(s)
}

// news tells all controllers what the directory says of a site, each in its own time.
func (w *World) news(s *site) {
	v := s.server()
	for _, n := range w.nodes {
		w.newsTo(n, v)
	}
}

func (w *World) newsTo(n *node, v admission.Server) {
	life := n.life
	n.newsAt = max(w.now+w.draw(w.sc.Wire.News)+w.namesLate, n.newsAt+1) // in order
	w.plan.Push(n.newsAt, func() {
		switch {
		case n.life != life || n.core == nil:
		case w.namesLost: // it comes with the next that gets through
			n.missed = append(n.missed, v)
		default:
			n.told(v)
		}
	})
}

// crash ends a site without a word to the directory's readers but what the directory finds out.
func (s *site) crash() {
	s.x.Stop()
	for _, n := range s.w.nodes {
		n.lostLink(s, call.ConnectionReset)
	}
	s.set(admission.Removed)
}

// account adds what the exchanges have seen to a result.
func (w *World) account(r *result.Result) {
	for _, s := range w.sites {
		r.Exchanges.Add(&s.x.Counters)
		if s.cold {
			r.Cold = append(r.Cold, result.Cold{Exchange: s.id, Born: s.born.Seconds(), Fell: s.fell, Sends: s.curve()})
		}
	}
	slices.SortFunc(r.Cold, func(a, b result.Cold) int {
		return cmp.Or(cmp.Compare(a.Born, b.Born), cmp.Compare(a.Exchange, b.Exchange))
	})
}

// curve is what reached a cold exchange second by second, over what it could do.
func (s *site) curve() (all []float64) {
	m := &s.w.model
	for i := range int(m.Warm/time.Second) + 5 {
		age := time.Duration(i) * time.Second
		if s.born+age > s.w.now {
			break
		}
		all = append(all, float64(s.sends[i])/(m.Capacity()*m.Warmth(age)))
	}
	return all
}
