package cluster

import (
	"sync"

	"olivedale/internal/codec/sip"
	"olivedale/internal/sim/exchange"
	"olivedale/internal/sim/invariant"
)

// Lowest SIP status codes of final responses and of those that reject an attempt.
const (
	firstFinalStatus   = 200
	firstFailureStatus = 300
)

// A sipObserver parses the SIP messages on one connection between a controller and an exchange, and records events.
type sipObserver struct {
	monitor            *monitor
	controller, server string

	mu      sync.Mutex
	readers [numDirections]sip.Reader
	ended   [numDirections]bool
	open    map[exchange.Attempt]bool // attempts without a final response
}

// observeSIP returns an observer for a connection between a controller and an exchange. Attempts that are open when the
// connection ends are recorded as broken.
func (m *monitor) observeSIP(controller, server string) observer {
	o := &sipObserver{monitor: m, controller: controller, server: server, open: make(map[exchange.Attempt]bool)}
	return o.observe
}

func (o *sipObserver) observe(direction Direction, data []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended[direction] {
		return
	}
	if data == nil {
		o.recordBroken()
		return
	}
	err := o.readers[direction].Feed(data, func(m *sip.Message) bool {
		o.recordMessage(direction, m)
		return true
	})
	if err != nil {
		o.ended[direction] = true
		o.monitor.countUnreadable()
	}
}

// recordBroken records all open attempts as broken and ignores further data.
func (o *sipObserver) recordBroken() {
	o.ended = [numDirections]bool{true, true}
	for a := range o.open {
		o.monitor.record(invariant.Event{
			Kind: invariant.AttemptBroken, Controller: o.controller, Call: a.Call, Server: o.server, Attempt: a.Number,
		})
	}
}

// recordMessage records the event of a message that concerns an attempt. It ignores other messages.
func (o *sipObserver) recordMessage(direction Direction, m *sip.Message) {
	event := invariant.Event{Controller: o.controller, Call: m.CallID, Server: o.server, Attempt: m.CSeq - 1}
	attempt := exchange.Attempt{Call: event.Call, Number: event.Attempt}
	isInviteResponse := direction == Backward && m.Method == "" && m.CSeqMethod == "INVITE"
	switch {
	case direction == Forward && m.Method == "INVITE":
		event.Kind = invariant.AttemptSent
		o.open[attempt] = true
	case direction == Forward && m.Method == "CANCEL":
		event.Kind = invariant.AttemptCanceled
		delete(o.open, attempt)
	case isInviteResponse && m.Status >= firstFinalStatus && o.open[attempt]:
		event.Kind = invariant.AttemptAnswered
		if m.Status >= firstFailureStatus {
			event.Kind = invariant.AttemptRejected
		}
		delete(o.open, attempt)
	default:
		return
	}
	o.monitor.record(event)
}
