package overload

import "math"

// A MemberStatus is the state of a member as an aggregator derives it from the member's reports.
type MemberStatus int

// States of a member.
const (
	Unknown MemberStatus = iota // has never reported; it may run a version without overload control
	Alive
	Suspect // has not reported for longer than lost datagrams explain
	Dead    // considered down until it reports again
)

// String returns the name of the state as olivectl prints it.
func (s MemberStatus) String() string {
	return [...]string{"unheard", "live", "suspected", "dead"}[s]
}

// Times without a report after which a member is suspect or dead, in heartbeat intervals. At a loss rate of three
// datagrams in ten, two consecutive lost reports do not make a member suspect.
const (
	suspectHeartbeats = 2.5
	deadHeartbeats    = 4
)

// lossWindow is the number of reports over which the loss rate is estimated.
const lossWindow = 32

// maxUnseenShare bounds the share of living members that an estimate assumes to be missed because of packet loss.
const maxUnseenShare = 0.9

// A memberRecord is the state that an aggregator keeps for a member.
type memberRecord struct {
	incarnation    uint32
	sequence       uint32 // of the latest report
	overloadedAt   Time   // when it last reported an overloaded server; 0: never
	lastReportAt   Time   // 0: never
	received, lost float64
	lastReport     *loadReport // nil: no report yet, or it has expired
}

// accept stores a report and returns true, unless the report is a duplicate, out of order or from an earlier
// incarnation. An earlier incarnation is accepted only from a member that is considered dead: its clock, which numbers
// incarnations, was set back.
func (r *memberRecord) accept(now Time, report *loadReport, heartbeatInterval Time) bool {
	isSilent := r.lastReportAt == 0 || now-r.lastReportAt > Time(deadHeartbeats*float64(heartbeatInterval))
	switch {
	case report.incarnation > r.incarnation, report.incarnation < r.incarnation && isSilent:
		r.incarnation = report.incarnation
		r.sequence = report.sequence - 1
		r.received, r.lost = 0, 0
	case report.incarnation < r.incarnation, report.sequence <= r.sequence:
		return false
	}
	r.countLoss(report.sequence - r.sequence - 1)
	r.sequence = report.sequence
	r.lastReportAt = now
	r.lastReport = report
	return true
}

// countLoss counts a received report and those missed before it. A gap of lossWindow reports or more is an outage of
// the member and does not count as loss.
func (r *memberRecord) countLoss(missed uint32) {
	if missed < lossWindow {
		r.lost += float64(missed)
	}
	r.received++
	if r.received+r.lost > lossWindow {
		r.received /= 2
		r.lost /= 2
	}
}

// status returns the member's state at a time.
func (r *memberRecord) status(now, heartbeatInterval Time) MemberStatus {
	if r.lastReportAt == 0 {
		return Unknown
	}
	silence := float64(now - r.lastReportAt)
	switch {
	case silence < suspectHeartbeats*float64(heartbeatInterval):
		return Alive
	case silence < deadHeartbeats*float64(heartbeatInterval):
		return Suspect
	}
	return Dead
}

// lossShare returns the share of the member's reports that were lost.
func (r *memberRecord) lossShare() float64 {
	if total := r.received + r.lost; total > 0 {
		return r.lost / total
	}
	return 0
}

// estimateAlive estimates the number of living members: those that reported within suspectHeartbeats, corrected by the
// measured loss rate for those whose reports were all lost.
func estimateAlive(members []memberRecord, now, heartbeatInterval Time) float64 {
	seen, received, lost := 0, 0.0, 0.0
	for i := range members {
		r := &members[i]
		if r.status(now, heartbeatInterval) == Alive {
			seen++
			received += r.received
			lost += r.lost
		}
	}
	loss := 0.0
	if received > 0 {
		loss = lost / (received + lost)
	}
	// A member sends two or three reports within suspectHeartbeats, with equal probability.
	unseen := (math.Pow(loss, math.Floor(suspectHeartbeats)) + math.Pow(loss, math.Ceil(suspectHeartbeats))) / 2
	return min(float64(seen)/(1-min(unseen, maxUnseenShare)), float64(len(members)))
}

// memberBits returns a bit set of the members that are not dead. It includes members that have never reported: they may
// report to another aggregator, and could not be selected again otherwise.
func memberBits(members []memberRecord, now, heartbeatInterval Time) []byte {
	b := make([]byte, bitsetBytes(len(members)))
	for i := range members {
		if members[i].status(now, heartbeatInterval) != Dead {
			setBit(b, i)
		}
	}
	return b
}

// bitsetBytes returns the length in bytes of a set of n bits.
func bitsetBytes(n int) int { return (n + 7) / 8 }

func setBit(b []byte, i int) { b[i/8] |= 1 << (i % 8) }

func hasBit(b []byte, i int) bool { return i/8 < len(b) && b[i/8]>>(i%8)&1 == 1 }

// A membershipView is what a member knows about the others from the latest membership digest or limit update.
type membershipView struct {
	members      []byte // set of the members that are not dead; nil: all may be alive
	aliveMembers int
	peakMembers  int // highest number of living members in the last minutes; 0: unknown
}

// mayBeAlive reports whether a member may be alive, which is if it is not known to be dead.
func (v *membershipView) mayBeAlive(number int) bool {
	return v.members == nil || hasBit(v.members, number)
}

// markAlive records that a message from a member was received.
func (v *membershipView) markAlive(number int) {
	if v.members != nil {
		setBit(v.members, number)
	}
}

// apply stores a digest. Bits that it lacks for a group of the given number of members are set to 0.
func (v *membershipView) apply(d *membershipDigest, members int) {
	v.aliveMembers = d.aliveMembers
	v.peakMembers = d.peakMembers
	missing := max(bitsetBytes(members)-len(d.members), 0)
	v.members = append(d.members, make([]byte, missing)...)
}
