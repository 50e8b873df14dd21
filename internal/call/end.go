package call

import "lapiscourse"

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
func (e End) outcome() (lapiscourse.Code, lapiscourse.Cause) {
	switch e {
	case Completed:
		return lapiscourse.Delivered, lapiscourse.NoCause
	case CalleeBusy:
		return lapiscourse.Error, lapiscourse.NumberBusy
	case Fault:
		return lapiscourse.Error, lapiscourse.NoCause
	case NoCircuit:
		return lapiscourse.Full, lapiscourse.NoLine
	case ProcessorFull:
		return lapiscourse.Full, lapiscourse.ProcessorFull
	case NeverLeft, Unsent:
		return lapiscourse.Unused, lapiscourse.NoCause
	case DialRefused, DialTimedOut, DialFailed:
		return lapiscourse.DialFailed, lapiscourse.NoCause
	case TimedOut:
		return lapiscourse.Expired, lapiscourse.NoCause
	case CalledOff, CallerLeft, Stopped:
		return lapiscourse.Revoked, lapiscourse.NoCause
	case Mute:
		return lapiscourse.Dropped, lapiscourse.DeadLink
	case Cut, BrokeOnWay, ConnectionReset, ConnectionShut, Malformed, ExchangeLost:
		return lapiscourse.Dropped, lapiscourse.NoCause
	}
	// An end that is not known here may have run.
	return lapiscourse.Dropped, lapiscourse.NoCause
}
