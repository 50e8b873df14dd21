package overload

import (
	"math"
	"time"
)

// Parameters of the comparison of an aggregator's claims with the member's own measurements.
const (
	comparisonWindow     = 1000 * time.Millisecond // maximum age of an answer that a claim is compared with
	claimTolerance       = 4                       // claimed wait and set-up time match within this factor
	maxDeviation         = 4                       // upper bound of a single deviation
	suspicionThreshold   = 4.0                     // suspicion from which the aggregator is ejected
	minMatchingResults   = 3                       // matches needed to establish trust
	maxUntrustedThrottle = 0.8                     // maximum throttle probability before trust is established
)

// ejectionTime is how long an ejected aggregator is excluded from selection.
const ejectionTime = 30 * time.Second

// A claimCheck holds the set-up time of a server's latest answer and whether a claim was compared with it.
type claimCheck struct {
	measured   Time
	measuredAt Time
	isCompared bool
}

// aggregatorTrust is the result of comparing the aggregator's claims with the member's own measurements.
type aggregatorTrust struct {
	matchingResults int
	suspicion       float64
}

// isEstablished reports whether enough claims have matched and no suspicion remains.
func (t *aggregatorTrust) isEstablished() bool {
	return t.matchingResults >= minMatchingResults && t.suspicion <= 0
}

// isRefuted reports whether the claims have deviated too much from the measurements.
func (t *aggregatorTrust) isRefuted() bool { return t.suspicion >= suspicionThreshold }

// record accounts for a deviation; up to 1 is a match. Larger deviations raise the suspicion more: two or three
// answers refute a false claim of a wait of half a minute.
func (t *aggregatorTrust) record(deviation float64) {
	if deviation <= 1 {
		t.suspicion = max(t.suspicion-1, 0)
		t.matchingResults++
		return
	}
	t.suspicion += min(deviation, maxDeviation) / 2
}

// claimDeviation returns the ratio of a claimed wait and a measured set-up time on a logarithmic scale, on which 1 is
// the tolerance. Times below an eighth of the latency threshold count as equal.
func claimDeviation(claimed, measured, latencyThreshold Time) float64 {
	floor := float64(latencyThreshold) / 8
	ratio := max(float64(claimed), floor) / max(float64(measured), floor)
	return math.Abs(math.Log(ratio)) / math.Log(claimTolerance)
}

// checkClaim compares the aggregator's claim about a server with the server's latest answer, once per answer, and
// ejects the aggregator if its claims are refuted.
func (m *Member) checkClaim(now Time, v *serverView) {
	if v.claim.isCompared || !v.hasLimit(now) || m.isOwnAggregator() {
		return
	}
	if now-v.claim.measuredAt > comparisonWindow {
		return
	}
	v.claim.isCompared = true
	m.trust.record(claimDeviation(v.limit.claimedWait(), v.claim.measured, m.options.LatencyThreshold))
	if m.trust.isRefuted() {
		m.AggregatorsEjected++
		m.eject(now, ejectedAsWrong)
	}
}

// An ejectionReason is the reason why an aggregator was ejected.
type ejectionReason int

// Reasons for an ejection. An unresponsive aggregator becomes eligible again as soon as a message from it is received;
// a wrong one does not.
const (
	ejectedAsUnresponsive ejectionReason = iota
	ejectedAsWrong
)

// An ejection excludes an aggregator from selection until a time.
type ejection struct {
	until  Time
	reason ejectionReason
}

// eject excludes the selected aggregator from selection, removes its limits and selects another one. If half of all
// members are already excluded, the fault is probably this member's own connection, so the others are made eligible
// again first.
func (m *Member) eject(now Time, reason ejectionReason) {
	if len(m.selection.ejected) >= m.options.Controllers/2 {
		clear(m.selection.ejected)
	}
	m.selection.ejected[m.selection.aggregator] = ejection{until: now + ejectionTime, reason: reason}
	m.limits.latest = nil
	m.servers.removeLimits()
	m.selection.invalidate()
	m.selectAggregator()
}
