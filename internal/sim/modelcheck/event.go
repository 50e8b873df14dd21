package modelcheck

import (
	"fmt"

	"olivedale/internal/admission"
)

type eventKind uint8

const (
	callOffered        eventKind = iota
	callerReleased               // the caller abandons or releases the call
	clientDisconnected           // the connection of all callers is lost
	attemptAnswered
	attemptRejected // the server is busy
	attemptReset    // the attempt ends with its connection
	serverReleased  // a server ends an established call, or one whose answer was lost
	serverRestarted
	decisionDue // the decision module makes a decision in a tick, which no other event asked for
	timePassed  // until the next deadline of the call manager
)

func (k eventKind) String() string {
	return [...]string{
		"call offered", "caller released", "client disconnected", "attempt answered", "attempt rejected",
		"attempt reset", "server released", "server restarted", "decision due", "time passed",
	}[k]
}

// decision is the decision that the module returns if the call manager asks for one during an event.
type decision struct {
	kind   admission.DecisionKind
	server int // set for admission.DecisionSend
}

func (d decision) String() string {
	switch d.kind {
	case admission.DecisionNone:
		return ""
	case admission.DecisionSend:
		return fmt.Sprintf(", decision: send to x%d", d.server)
	case admission.DecisionReject:
		return ", decision: reject"
	case admission.DecisionFail:
		return ", decision: fail"
	case admission.DecisionCancel:
		return ", decision: cancel"
	default:
		return fmt.Sprintf(", decision: %d", d.kind)
	}
}

// event is one transition of the model.
type event struct {
	kind     eventKind
	call     int
	server   int // noServer: none
	attempt  int
	decision decision
}

const noServer = -1

func (e event) String() string {
	s := fmt.Sprintf("%v c%d", e.kind, e.call)
	if e.server != noServer {
		s += fmt.Sprintf(" x%d/%d", e.server, e.attempt)
	}
	return s + e.decision.String()
}

// enabledEvents returns all events that are possible in the current state.
func (m *model) enabledEvents() []event {
	events := m.callerEvents()
	events = append(events, m.attemptEvents()...)
	if m.hasOpenCall() {
		events = append(events, m.withDecisions(event{kind: timePassed, server: noServer})...)
		events = append(events, event{kind: clientDisconnected, server: noServer})
	}
	for server := range m.bounds.Servers {
		if m.hasAttemptAt(server) {
			events = append(events, event{kind: serverRestarted, server: server})
		}
	}
	return events
}

// withDecisions returns an event once with each decision that the module can make.
func (m *model) withDecisions(e event) []event {
	decisions := []decision{
		{kind: admission.DecisionNone},
		{kind: admission.DecisionReject},
		{kind: admission.DecisionFail},
	}
	for server := range m.bounds.Servers {
		decisions = append(decisions, decision{kind: admission.DecisionSend, server: server})
	}
	events := make([]event, len(decisions))
	for i, d := range decisions {
		events[i] = e
		events[i].decision = d
	}
	return events
}

// callerEvents returns the events that start from callers. Calls are interchangeable, so they are offered in the order
// of their index.
func (m *model) callerEvents() (events []event) {
	for i := range m.calls {
		c := &m.calls[i]
		isNextOffer := !c.isOffered && (i == 0 || m.calls[i-1].isOffered)
		switch {
		case isNextOffer:
			events = append(events, m.withDecisions(event{kind: callOffered, call: i, server: noServer})...)
		case c.isOpen():
			events = append(events, event{kind: callerReleased, call: i, server: noServer})
			due := event{kind: decisionDue, call: i, server: noServer}
			events = append(events, m.withDecisions(due)...)
			if c.hasOpenAttempt() {
				due.decision.kind = admission.DecisionCancel
				events = append(events, due)
			}
		case c.isEstablished && c.isCallerConnected() && !c.isReleased:
			events = append(events, event{kind: callerReleased, call: i, server: noServer})
		}
	}
	return events
}

// attemptEvents returns the events of the attempts that are not over at their servers.
func (m *model) attemptEvents() (events []event) {
	for _, a := range m.attempts {
		if a.isOver {
			continue
		}
		e := event{call: a.call, server: a.server, attempt: a.number}
		if !a.isAnswered {
			e.kind = attemptAnswered
			events = append(events, e)
			e.kind = attemptRejected
			events = append(events, m.withDecisions(e)...)
			e.kind = attemptReset
			events = append(events, m.withDecisions(e)...)
		}
		e.kind = serverReleased
		events = append(events, m.withDecisions(e)...)
	}
	return events
}
