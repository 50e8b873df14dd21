package backend

import (
	"strings"

	"olivedale/internal/admission"
	"olivedale/internal/call"
	"olivedale/internal/codec/h248"
	"olivedale/internal/codec/h248/transaction"
)

// handleRequest executes a transaction of the server at most once; a repeated one gets the stored reply. If there is no
// room to store a transaction, it is executed only if a second execution has no effect, and refused otherwise.
func (p *h248Protocol) handleRequest(messageID string, t *h248.Transaction) {
	set := p.conn.set
	entry, isNew := p.received.Begin(messageID, t, set.loop.Now())
	switch {
	case entry == nil && isIdempotent(t):
		p.writeReply(p.execute(t))
	case entry == nil:
		set.Counters.Strays++
		tooMany := &h248.Error{Code: h248.InsufficientResources, Text: "too many transactions"}
		p.writeReply(p.frameReply(&h248.Transaction{ID: t.ID, Err: tooMany}))
	case isNew:
		p.received.Complete(entry, p.execute(t), set.loop.Now())
		p.writeReply(entry.Reply())
	default:
		set.Counters.RepeatedRequests++
		p.writeReply(entry.Reply())
	}
}

// isIdempotent reports whether a second execution of a transaction has no effect. A call is released once, however
// often its release is executed; a ServiceChange ends the calls that were established before it is executed.
func isIdempotent(t *h248.Transaction) bool {
	for _, a := range t.Actions {
		for _, c := range a.Commands {
			if c.Name == "ServiceChange" {
				return false
			}
		}
	}
	return true
}

// execute executes a transaction and returns the framed reply.
func (p *h248Protocol) execute(t *h248.Transaction) []byte {
	return p.frameReply(&h248.Transaction{ID: t.ID, Actions: transaction.RunActions(t.Actions, p.runCommand)})
}

func (p *h248Protocol) frameReply(t *h248.Transaction) []byte {
	t.Kind = h248.Reply
	return transaction.Frame(p.conn.set.messageID, t)
}

func (p *h248Protocol) writeReply(reply []byte) {
	p.conn.write(func(b []byte) []byte { return append(b, reply...) })
}

// runCommand executes a command of the server.
func (p *h248Protocol) runCommand(_ *h248.Action, c *h248.Command) (*h248.Command, *h248.Error) {
	done := &h248.Command{Name: c.Name, Termination: c.Termination}
	switch c.Name {
	case "Notify":
		cause, ok := transaction.ParseReleaseEvent(c)
		if !ok {
			return nil, &h248.Error{Code: h248.UnsupportedValue, Text: "no release is told"}
		}
		return done, p.releaseCall(c.Termination, cause)
	case "Subtract":
		return done, p.releaseCall(c.Termination, call.CauseNormal)
	case "ServiceChange":
		return done, p.changeService(h248.Value(c.Descriptors, "Services", "Method"))
	}
	return nil, &h248.Error{Code: h248.NotImplemented, Text: c.Name}
}

// releaseCall handles a release of a call by the server. The release of an earlier attempt, which crossed its
// cancellation, does not end the current one. The release of a call at another server is refused.
func (p *h248Protocol) releaseCall(termination string, cause int) *h248.Error {
	id, attempt, ok := ParseTermination(termination)
	if !ok {
		return &h248.Error{Code: h248.UnknownTermination, Text: termination}
	}
	delete(p.contexts, termination)
	p.conn.confirmRelease(id, attempt, false)
	calls := p.conn.set.calls
	latest, isHere := calls.LatestAttempt(p.conn.id, id)
	switch {
	case isHere && latest != attempt:
		p.conn.set.Counters.Strays++
		return nil
	case !isHere && calls.Contains(id):
		p.conn.set.Counters.Strays++
		return &h248.Error{Code: h248.UnknownTermination, Text: termination}
	}
	p.conn.recordRelease(id)
	calls.BackendReleased(p.conn.id, id, cause, p.conn.set.frontends...)
	return nil
}

// changeService applies a state change that the server reports by a ServiceChange.
func (p *h248Protocol) changeService(method string) *h248.Error {
	switch strings.ToLower(method) {
	case "graceful":
		p.conn.applyServerState(admission.Draining)
	case "forced":
		p.conn.applyServerState(admission.Removed)
	case "restart":
		p.conn.applyServerState(admission.Active)
	default:
		return &h248.Error{Code: h248.UnsupportedValue, Text: "method " + method}
	}
	return nil
}
