package modelcheck

import (
	"fmt"
	"slices"
	"time"

	"olivedale/internal/admission"
	"olivedale/internal/call"
)

const (
	callerPatience = 3 * time.Second
	attemptTimeout = time.Second

	never               = 1 << 62 // deadline of the decision module, which has none
	maxDeadline         = 1 << 61 // a later deadline of the call manager means none
	maxCompletionEvents = 64      // all calls must have their final answer within this many ticks
)

// model is a call manager with its environment: callers, servers and a decision module that makes the decision of the
// current event. It checks the invariants.
type model struct {
	bounds           Bounds
	now              time.Duration
	manager          *call.Manager
	calls            []callState
	attempts         []serverAttempt
	nextDecision     decision
	pendingDecisions []admission.Decision // for the next tick
	violation        string               // the first one; "": none
}

func newModel(bounds Bounds) *model {
	m := &model{bounds: bounds, now: time.Hour, calls: make([]callState, bounds.Calls)}
	for i := range m.calls {
		m.calls[i].openServer = noServer
	}
	var out call.Backends = backends{m}
	if bounds.WrapBackends != nil {
		out = bounds.WrapBackends(out)
	}
	clock := func() call.Time { return m.now }
	limits := call.Limits{Calls: 64, OpenCalls: 8, DescriptionBytes: 1 << 10, CompletedIDs: 64}
	m.manager = call.NewManager(decider{m}, out, clock, limits)
	return m
}

func callID(index int) string { return fmt.Sprint("c", index) }

func serverID(index int) string { return fmt.Sprint("x", index) }

// indexOf returns the index of a call or a server from its ID. The index is one digit, so there are at most ten.
func indexOf(id string) int { return int(id[len(id)-1] - '0') }

// fail records a violation, unless there was an earlier one.
func (m *model) fail(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
	}
}

func (m *model) hasOpenCall() bool {
	return slices.ContainsFunc(m.calls, func(c callState) bool { return c.isOpen() })
}

func (m *model) hasAttemptAt(server int) bool {
	return slices.ContainsFunc(m.attempts, func(a serverAttempt) bool { return a.server == server && !a.isOver })
}

// findAttempt returns an attempt, or nil if it was never sent to the server.
func (m *model) findAttempt(callIndex, server, number int) *serverAttempt {
	i := slices.IndexFunc(m.attempts, func(a serverAttempt) bool {
		return a.call == callIndex && a.server == server && a.number == number
	})
	if i < 0 {
		return nil
	}
	return &m.attempts[i]
}

// apply performs an event.
func (m *model) apply(e event) {
	m.nextDecision = e.decision
	c := &m.calls[e.call]
	id, server := callID(e.call), serverID(e.server)
	switch e.kind {
	case callOffered:
		c.isOffered = true
		c.deadline = m.now + callerPatience
		_ = m.manager.Offer(client{m}, call.Request{ID: id, Class: "c", Deadline: c.deadline})
	case callerReleased:
		m.releaseByCaller(c, id)
	case clientDisconnected:
		m.disconnectClient()
	case attemptAnswered:
		m.findAttempt(e.call, e.server, e.attempt).isAnswered = true
		m.manager.AttemptAnswered(server, id, e.attempt, nil)
	case attemptRejected:
		m.endAttempt(e, call.ProcessorBusy)
	case attemptReset:
		m.endAttempt(e, call.ConnectionReset)
	case serverReleased:
		m.findAttempt(e.call, e.server, e.attempt).isOver = true
		m.manager.BackendReleased(server, id, call.CauseNormal, frontend{m})
	case serverRestarted:
		m.restartServer(e.server)
	case decisionDue:
		m.pendingDecisions = []admission.Decision{m.decide(id)}
		m.manager.Tick()
	case timePassed:
		m.passTime()
	}
	m.closeReleasedCalls()
}

func (m *model) releaseByCaller(c *callState, id string) {
	c.hasCallerReleased = true
	if c.isEstablished {
		c.isReleased = true
		c.openServer = noServer
	}
	m.manager.ReleaseByCaller(call.UnconfirmedSource("caller"), id, call.CauseNormal)
}

func (m *model) disconnectClient() {
	for i := range m.calls {
		c := &m.calls[i]
		if c.isOffered && c.finalAnswers == 0 {
			c.isDisconnected = true
		}
	}
	m.manager.CallerDisconnected(client{m})
}

func (m *model) endAttempt(e event, end call.AttemptEnd) {
	m.findAttempt(e.call, e.server, e.attempt).isOver = true
	c := &m.calls[e.call]
	if c.isOpenAttempt(e.server, e.attempt) {
		c.openServer = noServer
	}
	m.manager.AttemptEnded(serverID(e.server), callID(e.call), e.attempt, end)
}

func (m *model) restartServer(server int) {
	for i := range m.attempts {
		if m.attempts[i].server == server {
			m.attempts[i].isOver = true
		}
	}
	m.manager.BackendRestarted(serverID(server), m.now+1)
}

// passTime advances the clock to the next deadline of the call manager. It reports whether there is one.
func (m *model) passTime() bool {
	deadline := m.manager.NextDeadline()
	if deadline >= maxDeadline {
		return false
	}
	m.now = max(m.now, deadline)
	m.manager.Tick()
	return true
}

// closeReleasedCalls clears the servers of established calls that have been released.
func (m *model) closeReleasedCalls() {
	for i := range m.calls {
		if m.calls[i].isReleased {
			m.calls[i].openServer = noServer
		}
	}
}

// runToCompletion lets time pass without other events and decisions, and checks that each caller gets a final answer.
func (m *model) runToCompletion() {
	for range maxCompletionEvents {
		if m.manager.OpenCalls() == 0 || m.violation != "" {
			break
		}
		m.nextDecision = decision{kind: admission.DecisionNone}
		if !m.passTime() {
			m.fail("%d calls are open, but the call manager has no deadline", m.manager.OpenCalls())
			return
		}
	}
	for i := range m.calls {
		if m.calls[i].isOpen() {
			m.fail("c%d never gets a final answer", i)
		}
	}
}
