package overload

import (
	"math"
	"slices"
)

// A MemberStatus is what is held of a controller.
type MemberStatus int

// Presences. One that has not been heard is Unknown: it may be of an earlier version that says nothing.
const (
	Unknown MemberStatus = iota
	Alive
	Suspect // not heard for longer than losses explain
	Dead    // held for gone until it is heard again
)

// String implements fmt.Stringer.
func (p MemberStatus) String() string { return [...]string{"unheard", "live", "suspected", "dead"}[p] }

// Of silence, in beats: two lost messages in a row are no reason to suspect anybody where three in ten
// get lost.
const (
	suspectAfter = 2.5
	deadAfter    = 4
	forgetLoss   = 32 // messages over which the share of lost ones is taken
)

// A peer is what a teller knows of a controller, by its number. It is all that a teller keeps of it.
type peer struct {
	boot, seq uint32
	hot       Time // when it last told of a server that is slow; 0: never
	heard     Time // when its latest report came; 0: none did
	got, lost float64
	last      *report // its latest; nil: too old
}

// takes tells whether a report is news, and keeps it if so. Repeats, those overtaken on the way and those of an
// earlier start are not; of an earlier start are also those of a second process under the same number,
// of which the later one counts.
func (p *peer) takes(now Time, r *report, beat Time) bool {
	silent := p.heard == 0 || now-p.heard > Time(deadAfter*float64(beat))
	switch {
	case r.boot > p.boot, r.boot < p.boot && silent: // guards against a clock that was set back
		p.boot, p.seq, p.got, p.lost = r.boot, r.seq-1, 0, 0
	case r.boot < p.boot, r.seq <= p.seq:
		return false
	}
	if missed := r.seq - p.seq - 1; missed < forgetLoss { // more is a silence, not a loss
		p.lost += float64(missed)
	}
	if p.got++; p.got+p.lost > forgetLoss {
		p.got, p.lost = p.got/2, p.lost/2
	}
	p.seq, p.heard, p.last = r.seq, now, r
	return true
}

// presence is what is held of the controller now.
func (p *peer) presence(now, beat Time) MemberStatus {
	switch silent := float64(now - p.heard); {
	case p.heard == 0:
		return Unknown
	case silent < suspectAfter*float64(beat):
		return Alive
	case silent < deadAfter*float64(beat):
		return Suspect
	}
	return Dead
}

// estimate is how many controllers are there by how many were heard within suspectAfter beats: of those that
// are there, a share that follows from the losses seen was not. The second figure is the share of messages
// that get lost.
func estimate(peers []peer, now, beat Time) (live float64, loss float64) {
	heard, got, lost := 0, 0.0, 0.0
	for i := range peers {
		if p := &peers[i]; p.presence(now, beat) == Alive {
			heard++
			got, lost = got+p.got, lost+p.lost
		}
	}
	if got > 0 {
		loss = lost / (got + lost)
	}
	// Within suspectAfter beats two or three messages were sent, as likely the one as the other.
	unheard := (math.Pow(loss, math.Floor(suspectAfter)) + math.Pow(loss, math.Ceil(suspectAfter))) / 2
	return min(float64(heard)/(1-min(unheard, 0.9)), float64(len(peers))), loss
}

// bits are the controllers that are not known to be gone, a bit each. Those that were never heard count: they
// may report to another, and would not be found again.
func bits(peers []peer, now, beat Time) []byte {
	b := make([]byte, (len(peers)+7)/8)
	for i := range peers {
		if peers[i].presence(now, beat) != Dead {
			b[i/8] |= 1 << (i % 8)
		}
	}
	return b
}

// has tells whether a bit is set.
func has(b []byte, i int) bool { return i/8 < len(b) && b[i/8]>>(i%8)&1 == 1 }

// median of some figures, which it sorts; 0 of none.
func median(all []float64) float64 {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/2]
}
