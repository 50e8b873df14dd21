package call

import "olivedale/internal/admission"

// An AttemptEnd is a way in which a connection, and with it what is out there, or a
// single attempt can end. All of them are listed here and nowhere else.
type AttemptEnd int

// The attemptEndCount. 'NotSent' ones prove that no exchange has seen the set-up.
const (
	Completed        AttemptEnd = iota // released in the normal way after it stood
	EndedByFault                       // released by the exchange for a fault after it stood
	DestinationBusy                    // all lines of the number are busy
	BackendError                       // the exchange reports an error
	NoCircuit                          // the exchange has no line; it never ran
	ProcessorBusy                      // the exchange's processor is full; it never ran
	NotForwarded                       // the exchange reports that the set-up never left
	FailedInTransit                    // the exchange reports that the set-up broke on its way
	NotSent                            // given up before its first byte was written
	DialRefused                        // the exchange's address refused the connection
	DialTimedOut                       // the connection did not come up in time
	DialFailed                         // the connection failed in another way before it was up
	ConnectionReset                    // the connection was reset after the set-up was written
	ConnectionClosed                   // the exchange closed the connection
	Unresponsive                       // the connection stayed open and brought nothing, or half a message
	Malformed                          // what came could not be read; the connection was closed
	TimedOut                           // no answer in time
	Canceled                           // the module called it off
	CallerReleased                     // the caller gave the set-up up or released the call
	BackendLost                        // the exchange is gone, or has started anew without its calls
	ShuttingDown                       // this call controller stops
	attemptEndCount
)

var attemptEndNames = [attemptEndCount]string{"completed", "cut", "callee_busy", "fault", "no_circuit", "processor_full",
	"never_left", "broke_on_way", "unsent", "dial_refused", "dial_timed_out", "dial_failed",
	"connection_reset", "connection_shut", "mute", "malformed", "timed_out", "called_off", "caller_left",
	"exchange_lost", "stopped"}

func (e AttemptEnd) String() string {
	if e < 0 || e >= attemptEndCount {
		return "unknown"
	}
	return attemptEndNames[e]
}

// AllAttemptEnds lists every End, for counters and tests.
func AllAttemptEnds() []AttemptEnd {
	all := make([]AttemptEnd, attemptEndCount)
	for i := range all {
		all[i] = AttemptEnd(i)
	}
	return all
}

// admissionResult is the one place where an End becomes the module's admissionResult. What may
// have run must not be told as one that proves it never ran: the release guard
// hangs on it.
func (e AttemptEnd) admissionResult() (admission.AttemptResult, admission.FailureCause) {
	switch e {
	case Completed:
		return admission.Delivered, admission.CauseNone
	case DestinationBusy:
		return admission.ServerError, admission.CauseDestinationBusy
	case BackendError:
		return admission.ServerError, admission.CauseNone
	case NoCircuit:
		return admission.ServerBusy, admission.CauseNoCircuit
	case ProcessorBusy:
		return admission.ServerBusy, admission.CauseProcessorBusy
	case NotForwarded, NotSent:
		return admission.NotSent, admission.CauseNone
	case DialRefused, DialTimedOut, DialFailed:
		return admission.DialFailed, admission.CauseNone
	case TimedOut:
		return admission.TimedOut, admission.CauseNone
	case Canceled, CallerReleased, ShuttingDown:
		return admission.Canceled, admission.CauseNone
	case Unresponsive:
		return admission.ConnectionLost, admission.CauseConnectionUnresponsive
	case EndedByFault, FailedInTransit, ConnectionReset, ConnectionClosed, Malformed, BackendLost:
		return admission.ConnectionLost, admission.CauseNone
	}
	// An end that is not known here may have run.
	return admission.ConnectionLost, admission.CauseNone
}
