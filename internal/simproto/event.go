package simproto

import (
	"fmt"
	"time"

	"olivedale/internal/admission"
)

// A rowFormat describes the rows with one name.
type rowFormat struct {
	values int // number of values after the name
	read   func(d *Decoder, r *row) *Item
}

// rowFormats maps the names of rows to their formats. The comments of the read functions list the values in order.
var rowFormats = map[string]rowFormat{
	"START":    {2, readStart},
	"KILL":     {0, readKill},
	"PAGE":     {2, (*Decoder).readPage},
	"MEMBERS":  {3, (*Decoder).readMembers},
	"ASK":      {10, readCallOffered},
	"HEADERS":  {4, readCallEstablished},
	"GONE":     {1, readCallAbandoned},
	"RETURNED": {8, readAttemptEnded},
	"PROBED":   {4, readLoadReported},
	"BELL":     {1, readTimerFired},
	"HEARD":    {2, readMessage},
}

// Bits of the field flags of ASK.
const (
	flagRedialed    = 2
	flagReestablish = 16
)

// The field clearCode of RETURNED holds the cause in its low bits and the delay before a retry, in milliseconds, in
// the other bits.
const (
	causeBits = 4
	causeMask = 1<<causeBits - 1
)

// attemptResults maps the values of the field code of RETURNED to results. Of these, PROBED uses only codeDelivered.
var attemptResults = map[string]admission.AttemptResult{
	codeDelivered: admission.ResultDelivered,
	"app_error":   admission.ResultServerError,
	"shed":        admission.ResultServerBusy,
	"expired":     admission.ResultTimedOut,
	"dial_failed": admission.ResultDialFailed,
	"dropped":     admission.ResultConnectionLost,
	"revoked":     admission.ResultCanceled,
	"unused":      admission.ResultNotSent,
}

const codeDelivered = "delivered"

func newEvent(e admission.Event) *Item { return &Item{Event: e} }

// readKill reads a row without values.
func readKill(*Decoder, *row) *Item { return &Item{Kill: true} }

// readCallOffered reads opId, work, farEnd, units, validUntil, flags, an unused value, entity, via, service.
func readCallOffered(_ *Decoder, r *row) *Item {
	r.optionalFloat(2, "work")
	r.integer(4, "units")
	flags := r.integer(6, "flags")
	r.optionalInteger(9, "via", -1)
	return newEvent(admission.CallOffered{
		CallID:        r.text(1, "opId"),
		PreferredPool: r.integer(3, "farEnd"),
		Deadline:      r.duration(5, "validUntil"),
		Redialed:      flags&flagRedialed != 0,
		Reestablish:   flags&flagReestablish != 0,
		Number:        r.optionalText(8, "entity"),
		Class:         r.text(10, "service"),
	})
}

// readCallEstablished reads opId, leg, server, elapsed.
func readCallEstablished(_ *Decoder, r *row) *Item {
	return newEvent(admission.CallEstablished{
		CallID:    r.text(1, "opId"),
		Attempt:   r.integer(2, "leg"),
		Server:    r.text(3, "server"),
		SetupTime: r.duration(4, "elapsed"),
	})
}

// readCallAbandoned reads opId.
func readCallAbandoned(_ *Decoder, r *row) *Item {
	return newEvent(admission.CallAbandoned{CallID: r.text(1, "opId")})
}

// readLoadReported reads code, server, elapsed, telemetry.
func readLoadReported(_ *Decoder, r *row) *Item {
	code := r.text(1, "code")
	server := r.text(2, "server")
	r.duration(3, "elapsed")
	return newEvent(admission.LoadReported{
		Server: server,
		OK:     code == codeDelivered,
		Load:   r.loadReport(4, "telemetry"),
	})
}

// readAttemptEnded reads opId, leg, server, code, elapsed, terminal, clearCode, telemetry.
func readAttemptEnded(_ *Decoder, r *row) *Item {
	code := r.text(4, "code")
	result, isKnown := attemptResults[code]
	if !isKnown {
		r.fail("code", fmt.Errorf("unknown code %q", code))
	}
	clearCode := r.optionalInteger(7, "clearCode", 0)
	e := admission.AttemptEnded{
		CallID:  r.text(1, "opId"),
		Attempt: r.integer(2, "leg"),
		Server:  r.text(3, "server"),
		Result:  result,
		Elapsed: r.duration(5, "elapsed"),
		Final:   r.boolean(6, "terminal"),
		Load:    r.loadReport(8, "telemetry"),
	}
	if clearCode > 0 {
		e.RetryAfter = time.Duration(clearCode>>causeBits) * time.Millisecond
		e.Cause = failureCause(clearCode & causeMask)
	}
	return newEvent(e)
}

// failureCause returns the cause of a code, which is the number of the constant. An unknown code means CauseNone.
func failureCause(code int) admission.FailureCause {
	switch cause := admission.FailureCause(code); cause {
	case admission.CauseNoCircuit, admission.CauseReturned, admission.CauseProcessorBusy,
		admission.CauseDestinationBusy:
		return cause
	default:
		return admission.CauseNone
	}
}

// readTimerFired reads keyBack.
func readTimerFired(_ *Decoder, r *row) *Item {
	return newEvent(admission.TimerFired{Key: r.int64(1, "keyBack")})
}

// readMessage checks the sender and the content of a message from another node and discards it: the decision module
// uses no messages.
func readMessage(_ *Decoder, r *row) *Item {
	r.integer(1, "sender")
	r.text(2, "content")
	return nil
}
