package call

import "olivedale/internal/admission"

// An End is a way in which a connection, and with it what is out there, or a
// single attempt can end. All of them are listed here and nowhere else.
type End int

// The ends. 'Unsent' ones prove that no exchange has seen the set-up.
const (
	Completed       End = iota // released in the normal way after it stood
	Cut                        // released by the exchange for a fault after it stood
	CalleeBusy                 // all lines of the number are busy
	Fault                      // the exchange reports an error
	NoCircuit                  // the exchange has no line; it never ran
	ProcessorFull              // the exchange's processor is full; it never ran
	NeverLeft                  // the exchange reports that the set-up never left
	BrokeOnWay                 // the exchange reports that the set-up broke on its way
	Unsent                     // given up before its first byte was written
	DialRefused                // the exchange's address refused the connection
	DialTimedOut               // the connection did not come up in time
	DialFailed                 // the connection failed in another way before it was up
	ConnectionReset            // the connection was reset after the set-up was written
	ConnectionShut             // the exchange closed the connection
	Mute                       // the connection stayed open and brought nothing, or half a message
	Malformed                  // what came could not be read; the connection was closed
	TimedOut                   // no answer in time
	CalledOff                  // the module called it off
	CallerLeft                 // the caller gave the set-up up or released the call
	ExchangeLost               // the exchange is gone, or has started anew without its calls
	Stopped                    // this call controller stops
	ends
)

var names = [ends]string{"completed", "cut", "callee_busy", "fault", "no_circuit", "processor_full",
	"never_left", "broke_on_way", "unsent", "dial_refused", "dial_timed_out", "dial_failed",
	"connection_reset", "connection_shut", "mute", "malformed", "timed_out", "called_off", "caller_left",
	"exchange_lost", "stopped"}

func (e End) String() string {
	if e < 0 || e >= ends {
		return "unknown"
	}
	return names[e]
}

// Ends lists every End, for counters and tests.
func Ends() []End {
	all := make([]End, ends)
	for i := range all {
		all[i] = End(i)
	}
	return all
}

// outcome is the one place where an End becomes the module's outcome. What may
// have run must not be told as one that proves it never ran: the release guard
// hangs on it.
func (e End) outcome() (admission.Code, admission.Cause) {
	switch e {
	case Completed:
		return admission.Delivered, admission.NoCause
	case CalleeBusy:
		return admission.Error, admission.NumberBusy
	case Fault:
		return admission.Error, admission.NoCause
	case NoCircuit:
		return admission.Full, admission.NoLine
	case ProcessorFull:
		return admission.Full, admission.ProcessorFull
	case NeverLeft, Unsent:
		return admission.Unused, admission.NoCause
	case DialRefused, DialTimedOut, DialFailed:
		return admission.DialFailed, admission.NoCause
	case TimedOut:
		return admission.Expired, admission.NoCause
	case CalledOff, CallerLeft, Stopped:
		return admission.Revoked, admission.NoCause
	case Mute:
		return admission.Dropped, admission.DeadLink
	case Cut, BrokeOnWay, ConnectionReset, ConnectionShut, Malformed, ExchangeLost:
		return admission.Dropped, admission.NoCause
	}
	// An end that is not known here may have run.
	return admission.Dropped, admission.NoCause
}
