package call

import "olivedale/internal/admission"

// An AttemptEnd is the way in which an attempt ended, including failures of the connection that carried it.
type AttemptEnd int

// All ways in which an attempt can end. NoCircuit, ProcessorBusy, NotForwarded, NotSent and the dial errors
// prove that the call has not run.
const (
	Completed        AttemptEnd = iota // released with normal clearing after it was established
	EndedByFault                       // released by the backend with another cause after it was established
	DestinationBusy                    // all lines of the called number are busy
	BackendError                       // the backend reports an error
	NoCircuit                          // the backend has no free circuit
	ProcessorBusy                      // the backend's processor is overloaded
	NotForwarded                       // the backend reports that it has not forwarded the setup
	FailedInTransit                    // the backend reports that the setup failed after it was forwarded
	NotSent                            // canceled before the first byte of the setup was written
	DialRefused                        // the backend's address refused the connection
	DialTimedOut                       // connecting to the backend timed out
	DialFailed                         // connecting to the backend failed for another reason
	ConnectionReset                    // the connection was reset after the setup was written
	ConnectionClosed                   // the backend closed the connection
	Unresponsive                       // the connection stayed open, but nothing or only part of a message arrived
	Malformed                          // a message could not be parsed; the connection was closed
	TimedOut                           // no answer before the deadline
	Canceled                           // canceled by the Decider
	CallerReleased                     // the call was abandoned or released by the caller
	BackendLost                        // the backend was removed or is unreachable, or has restarted and lost its calls
	ShuttingDown                       // this process is shutting down
	attemptEndCount
)

// attemptEndNames are the names of the ends in logs, metrics and records. They are external interfaces and
// must not change; some differ from the names of the constants, which were renamed.
var attemptEndNames = [attemptEndCount]string{
	Completed:        "completed",
	EndedByFault:     "cut",
	DestinationBusy:  "callee_busy",
	BackendError:     "fault",
	NoCircuit:        "no_circuit",
	ProcessorBusy:    "processor_full",
	NotForwarded:     "never_left",
	FailedInTransit:  "broke_on_way",
	NotSent:          "unsent",
	DialRefused:      "dial_refused",
	DialTimedOut:     "dial_timed_out",
	DialFailed:       "dial_failed",
	ConnectionReset:  "connection_reset",
	ConnectionClosed: "connection_shut",
	Unresponsive:     "mute",
	Malformed:        "malformed",
	TimedOut:         "timed_out",
	Canceled:         "called_off",
	CallerReleased:   "caller_left",
	BackendLost:      "exchange_lost",
	ShuttingDown:     "stopped",
}

// String returns the name of the end in logs, metrics and records, or "unknown" for an undefined value.
func (e AttemptEnd) String() string {
	if e < 0 || e >= attemptEndCount {
		return "unknown"
	}
	return attemptEndNames[e]
}

// AllAttemptEnds returns all defined values of AttemptEnd in ascending order.
func AllAttemptEnds() []AttemptEnd {
	all := make([]AttemptEnd, attemptEndCount)
	for i := range all {
		all[i] = AttemptEnd(i)
	}
	return all
}

// admissionResult returns the result and the cause that are reported to the Decider; no other code maps
// them. An attempt that may have run must not map to a result that proves the opposite, or the Decider
// would send the call again without waiting for its retry guard.
func (e AttemptEnd) admissionResult() (admission.AttemptResult, admission.FailureCause) {
	switch e {
	case Completed:
		return admission.ResultDelivered, admission.CauseNone
	case DestinationBusy:
		return admission.ResultServerError, admission.CauseDestinationBusy
	case BackendError:
		return admission.ResultServerError, admission.CauseNone
	case NoCircuit:
		return admission.ResultServerBusy, admission.CauseNoCircuit
	case ProcessorBusy:
		return admission.ResultServerBusy, admission.CauseProcessorBusy
	case NotForwarded, NotSent:
		return admission.ResultNotSent, admission.CauseNone
	case DialRefused, DialTimedOut, DialFailed:
		return admission.ResultDialFailed, admission.CauseNone
	case TimedOut:
		return admission.ResultTimedOut, admission.CauseNone
	case Canceled, CallerReleased, ShuttingDown:
		return admission.ResultCanceled, admission.CauseNone
	case Unresponsive:
		return admission.ResultConnectionLost, admission.CauseConnectionUnresponsive
	case EndedByFault, FailedInTransit, ConnectionReset, ConnectionClosed, Malformed, BackendLost:
		return admission.ResultConnectionLost, admission.CauseNone
	default: // after an undefined end the call may have run
		return admission.ResultConnectionLost, admission.CauseNone
	}
}
