// Package overload implements distributed overload control between call controllers. Each controller, called a member,
// measures the load and the set-up time of the servers and sends load reports to one of the members, its aggregator.
// The aggregator sums the reports, determines how much all members together may send to each server, and answers with
// limit updates: throttle probabilities by priority. Each member throttles its calls at random with these
// probabilities. There is no election: a member selects the first living member by rendezvous hashing, applies the
// limits of that one only, and ejects it if it is unresponsive or if its limits contradict the member's own
// measurements.
//
// The package handles membership, aggregation and the throttle probabilities. It has no socket and no clock: datagrams,
// measurements and the time are passed in, and datagrams to send are returned. It never selects a server: the
// admission module asks it only about servers that the admission module itself considers eligible.
package overload

import (
	"math/rand/v2"
	"time"
)

// maxClockJump is the longest regular gap between two readings of the clock. A longer gap means that the process was
// suspended, which invalidates its measurements.
const maxClockJump = 2000 * time.Millisecond

// randomStream selects a PCG stream, which keeps the member's random numbers independent of others with the same seed.
const randomStream = 5

// Counters count the events of a Member. Like those of State, their JSON names are part of the output format.
type Counters struct {
	Sent                    int `json:"Said"` // datagrams
	SentBytes               int `json:"SaidBytes"`
	Received                int `json:"Heard"` // datagrams
	ReceivedBytes           int `json:"HeardBytes"`
	Malformed               int `json:"Unread"` // datagrams that could not be decoded
	Misattributed           int `json:"Alien"`  // datagrams whose sender is not the one they name
	Stale                   int // datagrams that are duplicate, out of order or not from the selected aggregator
	Throttled               int `json:"Held"`    // calls throttled
	Admitted                int `json:"Passed"`  // calls admitted at servers with a limit
	AggregatorChanges       int `json:"Tellers"` // changes to another aggregator
	AggregatorsUnresponsive int `json:"Silent"`  // aggregators ejected as unresponsive
	AggregatorsEjected      int `json:"Wrong"`   // aggregators ejected for wrong limits
}

// A Member runs overload control for one controller. It is not safe for concurrent use.
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

	aggregator      *aggregator // state of this controller in the role of an aggregator
	nextLimitUpdate Time
	nextDigest      Time
	outbox          outbox
}

// New returns the Member of a controller that has just started.
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
	// Random initial deadlines prevent members that start together from sending in sync.
	m.reporting.next = now + Time(m.rng.Float64()*float64(o.HeartbeatInterval)/4)
	m.nextLimitUpdate = now + Time(m.rng.Float64()*float64(o.ReportInterval))
	m.nextDigest = now + Time(m.rng.Float64()*float64(o.HeartbeatInterval))
	m.selectAggregator()
	return m, nil
}

// Tick performs the work that is due and returns the datagrams to send.
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

// NextDeadline returns the time at which Tick must be called next.
func (m *Member) NextDeadline() Time {
	if m.options.Controllers == 1 {
		return neverDue
	}
	// Tick must run before an idle period is long enough to be taken for a clock jump.
	next := min(m.reporting.next, m.nextDigest, m.now+maxClockJump/2)
	if m.aggregator.wantsFrequentReports(m.now) {
		next = min(next, m.nextLimitUpdate)
	}
	if !m.outbox.isEmpty() {
		next = min(next, m.outbox.nextBurst)
	}
	return next
}

// advance moves the member's clock forward. A clock jump discards all measurements and limits.
func (m *Member) advance(now Time) {
	if now-m.now > maxClockJump {
		m.servers.resetAll()
		m.reporting.reset(now)
		m.selection.unansweredReports = 0
		m.limits.latest = nil
	}
	m.now = max(m.now, now)
}

// Receive processes a datagram. from is the number of the sender as identified by its address or signature, or -1 if
// neither identifies it. Receive returns an error if the datagram cannot be decoded, and a *SenderError if it was sent
// by another controller than the one it names; such a datagram has no effect.
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
		m.readmitBypassed(sender)
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

// canBeSender reports whether the sender that a message claims is consistent with its actual one; -1: unknown.
func (m *Member) canBeSender(claimed, actual int) bool {
	if actual >= 0 && claimed != actual {
		return false
	}
	return claimed < m.options.Controllers && claimed != m.options.Self
}

// receiveReport processes a load report sent to this controller as an aggregator. If the report is the first evidence
// of overload, limit updates begin at once.
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

// receiveLimits applies a limit update from the selected aggregator and ignores those from others.
func (m *Member) receiveLimits(now Time, u *limitUpdate) {
	if u.sender != m.selection.aggregator || !m.limits.isNewer(now, u) {
		m.Stale++
		return
	}
	m.limits.incarnation = u.incarnation
	m.limits.sequence = u.sequence
	m.applyLimits(now, u)
}

// receiveDigest applies a membership digest from the selected aggregator and ignores those from others.
func (m *Member) receiveDigest(now Time, d *membershipDigest) {
	if d.sender != m.selection.aggregator {
		m.Stale++
		return
	}
	m.selection.recordContact(now)
	m.membership.apply(d, m.options.Controllers)
	m.selection.invalidate()
}
