package virtualtime

import (
	"fmt"
	"time"

	"olivedale/internal/admission"
	"olivedale/internal/call"
	"olivedale/internal/sim/exchange"
	"olivedale/internal/sim/scenario"
)

// some draws so many of the exchanges that run.
func (w *World) some(of float64) (all []*site) {
	var live []*site
	for _, s := range w.places {
		if s.x.State() == exchange.Running && s.state == admission.Active {
			live = append(live, s)
		}
	}
	for range share(len(live), of) {
		i := w.rng.IntN(len(live))
		all = append(all, live[i])
		live[i] = live[len(live)-1]
		live = live[:len(live)-1]
	}
	return all
}

// strike has a fault begin, and end if it does.
func (w *World) strike(f scenario.Fault) {
	w.tally.Fault(w.now, f)
	end := func(undo func()) {
		if f.For > 0 {
			w.after(f.For.D(), undo)
		}
	}
	switch f.Kind {
	case scenario.Slow:
		all := w.some(f.Share)
		for _, s := range all {
			s.x.Slow(f.Factor)
		}
		end(func() {
			for _, s := range all {
				s.x.Slow(1)
			}
		})
	case scenario.Crash:
		for _, s := range w.some(f.Share) {
			s.crash()
			if f.By > 0 { // another starts in its place
				w.after(f.By.D(), func() { w.replace(s) })
			}
		}
	case scenario.Vanish:
		all := w.some(f.Share)
		for _, s := range all {
			s.vanished = true
		}
		end(func() {
			for _, s := range all {
				s.vanished = false
				s.pump()
			}
		})
	case scenario.Hang:
		all := w.some(f.Share)
		for _, s := range all {
			s.do(func(x *exchange.Exchange, now Time) { x.Hang(now, true) })
		}
		end(func() {
			for _, s := range all {
				s.do(func(x *exchange.Exchange, now Time) { x.Hang(now, false) })
			}
		})
	case scenario.Replace:
		all := w.some(f.Share)
		for i, s := range all { // one after the other over the time that it takes
			w.after(f.For.D()*time.Duration(i)/time.Duration(len(all)), func() { w.deploy(s, max(f.By.D(), 5*time.Second)) })
		}
	case scenario.LoseLines:
		zone := w.rng.IntN(w.sc.Fleet.Zones)
		for _, s := range w.places {
			if s.zone == zone && s.x.State() == exchange.Running {
				s.do(func(x *exchange.Exchange, now Time) { x.SetCircuitShare(now, f.Keep) })
				end(func() { s.do(func(x *exchange.Exchange, now Time) { x.SetCircuitShare(now, 1) }) })
			}
		}
	case scenario.Cut:
		for _, s := range w.places {
			s.do(func(x *exchange.Exchange, now Time) { x.Cutting(now, share(x.Standing(), f.Share)) })
		}
	case scenario.Burst:
		w.crowd.burst *= f.Factor
		end(func() { w.crowd.burst /= f.Factor })
	case scenario.NamesLost:
		w.namesLost = true
		end(func() {
			w.namesLost = false
			for _, n := range w.nodes { // the directory's next word brings what was missed
				if n.core != nil && len(n.missed) > 0 {
					last := n.missed[len(n.missed)-1]
					n.missed = n.missed[:len(n.missed)-1]
					n.told(last)
				}
			}
		})
	case scenario.NamesLate:
		w.namesLate += f.By.D()
		end(func() { w.namesLate -= f.By.D() })
	case scenario.NamesLie:
		all := w.some(f.Share)
		for _, s := range all {
			s.set(admission.Removed)
		}
		end(func() {
			for _, s := range all {
				if s.x.State() == exchange.Running {
					s.set(admission.Active)
				}
			}
		})
	case scenario.Reset:
		for _, s := range w.some(max(f.Share, 0.001)) {
			for _, n := range w.nodes {
				n.lostLink(s, call.ConnectionReset)
			}
		}
	case scenario.Half:
		w.half += f.Share
		end(func() { w.half -= f.Share })
	case scenario.Spoil:
		w.spoil += f.Share
		end(func() { w.spoil -= f.Share })
	case scenario.Twice:
		w.twice += f.Share
		end(func() { w.twice -= f.Share })
	case scenario.Skew:
		w.skew += f.By.D()
		end(func() { w.skew -= f.By.D() })
	case scenario.Lost:
		w.lost += f.Share
		end(func() { w.lost -= f.Share })
	case scenario.Dead:
		for _, s := range w.some(f.Share) {
			for _, n := range w.nodes {
				if n.core != nil {
					n.dead[s] = false
				}
			}
		}
	case scenario.Sever:
		zone := w.rng.IntN(w.sc.Fleet.Zones)
		w.severed[zone]++
		end(func() { w.severed[zone]-- })
	case scenario.Roll:
		w.roll(f)
	case scenario.Kill:
		for range share(len(w.nodes), f.Share) {
			n := w.nodes[w.rng.IntN(len(w.nodes))]
			n.kill()
			w.after(max(f.By.D(), 100*time.Millisecond), func() {
				if n.core == nil {
					n.begin()
				}
			})
		}
	}
}

// roll restarts all controllers in order, a tenth at a time.
func (w *World) roll(f scenario.Fault) {
	for i, n := range w.nodes {
		tenth := Time(i*10/len(w.nodes)) * f.For.D() / 10
		w.after(tenth, func() { n.leave(max(f.By.D(), 100*time.Millisecond)) })
	}
}

// deploy has an exchange drain and stop, and another start cold in its place at once.
func (w *World) deploy(s *site, drain time.Duration) {
	if s.x.State() != exchange.Running || s.state != admission.Active {
		return
	}
	s.set(admission.Draining)
	w.replace(s)
	w.after(drain, func() { // what still stands there is cut as it stops
		s.do(func(x *exchange.Exchange, now Time) { x.Cutting(now, x.Standing()) })
		w.after(500*time.Millisecond, s.crash)
	})
}

// replace starts an exchange in the place of another.
func (w *World) replace(old *site) {
	s := w.start(fmt.Sprintf("x%d.%d", old.pool, len(w.sites)), old.pool, true)
	w.places[old.pool] = s
	w.news(s)
}
