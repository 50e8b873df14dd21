// Package overload is distributed overload control between call controllers. Each controller, a member, measures the
// load and the set-up time of the servers and sends load reports to one of the members, its aggregator. The
// aggregator sums them up, settles how much all members together may send to each server, and answers with limit
// updates: throttle probabilities by priority. Each member throttles its calls at random by these. There is no
// election: a member selects the first living member by rendezvous hashing, applies the limits of that one only,
// and ejects it if it is silent or if its limits contradict the member's own measurements.
//
// The package owns membership, aggregation and the throttle probabilities. It has no socket and no clock: datagrams,
// measurements and the time are passed in, datagrams are returned. It never selects a server: the admission module
// asks it about servers that its own list and evidence permit.
package overload

import (
	"math/rand/v2"
	"time"
)

// maxClockJump is the longest gap between two readings of the clock. After a longer one the member has been
// suspended, and its measurements are void.
const maxClockJump = 2000 * time.Millisecond

// randomStream separates the member's random numbers from others with the same seed.
const randomStream = 5

// Counters count what a Member did. Their JSON names are those of State.
type Counters struct {
	Sent                    int `json:"Said"` // datagrams
	SentBytes               int `json:"SaidBytes"`
	Received                int `json:"Heard"` // datagrams
	ReceivedBytes           int `json:"HeardBytes"`
	Malformed               int `json:"Unread"` // datagrams that could not be decoded
	Misattributed           int `json:"Alien"`  // datagrams from another sender than they name
	Stale                   int // datagrams that are duplicates, overtaken or from a member that is not the aggregator
	Throttled               int `json:"Held"`    // calls throttled
	Admitted                int `json:"Passed"`  // calls admitted at servers with a limit
	AggregatorChanges       int `json:"Tellers"` // selections of another aggregator
	AggregatorsUnresponsive int `json:"Silent"`  // aggregators ejected because they were silent
	AggregatorsEjected      int `json:"Wrong"`   // aggregators ejected because their limits were wrong
}

// A Member is one controller's part in overload control. It is not safe for concurrent use.
type Member struct {
	Counters
	options    Options
	rng        *rand.Rand
	now        Time
	servers    serverTable
	reporting  reportSchedule
	selection  aggregatorSelection
	limits     currentLimits
	trust      aggregatorTrust
	membership membershipView

	aggregator      *aggregator // what this controller does as an aggregator
	nextLimitUpdate Time
	nextDigest      Time
	outbox          outbox
}

// New returns a Member of a controller that has just started.
func New(now Time, o Options) (*Member, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	m := &Member{
		options:    o,
		rng:        rand.New(rand.NewPCG(o.Seed, randomStream)),
		now:        now,
		servers:    newServerTable(),
		reporting:  reportSchedule{spanStart: now},
		selection:  newAggregatorSelection(now),
		membership: membershipView{aliveMembers: o.Controllers},
		aggregator: newAggregator(o.Controllers, o.LatencyThreshold, o.HeartbeatInterval, o.ReportInterval),
		outbox:     outbox{capacity: outboxPerMember*o.Controllers + outboxReserve},
	}
	m.aggregator.aggregatedAt = now
	// Random first deadlines keep members that start together from sending together.
	m.reporting.next = now + Time(m.rng.Float64()*float64(o.HeartbeatInterval)/4)
	m.nextLimitUpdate = now + Time(m.rng.Float64()*float64(o.ReportInterval))
	m.nextDigest = now + Time(m.rng.Float64()*float64(o.HeartbeatInterval))
	m.selectAggregator()
	return m, nil
}

// Tick does what is due and returns the datagrams to send.
func (m *Member) Tick(now Time) []Datagram {
	if m.options.Controllers == 1 {
		return nil
	}
	m.advance(now)
	m.selectAggregator()
	if now >= m.reporting.next {
		m.sendReport(now)
	}
	if now >= m.nextLimitUpdate {
		m.nextLimitUpdate = now + m.options.ReportInterval
		m.sendLimitUpdates(now)
	}
	if now >= m.nextDigest {
		m.nextDigest = now + m.options.HeartbeatInterval
		m.sendMembershipDigest(now)
	}
	burst := m.outbox.takeBurst(now)
	for _, d := range burst {
		m.Sent++
		m.SentBytes += len(d.Payload)
	}
	return burst
}

// NextDeadline returns when Tick is due.
func (m *Member) NextDeadline() Time {
	if m.options.Controllers == 1 {
		return neverDue
	}
	// Tick advances the clock before a quiet time could be taken for a clock jump.
	next := min(m.reporting.next, m.nextDigest, m.now+maxClockJump/2)
	if m.aggregator.wantsFrequentReports(m.now) {
		next = min(next, m.nextLimitUpdate)
	}
	if !m.outbox.isEmpty() {
		next = min(next, m.outbox.nextBurst)
	}
	return next
}

// advance moves the member's clock. After a clock jump all that it measured and all limits are void.
func (m *Member) advance(now Time) {
	if now-m.now > maxClockJump {
		m.servers.resetAll()
		m.reporting.reset(now)
		m.selection.unansweredReports = 0
		m.limits.latest = nil
	}
	m.now = max(m.now, now)
}

// Receive processes a datagram. from is the number of the sender by its address or signature, -1 if neither
// identifies it. It returns an error if the datagram cannot be decoded or a *SenderError if another controller
// than the one that it names sent it; such a datagram changes nothing.
func (m *Member) Receive(now Time, from int, payload []byte) error {
	m.advance(now)
	m.Received++
	m.ReceivedBytes += len(payload)
	received, err := decode(payload)
	if err != nil {
		m.Malformed++
		return err
	}
	sender := received.header().sender
	if !m.canBeSender(sender, from) {
		m.Misattributed++
		return &SenderError{Claimed: sender, Actual: from}
	}
	isAggregator := received.header().kind != kindLoadReport
	if isAggregator {
		m.readmit(sender)
	}
	switch received := received.(type) {
	case *loadReport:
		m.receiveReport(now, received)
	case *limitUpdate:
		m.receiveLimits(now, received)
	case *membershipDigest:
		m.receiveDigest(now, received)
	}
	return nil
}

// canBeSender says whether a message that names a sender can come from a controller; -1: an unknown one.
func (m *Member) canBeSender(claimed, actual int) bool {
	if actual >= 0 && claimed != actual {
		return false
	}
	return claimed < m.options.Controllers && claimed != m.options.Self
}

// receiveReport processes a load report that is addressed to this controller as an aggregator. If it is the first
// evidence of overload, limit updates begin at once.
func (m *Member) receiveReport(now Time, r *loadReport) {
	wantedReports := m.aggregator.wantsFrequentReports(now)
	if !m.aggregator.acceptReport(now, r) {
		m.Stale++
		return
	}
	if !wantedReports && m.aggregator.wantsFrequentReports(now) {
		m.nextLimitUpdate = now
		m.aggregator.aggregatedAt = now - m.options.ReportInterval
	}
}

// receiveLimits applies a limit update of the selected aggregator.
func (m *Member) receiveLimits(now Time, u *limitUpdate) {
	if u.sender != m.selection.aggregator || !m.limits.isNewer(now, u) {
		m.Stale++
		return
	}
	m.limits.incarnation = u.incarnation
	m.limits.sequence = u.sequence
	m.applyLimits(now, u)
}

// receiveDigest applies a membership digest of the selected aggregator.
func (m *Member) receiveDigest(now Time, d *membershipDigest) {
	if d.sender != m.selection.aggregator {
		m.Stale++
		return
	}
	m.selection.noteHeard(now)
	m.membership.apply(d, m.options.Controllers)
	m.selection.invalidate()
}
