package gateway

import (
	"olivedale/internal/call"
	"olivedale/internal/codec/h248"
	"olivedale/internal/codec/h248/transaction"
)

// runRelease releases the call that a command of a gateway refers to. The call is found by its context, or with the
// wildcard context by its termination, because the gateway does not know the context while the set-up is open.
func (f *Frontend) runRelease(messageID string, a *h248.Action, c *h248.Command, cause int) *h248.Error {
	switch a.Context {
	case "-", "$":
		return &h248.Error{Code: h248.UnknownAction, Text: c.Name + " in context " + a.Context}
	case "*":
		found := f.calls.findByTermination(messageID, c.Termination)
		if found == nil {
			return &h248.Error{Code: h248.NoTerminationMatched, Text: "no such call"}
		}
		f.releaseCall(found, cause)
		return nil
	}
	return f.releaseContext(messageID, a.Context, c.Termination, cause)
}

// releaseContext releases the call in a context. Contexts of other gateways are unknown to the gateway.
func (f *Frontend) releaseContext(messageID, context, termination string, cause int) *h248.Error {
	unknown := &h248.Error{Code: h248.UnknownContext, Text: "context " + context}
	id, ok := parseContextID(context)
	if !ok || !f.identities.isAssigned(messageID, id) {
		return unknown
	}
	callID := f.identities.callID(messageID, id)
	found := f.calls.byID[callID]
	if found == nil {
		return f.releaseUnknownCall(messageID, callID, cause, unknown)
	}
	if termination != found.termination && termination != transaction.AllTerminations {
		return &h248.Error{Code: h248.UnknownTermination, Text: "not in context " + context}
	}
	f.releaseCall(found, cause)
	return nil
}

// releaseUnknownCall forwards the release of a call that is not open or established here. It may have been established
// by an earlier process of this controller. The release of a call that ended recently gets the error ended. The gateway
// has its reply while the release is queued, so the releases of gateways are never discarded.
func (f *Frontend) releaseUnknownCall(messageID, callID string, cause int, ended *h248.Error) *h248.Error {
	switch f.host.Calls.ReleaseUnknown(call.UnconfirmedSource(messageID), callID, cause) {
	case call.ReleaseForwarded, call.ReleaseQueued:
		return nil
	case call.ReleaseRefused:
		return &h248.Error{Code: h248.InsufficientResources, Text: "too many releases of unknown calls"}
	case call.ReleaseRepeated, call.ReleaseAbandoned:
	}
	return ended
}

// releaseCall releases a call on behalf of its gateway. If the set-up is still open, its transaction is completed with
// an error, because every transaction needs a reply.
func (f *Frontend) releaseCall(c *gatewayCall, cause int) {
	f.calls.remove(c)
	f.host.Calls.ReleaseByCaller(call.UnconfirmedSource(c.messageID), c.id, cause)
	if c.replyTo != nil {
		c.fail(h248.TemporaryFailure, "given up by the caller")
	}
}

// releaseAllCalls releases all calls of a gateway that has lost its state.
func (f *Frontend) releaseAllCalls(messageID string) {
	for _, c := range f.calls.byID {
		if c.messageID == messageID {
			f.releaseCall(c, call.CauseNormal)
		}
	}
}
