package gateway

import (
	"olivedale/internal/call"
	"olivedale/internal/codec/h248"
	"olivedale/internal/codec/h248/transaction"
	"olivedale/internal/eventloop"
	"olivedale/internal/frontend"
	"slices"
)

// A Gateway is one connection from a media gateway, or from the agent on the admin address.
type Gateway struct {
	frontend       *Frontend
	conn           *eventloop.Conn
	framer         h248.Framer
	messageID      string // of the latest message; "": none has come
	isAdmin        bool
	membership     frontend.Membership
	messageIDPlace eventloop.Element // among the connections of the same message id
}

var _ frontend.Connection = (*Gateway)(nil)

// Conn implements frontend.Connection.
func (g *Gateway) Conn() *eventloop.Conn { return g.conn }

// HasOpenSetup implements frontend.Connection.
func (g *Gateway) HasOpenSetup() bool {
	for _, c := range g.frontend.calls.byID {
		if c.answerTo == g {
			return true
		}
	}
	return false
}

func (g *Gateway) send(text []byte) {
	g.frontend.host.Loop.Write(g.conn, func(b []byte) []byte { return append(b, text...) })
}

func (g *Gateway) sendNotify(n *pendingNotify) {
	g.send(n.text)
	n.isSent = true
}

// HandleData implements frontend.Connection.
func (g *Gateway) HandleData(data []byte) {
	f := g.frontend
	f.gateways.Touch(&g.membership)
	if g.messageIDPlace != nil {
		f.byMessageID[g.messageID].Touch(g.messageIDPlace)
	}
	isComplete := false
	err := g.framer.Feed(data, func(text []byte) bool {
		isComplete = true
		m, parseErr := h248.Parse(text)
		if parseErr != nil { // nothing of it has run
			g.rejectMessage(parseErr)
			return false
		}
		g.handleMessage(m)
		return g.conn.IsOpen()
	})
	if err != nil {
		g.closeMalformed(err)
	}
	f.gateways.RecordInput(g, &g.membership, isComplete, g.framer.HasPartial())
}

// rejectMessage answers a message that cannot be read and closes the connection.
func (g *Gateway) rejectMessage(parseErr *h248.Error) {
	b, err := h248.AppendFrame(nil, &h248.Message{MID: g.frontend.messageID, Err: parseErr})
	if err == nil {
		g.send(b)
	}
	g.closeMalformed(parseErr)
}

func (g *Gateway) closeMalformed(err error) {
	g.frontend.host.ReportMalformed("panel", err)
	g.frontend.host.Loop.Close(g.conn)
}

// handleLastData handles what the connection brought before it broke. The set-ups on it have lost their caller.
func (g *Gateway) handleLastData(data []byte) {
	_ = g.framer.Feed(data, func(text []byte) bool {
		m, parseErr := h248.Parse(text)
		if parseErr != nil {
			return false
		}
		g.handleMessage(m)
		return true
	})
}

// HandleClose implements frontend.Connection. Where a write failed, what the connection brought before still counts.
func (g *Gateway) HandleClose(err error) {
	g.conn.MarkClosed()
	if eventloop.IsFailedWrite(err) {
		eventloop.DrainReadBuffer(g.conn.Socket(), g.handleLastData)
	}
	g.remove()
}

// remove takes the connection off the frontend's lists and gives up the set-ups that are open on it. Their
// transactions get the reply that says so, should they be repeated.
func (g *Gateway) remove() {
	f := g.frontend
	f.gateways.Remove(&g.membership)
	g.setMessageID("")
	for _, c := range f.calls.byID {
		if c.answerTo == g {
			f.calls.remove(c)
			f.host.Calls.CallerDisconnected(c)
			c.fail(h248.TemporaryFailure, "given up: the connection closed")
		}
	}
}

// setMessageID lists the connection under the message id of its gateway.
func (g *Gateway) setMessageID(messageID string) {
	f := g.frontend
	if list := f.byMessageID[g.messageID]; list != nil {
		list.Remove(&g.messageIDPlace)
		if list.Len() == 0 {
			delete(f.byMessageID, g.messageID)
		}
	}
	g.messageID = messageID
	if messageID == "" || !g.membership.IsRegistered() {
		return
	}
	if f.byMessageID[messageID] == nil {
		f.byMessageID[messageID] = &eventloop.IdleList[*Gateway]{}
	}
	g.messageIDPlace = f.byMessageID[messageID].Add(g)
}

func (g *Gateway) handleMessage(m *h248.Message) {
	f := g.frontend
	if g.messageID != m.MID {
		g.setMessageID(m.MID)
		g.sendPendingNotifies()
	}
	for _, t := range m.Transactions {
		switch t.Kind {
		case h248.Request:
			g.handleRequest(m.MID, t)
		case h248.Reply:
			delete(f.pendingNotify, t.ID)
		case h248.Ack:
			f.received.Acknowledge(m.MID, t.Acked)
		case h248.Pending: // the reply follows
		}
	}
}

// sendPendingNotifies sends the releases that could not be sent to the gateway, or were not replied to.
func (g *Gateway) sendPendingNotifies() {
	for _, n := range g.frontend.pendingNotify {
		if n.messageID == g.messageID && g.conn.IsOpen() {
			g.sendNotify(n)
		}
	}
}

// handleRequest carries a transaction out once; a repeat gets the same reply, on whatever connection it arrives.
func (g *Gateway) handleRequest(messageID string, t *h248.Transaction) {
	f := g.frontend
	adds, commands := countCommands(t)
	if adds > 0 && g.conn.State() == eventloop.Closed {
		return // its caller has left; repeated on another connection it is one that has not run
	}
	if adds == 0 && f.host.IsDisconnected() {
		return // no exchange would get a release; without a reply it is repeated to the next process
	}
	entry, isNew := f.received.Begin(messageID, t.ID, f.host.Loop.Now())
	switch {
	case entry == nil:
		tooMany := &h248.Error{Code: h248.InsufficientResources, Text: "too many transactions"}
		g.send(transaction.Frame(f.messageID, &h248.Transaction{Kind: h248.Reply, ID: t.ID, Err: tooMany}))
	case !isNew:
		g.handleRepeat(entry, t)
	case adds == 1 && commands == 1:
		err := g.addCall(messageID, entry, t, onlyCommandAction(t))
		if err != nil {
			failed := &h248.Action{Context: t.Actions[0].Context, Err: err}
			g.reply(entry, &h248.Transaction{ID: t.ID, Actions: []*h248.Action{failed}})
		}
	case adds > 0:
		g.reply(entry, &h248.Transaction{ID: t.ID, Err: &h248.Error{Code: h248.NotImplemented,
			Text: "an Add must be the only command of its transaction"}})
	default:
		g.reply(entry, &h248.Transaction{ID: t.ID, Actions: g.runActions(messageID, t.Actions)})
	}
}

// countCommands returns the number of Adds and of all commands in a transaction.
func countCommands(t *h248.Transaction) (adds, commands int) {
	for _, a := range t.Actions {
		for _, c := range a.Commands {
			commands++
			if c.Name == "Add" {
				adds++
			}
		}
	}
	return adds, commands
}

// onlyCommandAction returns the action that holds the only command of a transaction. Actions without a command may come
// before and after it.
func onlyCommandAction(t *h248.Transaction) *h248.Action {
	i := slices.IndexFunc(t.Actions, func(a *h248.Action) bool { return len(a.Commands) > 0 })
	return t.Actions[i]
}

// handleRepeat replies to a transaction that has come before. Where that still runs, its answer follows the gateway to
// this connection.
func (g *Gateway) handleRepeat(entry *transaction.Entry, t *h248.Transaction) {
	f := g.frontend
	f.host.Counters.RepeatedTransactions++
	if reply := entry.Reply(); reply != nil {
		g.send(reply)
		return
	}
	for _, c := range f.calls.byID {
		if c.entry == entry {
			c.answerTo = g
		}
	}
	g.send(transaction.Frame(f.messageID, &h248.Transaction{Kind: h248.Pending, ID: t.ID}))
}

func (g *Gateway) reply(entry *transaction.Entry, t *h248.Transaction) {
	f := g.frontend
	t.Kind = h248.Reply
	f.received.Complete(entry, transaction.Frame(f.messageID, t), f.host.Loop.Now())
	g.send(entry.Reply())
}

// releaseCall ends a call from the gateway's side. A set-up that is open still has its transaction, which must not be
// left without a reply.
func (f *Frontend) releaseCall(c *gatewayCall, cause int) {
	f.calls.remove(c)
	f.host.Calls.ReleaseByCaller(c.id, cause)
	if c.answerTo != nil {
		c.fail(h248.TemporaryFailure, "given up by the caller")
	}
}

// releaseAllOf ends the calls of a gateway that has forgotten them.
func (f *Frontend) releaseAllOf(messageID string) {
	for _, c := range f.calls.byID {
		if c.messageID == messageID {
			f.releaseCall(c, call.CauseNormal)
		}
	}
}
