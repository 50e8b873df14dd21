package call

import (
	"cmp"
	"errors"
	"time"

	"olivedale/internal/admission"
)

// A Time is a reading of the system's Unix clock: the time since the Unix epoch.
type Time = admission.Time

// Causes of releases and rejections, as defined by Q.850.
const (
	CauseNormal           = 16 // normal call clearing
	CauseNoCircuit        = 34 // no circuit available: the caller may retry safely
	CauseTemporaryFailure = 41 // temporary failure, or an established call that was dropped
)

// ErrIDInUse is returned for an offer under the id of another call. Its text is sent to H.248 callers.
var ErrIDInUse = errors.New("the id is that of another call")

// A Request is a call offered by a caller.
type Request struct {
	ID, Class, Number string
	PreferredPool     int    // pool of first choice unless a Router decides
	Deadline          Time   // the caller abandons the call then
	Reestablish       bool   // the call was established, was dropped and is offered again
	RepeatUnsafe      bool   // running the call twice does harm
	Description       []byte // session description of the caller
	Table             string // version of the routing table, set by the Manager; "": none
}

// A Setup is the message that starts an attempt at a backend.
type Setup struct {
	ID, Class, Number string
	Attempt           int           // 0 for the first attempt of the call
	Timeout           time.Duration // time until Deadline
	Deadline          Time          // the attempt is canceled then
	Description       []byte        // session description of the caller
}

// A Route is a Router's decision on one call.
type Route struct {
	Pools []int  // permitted pools, the preferred one first; empty: the call is rejected
	Cause int    // the Q.850 cause for which the call is rejected; 0 with empty Pools: CauseFailed
	Table string // version of the routing table, for the records
	Close func() // releases what the decision holds, called once when the call ends; nil: nothing
	// Pending means that the number is being looked up. The decision follows by
	// Manager.RouteResolved; Release cancels the lookup if the call ends first.
	Pending   bool
	Emergency bool // an emergency call: the Decider gives it priority
	// RetryAfter is how long a rejected caller is asked not to retry; 0: no advice. It counts only in a
	// decision that was Pending before.
	RetryAfter time.Duration
}

// rejects reports whether the decision is to reject the call.
func (r *Route) rejects() bool { return r.Cause != 0 || len(r.Pools) == 0 }

// rejectionCause returns the Q.850 cause that a caller gets if the decision is to reject the call.
func (r *Route) rejectionCause() int { return cmp.Or(r.Cause, CauseTemporaryFailure) }

// An Outcome is the kind of the final answer to a call.
type Outcome int

// The outcomes. The Decider chooses Rejected and Failed. Those from RejectedOverLimit on are decided
// without it, and of these it knows only the calls that end by RejectedShuttingDown.
const (
	Established          Outcome = iota
	Rejected                     // no server can take the call
	Failed                       // no attempt succeeded in time
	Abandoned                    // by the caller; no answer is owed
	RejectedOverLimit            // the Limits are reached
	RejectedReusedID             // the id is that of a completed call
	RejectedInvalid              // readable, but not possible for its class
	RejectedByPolicy             // the Router rejects the number
	RejectedShuttingDown         // still open at the end of an orderly shutdown
)

// An Answer is the final answer to a call.
type Answer struct {
	ID, Class  string
	Outcome    Outcome
	Cause      int           // of Q.850; 0 for Established and calls abandoned while open
	RetryAfter time.Duration // how long the caller is asked not to retry; 0: no advice
	Elapsed    time.Duration // since the call was offered
	Server     string        // server of the last attempt; "": there was none
	Attempts   int           // attempts that were started
}

// A ReleaseEvent is the end of an established call.
type ReleaseEvent struct {
	ID, Class, Server string
	Cause             int           // of Q.850
	End               AttemptEnd    // Completed, EndedByFault, CallerReleased or BackendLost
	Duration          time.Duration // since the call was established
}

// A LimitEvent is the reason why a message was dropped or merged.
type LimitEvent int

// The limits.
const (
	LimitRepeatedSetup  LimitEvent = iota // the offer of an open call was repeated; the call is not started twice
	LimitReusedID                         // the id belongs to another call
	LimitUnknownRelease                   // too many releases of unknown calls
)

// Limits bound the memory of a Manager, whatever callers send.
type Limits struct {
	OpenCalls        int // calls without a final answer
	DescriptionBytes int // total size of the session descriptions of the open calls
	CompletedIDs     int // remembered ids of completed calls, and as many of unknown released calls
}

// Counters count events since the Manager was created.
type Counters struct {
	Requests    int // offers, of any result
	Established int // calls answered with Established
	Rejected    int // calls rejected by the Decider, or open at shutdown
	Failed      int // calls failed by the Decider, or at their deadline
	Abandoned   int // calls abandoned by their callers
	Repeated    int // offers merged with an open call

	ReusedIDs              int // offers under the id of another call, existing or completed
	OverLimit              int // offers rejected because the Limits are reached
	ByPolicy               int // calls rejected by the Router
	UnknownReleasesDropped int // callers' releases of unknown calls above the rate limit

	Attempts    int // attempts started
	Cancels     int // attempts canceled
	LateAnswers int // backends' answers to attempts that were not in progress any more

	ReleasedByBackend int // established calls released by their backends
	ReleasedByCaller  int // established calls released by their callers
	ReleasedUnknown   int // forwarded releases of unknown calls, from either side

	Ends [attemptEndCount]int // ended attempts, by AttemptEnd
}
