package portability

import "time"

// Settings are the bounds and times of a Resolver.
type Settings struct {
	Servers      int           // number of servers, queried in their order
	QueryTimeout time.Duration // for the answer of one server to one query
	MaxTries     int           // queries of one look-up, over all servers

	MaxLookups int // look-ups at a time; further calls get OriginNone at once
	MaxWaiters int // calls that wait, over all look-ups

	MaxCacheEntries int
	MaxCacheBytes   int           // approximate
	MinTTL          time.Duration // lower bound of the TTL of an answer
	MaxTTL          time.Duration // upper bound of the TTL of an answer
	NegativeTTL     time.Duration // of the answer that a number has not been ported
	StaleTTL        time.Duration // how long after its TTL an answer is used if no server answers

	BreakerThreshold int           // consecutive failures that open a server's circuit breaker
	BreakerCooldown  time.Duration // how long a circuit breaker stays open before one query probes the server
}

// DefaultSettings returns settings for a few hundred calls a second.
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
