package overload

import (
	"math"
	"time"
)

// Parameters of the comparison of an aggregator's claims with own measurements.
const (
	comparisonWindow     = 1000 * time.Millisecond // greatest age of an answer that a claim is compared with
	claimTolerance       = 4                       // factor between claimed wait and set-up time that is a match
	maxDeviation         = 4                       // a greater deviation counts as this
	suspicionThreshold   = 4.0                     // suspicion at which the aggregator is ejected
	minMatchingResults   = 3                       // matches that establish trust
	maxUntrustedThrottle = 0.8                     // greatest throttle probability without trust
)

// ejectionTime is how long an aggregator that was silent or wrong is not selected.
const ejectionTime = 30 * time.Second

// A claimCheck is the set-up time of a server's latest answer, and whether a claim was compared with it.
type claimCheck struct {
	measured   Time
	measuredAt Time
	isDone     bool
}

// aggregatorTrust is the result of comparing the aggregator's claims with the member's own measurements.
type aggregatorTrust struct {
	matchingResults int
	suspicion       float64
}

// isEstablished says whether the claims have matched often enough, and have not deviated more often.
func (t *aggregatorTrust) isEstablished() bool {
	return t.matchingResults >= minMatchingResults && t.suspicion <= 0
}

// isRefuted says whether the claims deviate too much from the measurements.
func (t *aggregatorTrust) isRefuted() bool { return t.suspicion >= suspicionThreshold }

// record takes a deviation into account; up to 1 is a match. Greater deviations raise the suspicion more: a false
// claim of a wait of half a minute is refuted by two or three answers.
func (t *aggregatorTrust) record(deviation float64) {
	if deviation <= 1 {
		t.suspicion = max(t.suspicion-1, 0)
		t.matchingResults++
		return
	}
	t.suspicion += min(deviation, maxDeviation) / 2
}

// claimDeviation is the ratio of a claimed wait and a measured set-up time on a logarithmic scale; 1 is the
// tolerance. Times far below the latency threshold count as equal.
func claimDeviation(claimed, measured, latencyThreshold Time) float64 {
	floor := float64(latencyThreshold) / 8
	ratio := max(float64(claimed), floor) / max(float64(measured), floor)
	return math.Abs(math.Log(ratio)) / math.Log(claimTolerance)
}

// checkClaim compares the aggregator's claim about a server with the server's latest answer, once for each answer.
// It ejects an aggregator whose claims are refuted.
func (m *Member) checkClaim(now Time, v *serverView) {
	if v.claim.isDone || !v.hasLimit(now) || m.isOwnAggregator() {
		return
	}
	if now-v.claim.measuredAt > comparisonWindow {
		return
	}
	v.claim.isDone = true
	m.trust.record(claimDeviation(v.limit.claimedWait(), v.claim.measured, m.options.LatencyThreshold))
	if m.trust.isRefuted() {
		m.AggregatorsEjected++
		m.eject(now, ejectedAsWrong)
	}
}

// An ejectionReason says why an aggregator was ejected.
type ejectionReason int

// Reasons of an ejection. A silent aggregator is selected again as soon as it is heard, a wrong one is not.
const (
	ejectedAsSilent ejectionReason = iota
	ejectedAsWrong
)

// An ejection excludes an aggregator from selection until a time.
type ejection struct {
	until  Time
	reason ejectionReason
}

// eject excludes the selected aggregator from selection, removes its limits and selects another one. If half of all
// members would be excluded, the fault is probably this member's connection, and the others are admitted again.
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
