package gateway

import (
	"strconv"
	"time"

	"olivedale/internal/call"
	"olivedale/internal/codec/h248"
	"olivedale/internal/codec/h248/transaction"
	"olivedale/internal/codec/sip"
	"olivedale/internal/frontend"
)

// A gatewayCall is the frontend's state of one call. It implements call.Client to receive the call's answer.
type gatewayCall struct {
	frontend      *Frontend
	replyTo       *Gateway // connection on which the set-up is answered; nil once answered; see setReplyTo
	entry         *transaction.Entry
	transactionID uint32
	messageID     string // of the gateway
	termination   string
	id            string
	context       contextID
}

var _ call.Client = (*gatewayCall)(nil)

// A terminationKey identifies a termination of a gateway.
type terminationKey struct{ messageID, termination string }

// A callTable holds the calls of all gateways.
type callTable struct {
	byID          map[string]*gatewayCall
	byTermination map[terminationKey]*gatewayCall
	openByEntry   map[*transaction.Entry]*gatewayCall // calls whose set-up is not answered, by their transaction
}

func newCallTable() callTable {
	return callTable{
		byID:          make(map[string]*gatewayCall),
		byTermination: make(map[terminationKey]*gatewayCall),
		openByEntry:   make(map[*transaction.Entry]*gatewayCall),
	}
}

// setReplyTo sets the connection on which the set-up is answered; nil means that it is answered.
func (c *gatewayCall) setReplyTo(g *Gateway) {
	open := c.frontend.calls.openByEntry
	if c.replyTo != nil {
		delete(c.replyTo.openCalls, c)
		delete(open, c.entry)
	}
	c.replyTo = g
	if g != nil {
		g.openCalls[c] = true
		open[c.entry] = c
	}
}

func (c *gatewayCall) key() terminationKey { return terminationKey{c.messageID, c.termination} }

func (t *callTable) add(c *gatewayCall) {
	t.byID[c.id] = c
	t.byTermination[c.key()] = c
}

func (t *callTable) remove(c *gatewayCall) {
	delete(t.byID, c.id)
	if t.byTermination[c.key()] == c {
		delete(t.byTermination, c.key())
	}
}

// findByTermination returns the call of a gateway on a termination, or nil.
func (t *callTable) findByTermination(messageID, termination string) *gatewayCall {
	return t.byTermination[terminationKey{messageID, termination}]
}

// addCall sets up a call. It validates the whole request before it changes any state.
func (g *Gateway) addCall(messageID string, entry *transaction.Entry, t *h248.Transaction, a *h248.Action) *h248.Error {
	f := g.frontend
	command := a.Commands[0]
	if err := f.checkAdd(messageID, a.Context, command.Termination); err != nil {
		return err
	}
	request, err := f.parseRequest(command)
	if err != nil {
		return err
	}
	var context contextID
	context, request.ID = f.newIdentity(messageID)
	c := &gatewayCall{
		frontend:      f,
		entry:         entry,
		transactionID: t.ID,
		messageID:     messageID,
		termination:   command.Termination,
		id:            request.ID,
		context:       context,
	}
	f.calls.add(c)
	c.setReplyTo(g)
	if f.host.IsShuttingDown() {
		f.host.RejectShuttingDown(c, request)
		return nil
	}
	if err := f.host.Calls.Offer(c, request); err != nil {
		f.calls.remove(c)
		c.setReplyTo(nil)
		return &h248.Error{Code: h248.InternalFailure, Text: err.Error()}
	}
	return nil
}

// newIdentity returns the context and the id of a new call. It passes over contexts whose calls have not ended.
func (f *Frontend) newIdentity(messageID string) (context contextID, callID string) {
	for {
		context = f.identities.next(messageID)
		callID = f.identities.callID(messageID, context)
		if f.calls.byID[callID] == nil {
			return context, callID
		}
	}
}

// checkAdd checks that an Add requests a new context and names an unused termination.
func (f *Frontend) checkAdd(messageID, context, termination string) *h248.Error {
	if context != "$" {
		return &h248.Error{Code: h248.NotImplemented, Text: "an Add goes to a new context"}
	}
	if termination == "$" || termination == "*" || isRoot(termination) {
		return &h248.Error{Code: h248.UnknownTermination, Text: "an Add names its termination"}
	}
	if f.calls.findByTermination(messageID, termination) != nil {
		return &h248.Error{Code: h248.TerminationInContext, Text: termination}
	}
	return nil
}

// parseRequest parses a set-up. The caller has to assign the call id.
func (f *Frontend) parseRequest(c *h248.Command) (r call.Request, parseErr *h248.Error) {
	description, ok := transaction.Description(c, "Remote")
	if !ok {
		return r, &h248.Error{Code: h248.MissingRemote, Text: "no Remote descriptor"}
	}
	value := func(name string) string {
		return h248.Value(c.Descriptors, "Media", "TerminationState", "oc/"+name)
	}
	r = call.Request{
		Class:         value("class"),
		Number:        value("number"),
		PreferredPool: frontend.AnyPool,
		Description:   description,
		Reestablish:   value("again") == "1",
	}
	if !sip.IsSafeValue(r.Class) || !sip.IsSafeValue(r.Number) {
		return r, &h248.Error{Code: h248.UnsupportedValue, Text: "oc/class or oc/number"}
	}
	wait, err := strconv.ParseFloat(value("left"), 64)
	if err != nil || !frontend.IsValidWait(wait) {
		return r, &h248.Error{Code: h248.UnsupportedValue, Text: "oc/left"}
	}
	if first := value("first"); first != "" {
		if r.PreferredPool, err = strconv.Atoi(first); err != nil {
			return r, &h248.Error{Code: h248.UnsupportedValue, Text: "oc/first"}
		}
	}
	if !f.host.IsPoolAllowed(r.Class, r.PreferredPool) {
		return r, &h248.Error{Code: h248.UnsupportedValue, Text: "oc/first"}
	}
	r.RepeatUnsafe = f.host.Config.RepeatUnsafe(r.Class)
	r.Deadline = f.host.Deadline(r.Class, frontend.Milliseconds(wait))
	return r, nil
}

// CallEstablished implements call.Client.
func (c *gatewayCall) CallEstablished(_ string, description []byte) {
	f := c.frontend
	if !h248.IsEncodable(description) {
		f.host.Loop.Defer(func() { f.releaseCall(c, call.CauseTemporaryFailure) })
		return
	}
	local := &h248.Node{Name: "Local", Octets: description}
	add := &h248.Command{
		Name:        "Add",
		Termination: c.termination,
		Descriptors: []*h248.Node{{Name: "Media", Children: []*h248.Node{local}}},
	}
	c.answer(&h248.Action{Context: c.context.String(), Commands: []*h248.Command{add}})
}

// CallRejected implements call.Client.
func (c *gatewayCall) CallRejected(_ string, cause int, wait time.Duration) {
	c.frontend.calls.remove(c)
	code := h248.TemporaryFailure
	if cause == call.CauseNoCircuit || cause == call.CauseCongestion {
		code = h248.InsufficientResources
	}
	text := "cause=" + strconv.Itoa(cause)
	if wait > 0 {
		text += " wait=" + strconv.FormatInt(wait.Milliseconds(), 10)
	}
	c.fail(code, text)
}

// CallWithdrawn implements call.Client. It does nothing, because the code that abandons a call also replies to its
// transaction.
func (c *gatewayCall) CallWithdrawn(string) {}

// Frontend implements call.Client.
func (c *gatewayCall) Frontend() call.Frontend { return c.frontend }

func (c *gatewayCall) fail(code int, text string) {
	c.answer(&h248.Action{Context: "$", Err: &h248.Error{Code: code, Text: text}})
}

// answer sends the reply to the transaction of the set-up.
func (c *gatewayCall) answer(a *h248.Action) {
	g := c.replyTo
	c.setReplyTo(nil)
	g.reply(c.entry, &h248.Transaction{ID: c.transactionID, Actions: []*h248.Action{a}})
}
