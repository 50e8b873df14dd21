package modelcheck

import (
	"time"

	"olivedale/internal/admission"
	"olivedale/internal/call"
)

// decide returns the decision on a call that the current event prescribes. A set-up beyond MaxAttempts
// becomes DecisionNone.
func (m *model) decide(id string) admission.Decision {
	c := &m.calls[indexOf(id)]
	d := admission.Decision{CallID: id, Kind: m.nextDecision.kind, Wait: attemptTimeout}
	switch d.Kind {
	case admission.DecisionSend:
		d.Server = serverID(m.nextDecision.server)
		if c.attemptCount >= m.bounds.MaxAttempts {
			d.Kind = admission.DecisionNone
		}
	case admission.DecisionCancel:
		d.Attempt = c.attemptNumber
	default: // the other decisions have no arguments
	}
	return d
}

// decider is the decision module of a model. It implements call.Decider.
type decider struct{ m *model }

// Place implements call.Decider.
func (d decider) Place(_ call.Time, r admission.Request) admission.Decision {
	return d.m.decide(r.CallID)
}

// Report implements call.Decider.
func (d decider) Report(_ call.Time, r admission.AttemptReport) admission.Decision {
	needsDecision := r.Kind == admission.ReportEnded && !r.Final
	if !needsDecision {
		return admission.Decision{CallID: r.CallID}
	}
	return d.m.decide(r.CallID)
}

// Tick implements call.Decider.
func (d decider) Tick(call.Time) []admission.Decision {
	decisions := d.m.pendingDecisions
	d.m.pendingDecisions = nil
	return decisions
}

// NextDeadline implements call.Decider.
func (decider) NextDeadline() call.Time { return never }

// UpdateServers implements call.Decider.
func (decider) UpdateServers(call.Time, []admission.Server, bool) {}

// backends are the connections to the servers of a model. They implement call.Backends.
type backends struct{ m *model }

// Invite implements call.Backends.
func (b backends) Invite(server string, s call.Setup) {
	m := b.m
	index := indexOf(s.ID)
	c := &m.calls[index]
	if c.hasOpenAttempt() {
		m.fail("set-up of c%d sent to %s while attempt %d is open at x%d", index, server, c.attemptNumber, c.openServer)
	}
	if c.finalAnswers > 0 || !c.isCallerConnected() {
		m.fail("set-up of c%d sent to %s after the end of the call", index, server)
	}
	if s.Timeout <= 0 || m.now >= c.deadline {
		m.fail("set-up of c%d sent to %s with no time left", index, server)
	}
	c.openServer = indexOf(server)
	c.attemptNumber = s.Attempt
	c.attemptDeadline = m.now + s.Timeout
	c.attemptCount++
	m.attempts = append(m.attempts, serverAttempt{call: index, server: c.openServer, number: s.Attempt})
}

// Cancel implements call.Backends.
func (b backends) Cancel(server, id string, attempt int) (unsent bool) {
	c := &b.m.calls[indexOf(id)]
	if !c.isOpenAttempt(indexOf(server), attempt) {
		b.m.fail("cancel of %s sent to %s, where the attempt is not open", id, server)
	}
	c.openServer = noServer
	if a := b.m.findAttempt(indexOf(id), indexOf(server), attempt); a != nil {
		a.isCanceled = true
	}
	return false
}

// Release implements call.Backends.
func (b backends) Release(server, id string, attempt, _ int) {
	if a := b.m.findAttempt(indexOf(id), indexOf(server), attempt); a != nil {
		a.isOver = true
	}
}

// ReleaseEverywhere implements call.Backends.
func (backends) ReleaseEverywhere(string, int) {}

// client is the connection of all callers of a model. It implements call.Client.
type client struct{ m *model }

// CallEstablished implements call.Client.
func (cl client) CallEstablished(id string, _ []byte) {
	cl.receiveFinalAnswer(id)
	c := &cl.m.calls[indexOf(id)]
	c.isEstablished = true
	if !c.hasOpenAttempt() {
		cl.m.fail("%s established without an open attempt", id)
	}
}

// CallRejected implements call.Client.
func (cl client) CallRejected(id string, _ int, _ time.Duration) { cl.receiveFinalAnswer(id) }

// CallWithdrawn implements call.Client.
func (client) CallWithdrawn(string) {}

// Frontend implements call.Client.
func (cl client) Frontend() call.Frontend { return frontend(cl) }

func (cl client) receiveFinalAnswer(id string) {
	c := &cl.m.calls[indexOf(id)]
	c.finalAnswers++
	if c.finalAnswers > 1 {
		cl.m.fail("second final answer to %s", id)
	}
	if !c.isCallerConnected() {
		cl.m.fail("final answer to %s after its caller released it or disconnected", id)
	}
	if cl.m.now > c.deadline {
		cl.m.fail("final answer to %s after its deadline", id)
	}
}

// frontend is the callers' side of a model. It implements call.Frontend.
type frontend struct{ m *model }

// NotifyRelease implements call.Frontend.
func (f frontend) NotifyRelease(_ call.Client, id string, _ int) {
	c := &f.m.calls[indexOf(id)]
	if !c.isEstablished || c.isReleased {
		f.m.fail("release of %s, which is not established or already released", id)
	}
	c.isReleased = true
}
