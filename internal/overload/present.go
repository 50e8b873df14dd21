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
	suspectHeartbeats = 2.5
	deadHeartbeats    = 4
	lossWindow        = 32 // messages over which the share of lost ones is taken
)

// A memberRecord is what a teller knows of a controller, by its number. It is all that a teller keeps of it.
type memberRecord struct {
	incarnation, sequence uint32
	overloadedAt          Time // when it last told of a server that is slow; 0: never
	lastReportAt          Time // when its latest report came; 0: none did
	received, lost        float64
	lastReport            *loadReport // its latest; nil: too old
}

// accept tells whether a report is news, and keeps it if so. Repeats, those overtaken on the way and those of an
// earlier start are not; of an earlier start are also those of a second process under the same number,
// of which the later one counts.
func (p *memberRecord) accept(now Time, r *loadReport, beat Time) bool {
	silent := p.lastReportAt == 0 || now-p.lastReportAt > Time(deadHeartbeats*float64(beat))
	switch {
	case r.incarnation > p.incarnation, r.incarnation < p.incarnation && silent: // guards against a clock that was set back
		p.incarnation, p.sequence, p.received, p.lost = r.incarnation, r.sequence-1, 0, 0
	case r.incarnation < p.incarnation, r.sequence <= p.sequence:
		return false
	}
	if missed := r.sequence - p.sequence - 1; missed < lossWindow { // more is a silence, not a loss
		p.lost += float64(missed)
	}
	if p.received++; p.received+p.lost > lossWindow {
		p.received, p.lost = p.received/2, p.lost/2
	}
	p.sequence, p.lastReportAt, p.lastReport = r.sequence, now, r
	return true
}

// status is what is held of the controller now.
func (p *memberRecord) status(now, beat Time) MemberStatus {
	switch silent := float64(now - p.lastReportAt); {
	case p.lastReportAt == 0:
		return Unknown
	case silent < suspectHeartbeats*float64(beat):
		return Alive
	case silent < deadHeartbeats*float64(beat):
		return Suspect
	}
	return Dead
}

// estimateAlive is how many controllers are there by how many were heard within suspectAfter beats: of those that
// are there, a share that follows from the losses seen was not. The second figure is the share of messages
// that get lost.
func estimateAlive(peers []memberRecord, now, beat Time) (live float64, loss float64) {
	heard, got, lost := 0, 0.0, 0.0
	for i := range peers {
		if p := &peers[i]; p.status(now, beat) == Alive {
			heard++
			got, lost = got+p.received, lost+p.lost
		}
	}
	if got > 0 {
		loss = lost / (got + lost)
	}
	// Within suspectAfter beats two or three messages were sent, as likely the one as the other.
	unheard := (math.Pow(loss, math.Floor(suspectHeartbeats)) + math.Pow(loss, math.Ceil(suspectHeartbeats))) / 2
	return min(float64(heard)/(1-min(unheard, 0.9)), float64(len(peers))), loss
}

// memberBits are the controllers that are not known to be gone, a bit each. Those that were never heard count: they
// may report to another, and would not be found again.
func memberBits(peers []memberRecord, now, beat Time) []byte {
	b := make([]byte, (len(peers)+7)/8)
	for i := range peers {
		if peers[i].status(now, beat) != Dead {
			b[i/8] |= 1 << (i % 8)
		}
	}
	return b
}

// hasBit tells whether a bit is set.
func hasBit(b []byte, i int) bool { return i/8 < len(b) && b[i/8]>>(i%8)&1 == 1 }

// median of some figures, which it sorts; 0 of none.
func median(all []float64) float64 {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/2]
}
