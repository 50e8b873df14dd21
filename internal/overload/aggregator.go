package overload

import (
	"time"
)

// Time parameters of an aggregator.
const (
	minReportLifetime        = 2500 * time.Millisecond // a report expires after the longer of this time
	reportLifetimePeriods    = 5                       // and this many report intervals
	pollInterval             = 1000 * time.Millisecond // interval at which members that report rarely are polled
	overloadEvidenceLifetime = 3000 * time.Millisecond // evidence of overload requests frequent reports for this time
)

// overloadQuorum is the number of living members of which at least one must report an overload before all are asked for
// frequent reports. Among hundreds of members, one always sees a late answer even when no server is overloaded.
const overloadQuorum = 50

// An aggregator sums the load reports of the members that selected this controller and determines the total rate at
// which they may send calls to each server. It applies the algorithm of the admission module to the sums: the demand
// is what the members offer, and the limit follows the rate at which they are answered.
type aggregator struct {
	latencyThreshold  float64 // seconds
	reportLifetime    Time
	heartbeatInterval Time
	members           []memberRecord              // by number
	servers           map[uint32]*serverAggregate // by key
	overloadedAt      Time                        // when a quorum of members last had evidence of overload; 0: never
	lastReportAt      Time                        // 0: never
	lastPollAt        Time                        // when all members were last asked for reports
	sequence          uint32                      // of the latest limit update
	aggregatedAt      Time
	peakMembers       int // decaying maximum of living members; decays with each digest
}

func newAggregator(members int, latencyThreshold, heartbeatInterval, reportInterval Time) *aggregator {
	return &aggregator{
		latencyThreshold:  latencyThreshold.Seconds(),
		reportLifetime:    max(minReportLifetime, reportLifetimePeriods*reportInterval),
		heartbeatInterval: heartbeatInterval,
		members:           make([]memberRecord, members),
		servers:           make(map[uint32]*serverAggregate),
	}
}

// acceptReport stores a report and returns true, or returns false if it is stale or from an unknown sender.
func (a *aggregator) acceptReport(now Time, r *loadReport) bool {
	if r.sender >= len(a.members) {
		return false
	}
	maxSilence := Time(suspectHeartbeats * float64(a.heartbeatInterval))
	if a.lastReportAt > 0 && now-a.lastReportAt > maxSilence {
		// Another controller was the aggregator in the meantime: members that sent nothing here may have reported to
		// that one.
		clear(a.members)
	}
	member := &a.members[r.sender]
	if !member.accept(now, r, a.heartbeatInterval) {
		return false
	}
	a.lastReportAt = now
	if r.overloaded {
		member.overloadedAt = now
		if a.hasOverloadEvidence(now) {
			a.overloadedAt = now
		}
	}
	return true
}

// hasOverloadEvidence reports whether a quorum of members has recently reported an overload.
func (a *aggregator) hasOverloadEvidence(now Time) bool {
	overloaded, alive := 0, 0
	for i := range a.members {
		r := &a.members[i]
		if r.status(now, a.heartbeatInterval) == Alive {
			alive++
		}
		if r.overloadedAt > 0 && now-r.overloadedAt < overloadEvidenceLifetime {
			overloaded++
		}
	}
	return overloaded*overloadQuorum >= alive
}

// wantsFrequentReports reports whether members should report once per report interval: there is evidence of overload,
// or the admitted rate of a server is limited.
func (a *aggregator) wantsFrequentReports(now Time) bool {
	if a.overloadedAt > 0 && now-a.overloadedAt < overloadEvidenceLifetime {
		return true
	}
	for _, s := range a.servers {
		if s.isLimited() {
			return true
		}
	}
	return false
}

// freshReport returns the latest report of a member, or nil if it has expired.
func (a *aggregator) freshReport(now Time, number int) *loadReport {
	r := &a.members[number]
	if r.lastReport == nil || now-r.lastReportAt > a.reportLifetime {
		r.lastReport = nil
		return nil
	}
	return r.lastReport
}

// estimateAlive returns an estimate of the number of living members.
func (a *aggregator) estimateAlive(now Time) float64 {
	return estimateAlive(a.members, now, a.heartbeatInterval)
}

// nextUpdate aggregates the reports and returns the resulting limit update. The caller sets the sender.
func (a *aggregator) nextUpdate(now Time) *limitUpdate {
	a.aggregate(now)
	alive := roundToInt(a.estimateAlive(now))
	a.peakMembers = max(a.peakMembers, alive)
	a.sequence++
	return &limitUpdate{
		messageHeader: messageHeader{kind: kindLimitUpdate, sequence: a.sequence},
		aliveMembers:  min(alive, maxMembers),
		limits:        a.serverLimits(),
	}
}

// updateRecipients returns the members to send a limit update to: those that report frequently and, once per
// pollInterval, all that have reported and are not dead, which makes them report frequently.
func (a *aggregator) updateRecipients(now Time) []int {
	pollsAll := now-a.lastPollAt >= pollInterval
	if pollsAll {
		a.lastPollAt = now
	}
	var recipients []int
	for i := range a.members {
		r := &a.members[i]
		status := r.status(now, a.heartbeatInterval)
		if status == Unknown || status == Dead {
			continue
		}
		reportsFrequently := now-r.lastReportAt <= a.reportLifetime
		if pollsAll || reportsFrequently {
			recipients = append(recipients, i)
		}
	}
	return recipients
}

// nextDigest returns the membership digest, or nil if no member reports. The caller sets the sender.
func (a *aggregator) nextDigest(now Time) *membershipDigest {
	estimate := a.estimateAlive(now)
	if estimate < 1 {
		return nil
	}
	alive := roundToInt(estimate)
	a.peakMembers = max(a.peakMembers*15/16, alive)
	return &membershipDigest{
		messageHeader: messageHeader{kind: kindMembershipDigest, sequence: a.sequence},
		aliveMembers:  alive,
		peakMembers:   a.peakMembers,
		members:       memberBits(a.members, now, a.heartbeatInterval),
	}
}

// roundToInt rounds a non-negative number to the nearest integer.
func roundToInt(x float64) int { return int(x + 0.5) }

// sendLimitUpdates sends the limits to the members that report to this controller, and applies them here if it is its
// own aggregator.
func (m *Member) sendLimitUpdates(now Time) {
	if !m.aggregator.wantsFrequentReports(now) {
		return
	}
	update := m.aggregator.nextUpdate(now)
	m.setSender(&update.messageHeader)
	payload := update.append(nil)
	for _, number := range m.aggregator.updateRecipients(now) {
		if number != m.options.Self {
			m.outbox.enqueue(number, payload)
		}
	}
	if m.isOwnAggregator() {
		m.applyLimits(now, update)
	}
}

// sendMembershipDigest sends the membership digest to the living members.
func (m *Member) sendMembershipDigest(now Time) {
	digest := m.aggregator.nextDigest(now)
	if digest == nil {
		return
	}
	m.setSender(&digest.messageHeader)
	payload := digest.append(nil)
	for i := range m.aggregator.members {
		status := m.aggregator.members[i].status(now, m.options.HeartbeatInterval)
		if i != m.options.Self && status == Alive {
			m.outbox.enqueue(i, payload)
		}
	}
}

// setSender sets this controller as the sender of a message.
func (m *Member) setSender(h *messageHeader) {
	h.sender = m.options.Self
	h.incarnation = m.options.Incarnation
}
