package portability

import "time"

// breaker is the circuit breaker of one server. It opens after a number of consecutive failures. When the cooldown is
// over, one query probes the server: an answer closes the breaker, a failure opens it again. The zero value is closed.
type breaker struct {
	failures  int  // consecutive, while closed
	openUntil Time // 0: closed; in the past: the next query is a probe
	isProbing bool // a probe waits for its answer
}

// allows reports whether a query may go to the server.
func (b *breaker) allows(now Time) bool { return !b.isProbing && now >= b.openUntil }

// recordQuery is called with each query; after an open period it is the probe.
func (b *breaker) recordQuery() { b.isProbing = b.openUntil > 0 }

// recordAnswer closes the breaker.
func (b *breaker) recordAnswer() { *b = breaker{} }

// cancelProbe lets the next query probe the server, since nobody waits for the answer to the current one.
func (b *breaker) cancelProbe() { b.isProbing = false }

// recordFailure counts a failure and reports whether it opened a breaker that was not open.
func (b *breaker) recordFailure(now Time, threshold int, cooldown time.Duration) (opened bool) {
	b.failures++
	if !b.isProbing && b.failures < threshold {
		return false
	}
	opened = b.openUntil <= now
	*b = breaker{openUntil: now + cooldown}
	return opened
}
