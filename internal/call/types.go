package call

import (
	"cmp"
	"errors"
	"time"

	"olivedale/internal/admission"
)

// A Time is a point in time, as the duration since the Unix epoch.
type Time = admission.Time

// Q.850 causes of releases and rejections.
const (
	CauseNormal           = 16 // normal call clearing
	CauseNoCircuit        = 34 // no circuit available; retrying is safe
	CauseTemporaryFailure = 41 // temporary failure, or an established call was dropped
	CauseCongestion       = 42 // this controller holds as many calls as it may; retrying is safe
)

// ErrIDInUse is returned for an offer that uses the id of another call. Its text is sent to H.248 callers.
var ErrIDInUse = errors.New("the id is that of another call")

// A Request is a call offered by a caller.
type Request struct {
	ID, Class, Number string
	PreferredPool     int    // used unless a Router chooses the pools
	Deadline          Time   // when the caller gives up waiting for an answer
	Reestablish       bool   // the call was established and dropped before, and is offered again
	RepeatUnsafe      bool   // the call is not idempotent: running it twice does harm
	Description       []byte // session description of the caller
	Table             string // version of the routing table, set by the Manager; "" if there is none
}

// A Setup is the message that starts an attempt at a backend.
type Setup struct {
	ID, Class, Number string
	Attempt           int           // 0 for the first attempt of the call
	Timeout           time.Duration // time until Deadline
	Deadline          Time          // when the attempt is canceled
	Description       []byte        // session description of the caller
}

// A Route is a Router's decision on one call.
type Route struct {
	Pools []int  // permitted pools, the preferred one first; the call is rejected if empty
	Cause int    // Q.850 cause of a rejection; 0 with empty Pools means CauseTemporaryFailure
	Table string // version of the routing table, for the records
	Close func() // releases the resources of the decision, called once when the call ends; may be nil
	// Pending means that the number lookup is in progress. Its result is passed to
	// Manager.RouteResolved; Close cancels the lookup if the call ends first.
	Pending   bool
	Emergency bool // an emergency call, to which the Decider gives priority
	// RetryAfter is how long a rejected caller is asked to wait before retrying, 0 for no advice. It is
	// used only if the decision was Pending before.
	RetryAfter time.Duration
}

// rejects reports whether the route rejects the call.
func (r *Route) rejects() bool { return r.Cause != 0 || len(r.Pools) == 0 }

// rejectionCause returns the Q.850 cause sent to the caller if the route rejects the call.
func (r *Route) rejectionCause() int { return cmp.Or(r.Cause, CauseTemporaryFailure) }

// An Outcome is the kind of the final answer to a call.
type Outcome int

// The outcomes. The Decider chooses Rejected and Failed. RejectedOverLimit and the outcomes after it are
// decided without the Decider, and only calls that end as RejectedShuttingDown may have been passed to it.
const (
	Established          Outcome = iota
	Rejected                     // no server can accept the call
	Failed                       // no attempt succeeded in time
	Abandoned                    // abandoned by the caller, which expects no answer
	RejectedOverLimit            // one of the Limits is reached
	RejectedReusedID             // the id belongs to a completed call
	RejectedInvalid              // well-formed, but not valid for its class
	RejectedByPolicy             // the Router rejects the number
	RejectedShuttingDown         // open at the end of a graceful shutdown, or offered during it
)

// An Answer is the final answer to a call.
type Answer struct {
	ID, Class  string
	Outcome    Outcome
	Cause      int           // Q.850 cause; 0 for Established and for calls abandoned while open
	RetryAfter time.Duration // how long the caller is asked to wait before retrying; 0 for no advice
	Elapsed    time.Duration // since the call was offered
	Server     string        // server of the last attempt; "" if there was none
	Attempts   int           // number of attempts started
}

// A ReleaseEvent is the end of an established call.
type ReleaseEvent struct {
	ID, Class, Server string
	Cause             int           // Q.850 cause
	End               AttemptEnd    // Completed, EndedByFault, CallerReleased or BackendLost
	Duration          time.Duration // since the call was established
}

// A LimitEvent is the reason why a message was dropped or merged with an earlier one.
type LimitEvent int

// The reasons.
const (
	LimitRepeatedSetup  LimitEvent = iota // an open call was offered again; it is not started twice
	LimitReusedID                         // the id belongs to another call
	LimitUnknownRelease                   // too many queued releases of unknown calls
)

// Limits bound the memory use of a Manager regardless of what callers send.
type Limits struct {
	Calls            int // open and established calls, and the room that Manager.SetReservedRoom reports
	OpenCalls        int // calls without a final answer
	DescriptionBytes int // total size of the session descriptions of the open calls
	CompletedIDs     int // stored ids of calls that had an attempt; as many of others, and of released unknown calls
}

// Counters count events since the Manager was created.
type Counters struct {
	Requests    int // offers, whatever their result
	Established int // calls answered with Established
	Rejected    int // calls rejected by the Decider or at shutdown
	Failed      int // calls failed by the Decider or at their deadline
	Abandoned   int // calls abandoned by their callers
	Repeated    int // offers merged with an open call

	ReusedIDs              int // offers with the id of another call, existing or completed
	OverLimit              int // offers rejected because one of the Limits is reached
	ByPolicy               int // calls rejected by the Router
	UnknownReleasesRefused int // callers' releases of unknown calls for which the queue had no room

	Attempts    int // attempts started
	Cancels     int // attempts canceled
	LateAnswers int // backends' answers to attempts that were no longer in progress

	ReleasedByBackend int // established calls released by their backends
	ReleasedByCaller  int // established calls released by their callers
	ReleasedUnknown   int // releases of unknown calls from either side that were forwarded

	Ends [attemptEndCount]int // ended attempts, by AttemptEnd
}
