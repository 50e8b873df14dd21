package portability

import "time"

// breaker is the circuit breaker of a server. It opens after a number of consecutive failures. After the cooldown, one
// query probes the server: an answer closes the breaker, a failure opens it again. The zero value is closed.
type breaker struct {
	failures  int  // consecutive failures while closed
	openUntil Time // 0: closed; in the past: half-open, the next query is a probe
	isProbing bool // the answer to a probe is outstanding
}

// allows reports whether a query may go to the server.
func (b *breaker) allows(now Time) bool { return !b.isProbing && now >= b.openUntil }

// recordQuery records that a query is sent. After the cooldown, it is the probe.
func (b *breaker) recordQuery() { b.isProbing = b.openUntil > 0 }

// recordAnswer records an answer, which closes the breaker.
func (b *breaker) recordAnswer() { *b = breaker{} }

// cancelProbe makes the next query a probe, since no call waits for the answer to the current one any more.
func (b *breaker) cancelProbe() { b.isProbing = false }

// recordFailure records a failure and reports whether it opened the breaker. It returns false if the breaker was
// already open.
func (b *breaker) recordFailure(now Time, threshold int, cooldown time.Duration) (opened bool) {
	b.failures++
	if !b.isProbing && b.failures < threshold {
		return false
	}
	opened = b.openUntil <= now
	*b = breaker{openUntil: now + cooldown}
	return opened
}
