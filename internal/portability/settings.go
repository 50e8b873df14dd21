package portability

import "time"

// Settings are the limits and durations of a Resolver.
type Settings struct {
	Servers      int           // number of servers, queried in ascending order of their index
	QueryTimeout time.Duration // time for a server to answer a query
	MaxTries     int           // maximum number of queries of a look-up, over all servers

	MaxLookups int // open look-ups; calls that would start another one get their fallback result at once
	MaxWaiters int // waiting calls, over all look-ups; further calls get their fallback result at once

	MaxCacheEntries int
	MaxCacheBytes   int           // approximate
	MinTTL          time.Duration // lower limit of the TTL of an answer
	MaxTTL          time.Duration // upper limit of the TTL of an answer
	NegativeTTL     time.Duration // TTL of the answer that a number has not been ported
	StaleTTL        time.Duration // how long an expired answer is still used if no server answers

	BreakerThreshold int           // consecutive failures that open the circuit breaker of a server
	BreakerCooldown  time.Duration // how long a circuit breaker stays open before one query probes the server
}

// DefaultSettings returns settings for a few hundred calls per second.
func DefaultSettings(servers int) Settings {
	return Settings{
		Servers:          servers,
		QueryTimeout:     150 * time.Millisecond,
		MaxTries:         3,
		MaxLookups:       256,
		MaxWaiters:       4096,
		MaxCacheEntries:  65536,
		MaxCacheBytes:    8 << 20,
		MinTTL:           30 * time.Second,
		MaxTTL:           24 * time.Hour,
		NegativeTTL:      10 * time.Minute,
		StaleTTL:         time.Hour,
		BreakerThreshold: 5,
		BreakerCooldown:  2 * time.Second,
	}
}
