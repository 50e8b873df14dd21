package virtualtime

import (
	"fmt"
	"slices"
	"time"

	"olivedale/internal/call"
	"olivedale/internal/sim/exchange"
	"olivedale/internal/sim/invariant"
)

// Times of connections and restarts.
const (
	findMute  = 250 * time.Millisecond // a connection that brings nothing while set-ups wait is given up after this
	dialLimit = 500 * time.Millisecond // a connection that is not up by then has failed
	sayAgain  = 200 * time.Millisecond // a release that did not get through is said again after this
	answerBy  = 3 * time.Second        // a controller that is being stopped ends by then, whatever it owes
	lookOwed  = 50 * time.Millisecond
)

// apart tells whether a cut between zones lies on the way to an exchange.
func (n *node) apart(s *site) bool {
	return n.w.apart(n.zone, s.zone)
}

// apart tells whether a cut lies between two zones.
func (w *World) apart(a, b int) bool { return a != b && (w.severed[a] > 0 || w.severed[b] > 0) }

// mute tells whether the connection to an exchange carries nothing. One that was found out is made anew
// as soon as the way is open.
func (n *node) mute(s *site) bool {
	found, dead := n.dead[s]
	if dead && found && !n.apart(s) {
		delete(n.dead, s)
		dead = false
	}
	return dead || n.apart(s)
}

// intoNothing has a set-up go where nothing arrives: down a connection that is found to be mute after a
// while, or to a dial that is not answered.
func (n *node) intoNothing(s *site, a exchange.Attempt) {
	life := n.life
	if n.dead[s] { // found out before: this one waits for a connection
		n.w.after(dialLimit, func() {
			if n.life != life || n.out[a] != s {
				return
			}
			delete(n.out, a)
			n.w.see(invariant.Event{Kind: invariant.TurnedBack, Node: n.name, Call: a.Call, Server: s.id, N: a.N})
			n.core.AttemptEnded(s.id, a.Call, a.N, call.DialTimedOut)
			n.settle()
		})
		return
	}
	n.w.after(findMute, func() {
		if n.life != life || n.dead[s] || !n.mute(s) {
			return
		}
		n.dead[s] = true
		n.lostLink(s, call.Unresponsive)
	})
}

// leave stops the controller in order: no new calls come, and it ends when it owes no answer; it starts
// again after a while.
func (n *node) leave(away time.Duration) {
	if n.core == nil || n.leaves {
		return
	}
	n.leaves = true
	life, end := n.life, n.w.now+answerBy
	var look func()
	look = func() {
		switch {
		case n.life != life:
		case len(n.out) > 0 && n.w.now < end:
			n.w.after(lookOwed, look)
		default:
			n.kill()
			n.w.after(away, func() {
				if n.core == nil {
					n.begin()
				}
			})
		}
	}
	n.w.after(lookOwed, look)
}

// say sends a datagram to another controller, or to all others. It comes late or not at all, and does not
// pass a cut between zones; it counts as told for each who was meant, as the platform prices it.
func (n *node) say(to int, b []byte) {
	w := n.w
	if len(b) > mostSaid {
		panic(fmt.Sprintf("a datagram of %d bytes between controllers, %d at most", len(b), mostSaid)) // it would void a run
	}
	for _, o := range w.nodes {
		if o == n || to != Everyone && o.i != to {
			continue
		}
		w.tally.Told(len(b))
		if w.apart(n.zone, o.zone) || w.rng.Float64() < w.sc.Wire.Lose {
			continue
		}
		got := slices.Clone(b)
		w.after(w.draw(w.sc.Wire.Peer), func() {
			if o.core != nil && o.hears != nil {
				o.hears(n.i, got)
				o.settle()
			}
		})
	}
}
