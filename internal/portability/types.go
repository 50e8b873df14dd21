package portability

import (
	"time"

	"olivedale/internal/numbering"
)

// Time is a reading of the Unix clock.
type Time = numbering.Time

// Answer is the decoded answer of a server.
type Answer struct {
	Ported  bool
	Routing numbering.Digits // routing number, if Ported
	TTL     time.Duration    // of the record, if Ported
}

// Origin is the source of a Result.
type Origin uint8

// Values of Origin.
const (
	OriginNone       Origin = iota // no server answered in time and the cache has no answer
	OriginServer                   // an answer to a query
	OriginCache                    // a cached answer within its TTL
	OriginStaleCache               // a cached answer after its TTL, since no server answered
)

// Result is what a call gets from its look-up.
type Result struct {
	Ported numbering.PortingResult
	Origin Origin
}

// Action is what the caller of a Resolver has to do: a SendQuery or a DeliverResult.
type Action interface{ isAction() }

// SendQuery means: send a query to a server.
type SendQuery struct {
	Server int    // index of the server
	ID     uint16 // of the DNS message
	Number string
}

// DeliverResult means: give a call its result. Each call gets one, unless it is canceled.
type DeliverResult struct {
	Call string
	Result
}

func (SendQuery) isAction()     {}
func (DeliverResult) isAction() {}

// Counters count the events of a Resolver since its start.
type Counters struct {
	Calls          int // calls
	CacheHits      int // calls with a cached answer within its TTL
	Coalesced      int // calls that joined a look-up of the same number
	StaleCacheHits int // calls with a cached answer after its TTL
	Unanswered     int // calls without an answer
	OverLimit      int // calls over MaxLookups or MaxWaiters

	QueriesSent     int // queries
	QueriesAnswered int
	QueriesTimedOut int
	QueriesFailed   int // queries that a server could not answer

	UnmatchedAnswers  int // answers without a query
	MismatchedAnswers int // answers from another server or to another question than the query's
	BreakerOpenings   int // openings of circuit breakers
}
