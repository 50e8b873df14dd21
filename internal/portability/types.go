package portability

import (
	"time"

	"olivedale/internal/numbering"
)

// Time is the time since the Unix epoch.
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
	OriginNone       Origin = iota // no server answered in time and no answer is cached
	OriginServer                   // an answer to a query
	OriginCache                    // a cached answer within its TTL
	OriginStaleCache               // a cached answer after its TTL, because no server answered
)

// Result is the result of a look-up for a call.
type Result struct {
	Ported numbering.PortingResult
	Origin Origin
}

// Action is an instruction to the caller of a Resolver: a SendQuery or a DeliverResult.
type Action interface{ isAction() }

// SendQuery is the instruction to send a query to a server.
type SendQuery struct {
	Server int    // index of the server
	ID     uint16 // of the DNS message
	Number string
}

// DeliverResult is the instruction to deliver its result to a call. Each call gets one result, unless it is canceled.
type DeliverResult struct {
	Call string
	Result
}

func (SendQuery) isAction()     {}
func (DeliverResult) isAction() {}

// Counters are the event counters of a Resolver.
type Counters struct {
	Calls          int // calls of LookUp
	CacheHits      int // calls with a cached answer within its TTL
	Coalesced      int // calls that joined an open look-up of the same number
	StaleCacheHits int // calls with a cached answer after its TTL
	Unanswered     int // calls that got no answer
	OverLimit      int // calls rejected because of MaxLookups or MaxWaiters

	QueriesSent     int // queries sent
	QueriesAnswered int
	QueriesTimedOut int
	QueriesFailed   int // queries that failed, see HandleFailure

	UnmatchedAnswers  int // answers and failures that belong to no open query
	MismatchedAnswers int // answers whose server or number differs from the query
	BreakerOpenings   int // openings of circuit breakers
}
