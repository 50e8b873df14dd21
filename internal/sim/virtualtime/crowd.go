package virtualtime

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"olivedale/internal/call"
	"olivedale/internal/sim/exchange"
	"olivedale/internal/sim/invariant"
	"olivedale/internal/sim/result"
	"olivedale/internal/sim/scenario"
)

// A crowd is all callers. Calls come whether or not those before were answered (an open loop); what
// chance decides about them is drawn from a source of its own, so that two modules see the same calls.
type crowd struct {
	w      *World
	rng    *rand.Rand
	next   int
	tries  map[string]*try // by the id of the set-up, until its call is over
	burst  float64
	lean   int  // pool of first choice of most calls
	closed bool // nobody calls any more
}

// A caller is one who wants a call, with all tries.
type caller struct {
	class  *scenario.Class
	k      int // index of the class
	number string
	first  int
	began  Time
	tries  int
	draw   float64 // settles its patience
	call   *result.Call
	home   int  // its controller
	cut    bool // it stood before, was cut and comes again
}

// A try is one set-up.
type try struct {
	id     string
	of     *caller
	n      *node
	at     *site // that answered it
	over   bool  // it has its answer, or was given up
	stands bool
}

func newCrowd(w *World) *crowd {
	c := &crowd{w: w, rng: rand.New(rand.NewPCG(w.seed, 2)), tries: make(map[string]*try), burst: 1}
	c.arrive()
	c.shift()
	return c
}

// longest is how long it takes until the last who has called has given up.
func (c *crowd) longest() (d time.Duration) {
	for _, k := range c.w.sc.Class {
		d = max(d, k.GiveUp.D())
	}
	return 2*d + 5*time.Second
}

// rate is how many calls a second come at a time.
func (c *crowd) rate(at Time) float64 { return c.w.rate * c.w.sc.Offered(at) * c.burst }

// arrive has calls come by a Poisson process whose rate changes: drawn at the highest rate that there
// can be for a while, and thinned.
func (c *crowd) arrive() {
	const look = 100 * time.Millisecond
	top := 0.0
	for d := time.Duration(0); d <= look; d += look / 4 {
		top = max(top, c.rate(c.w.now+d))
	}
	var step func()
	until := c.w.now + look
	step = func() {
		if c.closed {
			return
		}
		gap := look
		if top > 0 {
			gap = time.Duration(c.rng.ExpFloat64() / top * float64(time.Second))
		}
		if c.w.now+gap >= until {
			c.w.plan.Push(until, c.arrive)
			return
		}
		c.w.after(gap, func() {
			if c.rng.Float64()*top < c.rate(c.w.now) && !c.closed {
				c.call(nil)
			}
			step()
		})
	}
	step()
}

// shift changes where most calls want to go.
func (c *crowd) shift() {
	c.lean = c.rng.IntN(len(c.w.places))
	s := c.w.sc.Callers.Shift
	if s[1] <= 0 {
		return
	}
	c.w.after(s.Draw(c.rng), func() {
		if !c.closed {
			c.shift()
		}
	})
}

// call has somebody call; after a call of theirs was cut if one is given.
func (c *crowd) call(cut *caller) {
	sc := c.w.sc
	k := &caller{began: c.w.now, draw: c.rng.Float64()}
	if cut != nil {
		k.class, k.k, k.number, k.first, k.cut = cut.class, cut.k, cut.number, cut.first, true
	} else {
		k.k = scenario.Pick(sc.Class, c.rng.Float64())
		k.class = &sc.Class[k.k]
		k.number = fmt.Sprint("5", c.rng.IntN(200_000*sc.Fleet.Exchanges))
		if c.rng.Float64() < sc.Callers.Hot {
			k.number = "5000"
		}
		k.first = c.lean
		// Of n exchanges the one that calls lean to weighs Lean, the others one each.
		if x := c.rng.Float64() * (sc.Callers.Lean + float64(len(c.w.places)-1)); x >= sc.Callers.Lean {
			if k.first = int(x - sc.Callers.Lean); k.first >= c.lean {
				k.first++
			}
			k.first = min(k.first, len(c.w.places)-1)
		}
	}
	k.home = c.rng.IntN(len(c.w.nodes))
	if cut != nil && !sc.Callers.Roam {
		k.home = cut.home
	}
	k.call = c.w.tally.Offered(c.w.now, k.k, k.home)
	c.try(k, k.home)
}

// try sends a set-up to a controller, or to the next that runs.
func (c *crowd) try(k *caller, home int) {
	w := c.w
	n := w.nodes[home]
	for i := 1; (n.core == nil || n.leaves) && i <= len(w.nodes); i++ {
		n = w.nodes[(home+i)%len(w.nodes)]
	}
	c.next++
	t := &try{id: fmt.Sprintf("c%d", c.next), of: k, n: n}
	k.tries++
	w.tally.Try()
	p := w.sc.Callers.Patience
	patience := time.Duration(float64(k.class.GiveUp.D()) * (p[0] + (p[1]-p[0])*k.draw))
	if patience <= 0 {
		patience = k.class.GiveUp.D()
	}
	stays := patience
	if w.sc.Callers.Leave > 0 && c.rng.Float64() < w.sc.Callers.Leave {
		stays = time.Duration(c.rng.Float64() * float64(patience))
	}
	c.tries[t.id] = t
	life := n.life
	wire := w.sc.Wire.Client.D()
	w.after(wire, func() {
		if n.core == nil || n.life != life {
			c.failed(t, 0) // its connection was reset
			return
		}
		w.see(invariant.Event{Kind: invariant.SetUp, Node: n.name, Call: t.id, Until: w.now + patience - wire})
		var client call.Client = n.conns[c.rng.IntN(len(n.conns))]
		if w.opt.Client != nil {
			client = w.opt.Client(n.name, client)
		}
		_ = n.core.Offer(client, call.Request{ID: t.id, Class: k.class.Name, Number: k.number, PreferredPool: k.first, Deadline: n.clock() + patience - wire - margin, Reestablish: k.cut})
		n.settle()
	})
	w.after(stays, func() {
		if t.over {
			return
		}
		w.tally.GaveUp()
		c.failed(t, 0)
		w.after(wire, func() {
			if n.core == nil || n.life != life {
				return
			}
			w.see(invariant.Event{Kind: invariant.CallerEnd, Node: n.name, Call: t.id})
			n.core.ReleaseByCaller(t.id, call.CauseNormal)
			n.settle()
		})
	})
}

// failed ends a try that came to nothing; the caller may try again.
func (c *crowd) failed(t *try, wait time.Duration) {
	if t.over {
		return
	}
	t.over = true
	delete(c.tries, t.id)
	k, sc := t.of, c.w.sc
	if k.tries > sc.Callers.Tries || c.closed {
		return
	}
	gap := sc.Callers.Wait.Draw(c.rng)
	gap <<= min(k.tries-1, 4)
	if !sc.Callers.Heedless {
		gap = max(gap, wait)
	}
	if c.w.now+gap-k.began >= k.class.GiveUp.D() {
		return // too late: they walk up the stairs
	}
	home := c.rng.IntN(len(c.w.nodes))
	if !sc.Callers.Roam {
		home = k.home
	}
	c.w.after(gap, func() {
		if !c.closed {
			c.try(k, home)
		}
	})
}

// refused brings a caller the news that the call does not stand.
func (c *crowd) refused(id string, cause int, wait time.Duration) {
	t := c.tries[id]
	if t == nil || t.over {
		return
	}
	c.w.tally.Refused(cause == call.CauseNoCircuit)
	c.failed(t, wait)
}

// stands brings a caller the news that the call stands.
func (c *crowd) stands(id string) {
	t := c.tries[id]
	if t == nil || t.over || t.stands {
		return
	}
	t.over, t.stands = true, true
	k := t.of
	c.w.tally.Stood(k.call, c.w.now-k.began, t.at != nil && t.at.pool != k.first)
}

// released brings a caller the end of a call that stood.
func (c *crowd) released(id string, cause int) {
	t := c.tries[id]
	if t == nil || !t.stands {
		return
	}
	delete(c.tries, id)
	if cause != exchange.CauseNormal {
		c.w.tally.Cut(t.of.call)
		if back := c.back(); !c.closed && back > 0 {
			c.w.after(back, func() {
				if !c.closed {
					c.call(t.of)
				}
			})
		}
	}
}

// back is when a caller who was cut comes again.
func (c *crowd) back() time.Duration {
	back := scenario.Back
	for _, f := range c.w.sc.Fault {
		if f.Kind == scenario.Cut && f.Back[1] > 0 {
			back = f.Back
		}
	}
	return back.Draw(c.rng)
}

// lost tells callers that their controller's connections are reset.
func (c *crowd) lost(n *node) {
	var all []*try
	for _, t := range c.tries {
		if t.n == n && !t.over {
			all = append(all, t)
		}
	}
	slices.SortFunc(all, func(a, b *try) int { return cmp.Or(len(a.id)-len(b.id), cmp.Compare(a.id, b.id)) })
	for _, t := range all {
		c.w.after(c.w.sc.Wire.Client.D(), func() { c.failed(t, 0) })
	}
}

// margin is what a front keeps of a caller's time for the way of the last answer.
const margin = 5 * time.Millisecond

// share is a count of things of which a share is struck, one at least if the share is positive.
func share(n int, of float64) int {
	if of <= 0 {
		return 0
	}
	return min(max(int(math.Round(of*float64(n))), 1), n)
}
