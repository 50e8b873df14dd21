package gateway

import (
	"errors"
	"olivedale/internal/codec/h248"
	"olivedale/internal/codec/h248/transaction"
	"olivedale/internal/eventloop"
	"olivedale/internal/frontend"
	"slices"
)

// maxMessageIDs is the number of message ids that a connection may use, one after the other. Each is looked up among
// the releases that wait for a gateway.
const maxMessageIDs = 16

var errTooManyMessageIDs = errors.New("too many message identifiers on a connection")

// A Gateway is one connection from a media gateway, or from the agent on the admin address.
type Gateway struct {
	frontend         *Frontend
	conn             *eventloop.Conn
	framer           h248.Framer
	messageID        string // of the latest message; "" before the first message
	isAdmin          bool
	membership       frontend.Membership
	messageIDElement eventloop.Element     // position among the connections with the same message id
	messageIDs       int                   // number of changes of the message id
	openCalls        map[*gatewayCall]bool // calls whose set-up is answered on this connection
}

var _ frontend.Connection = (*Gateway)(nil)

// Conn implements frontend.Connection.
func (g *Gateway) Conn() *eventloop.Conn { return g.conn }

// HasOpenSetup implements frontend.Connection.
func (g *Gateway) HasOpenSetup() bool { return len(g.openCalls) > 0 }

func (g *Gateway) send(text []byte) {
	g.frontend.host.Loop.Write(g.conn, func(b []byte) []byte { return append(b, text...) })
}

func (g *Gateway) sendNotify(n *pendingNotify) {
	g.send(n.frame(g.frontend.messageID))
	n.isSent = true
}

// HandleData implements frontend.Connection.
func (g *Gateway) HandleData(data []byte) {
	f := g.frontend
	f.gateways.Touch(&g.membership)
	if g.messageIDElement != nil {
		f.byMessageID[g.messageID].Touch(g.messageIDElement)
	}
	isComplete := false
	err := g.framer.Feed(data, func(text []byte) bool {
		isComplete = true
		m, parseErr := h248.Parse(text)
		if parseErr != nil { // no command of the message has been executed
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

// rejectMessage replies to a message that cannot be parsed with an error and closes the connection.
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

// handleRemainingData handles data that was received before the connection broke. Set-ups are ignored because their
// caller can no longer be answered.
func (g *Gateway) handleRemainingData(data []byte) {
	_ = g.framer.Feed(data, func(text []byte) bool {
		m, parseErr := h248.Parse(text)
		if parseErr != nil {
			return false
		}
		g.handleMessage(m)
		return true
	})
}

// HandleClose implements frontend.Connection. If a write failed, it first processes the data received before.
func (g *Gateway) HandleClose(err error) {
	g.conn.MarkClosed()
	if eventloop.IsFailedWrite(err) {
		eventloop.DrainReadBuffer(g.conn.Socket(), g.handleRemainingData)
	}
	g.remove()
}

// remove removes the connection from the frontend's lists and abandons its open set-ups. Their transactions are
// completed with an error reply, which a repeat on another connection will get.
func (g *Gateway) remove() {
	f := g.frontend
	f.gateways.Remove(&g.membership)
	g.setMessageID("")
	for c := range g.openCalls {
		f.calls.remove(c)
		f.host.Calls.CallerDisconnected(c)
		c.fail(h248.TemporaryFailure, "given up: the connection closed")
	}
}

// setMessageID moves the connection to the list of connections with the given message id; "" removes it from its list.
func (g *Gateway) setMessageID(messageID string) {
	f := g.frontend
	if list := f.byMessageID[g.messageID]; list != nil {
		list.Remove(&g.messageIDElement)
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
	g.messageIDElement = f.byMessageID[messageID].Add(g)
}

func (g *Gateway) handleMessage(m *h248.Message) {
	f := g.frontend
	if g.messageID != m.MID {
		g.messageIDs++
		if g.messageIDs > maxMessageIDs {
			g.closeMalformed(errTooManyMessageIDs)
			return
		}
		g.setMessageID(m.MID)
		g.sendPendingNotifies()
		f.notifyConnected(m.MID)
	}
	for _, t := range m.Transactions {
		switch t.Kind {
		case h248.Request:
			g.handleRequest(m.MID, t)
		case h248.Reply:
			f.handleReply(m.MID, t)
		case h248.Ack:
			f.received.Acknowledge(m.MID, t.Acked)
		case h248.Pending: // the reply will follow
		}
	}
}

// sendPendingNotifies sends the release notifications to which the gateway has not replied.
func (g *Gateway) sendPendingNotifies() {
	for n := range g.frontend.notifies.ofGateway(g.messageID) {
		if g.conn.IsOpen() {
			g.sendNotify(n)
		}
	}
}

// handleRequest executes a transaction at most once. A repeat gets the same reply, on whichever connection it arrives.
func (g *Gateway) handleRequest(messageID string, t *h248.Transaction) {
	f := g.frontend
	adds, commands := countCommands(t)
	hasLeft := adds > 0 && (g.conn.State() == eventloop.Closed || g.conn.HasPeerClosed())
	if hasLeft {
		return // its caller has disconnected; not stored, so that a repeat on another connection is executed
	}
	if adds == 0 && f.host.IsDisconnected() {
		return // a release cannot be forwarded; without a reply the gateway repeats it to the next process
	}
	entry, isNew := f.received.Begin(messageID, t, f.host.Loop.Now())
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

// onlyCommandAction returns the action that contains the only command of a transaction. There may be actions without
// commands before and after it.
func onlyCommandAction(t *h248.Transaction) *h248.Action {
	i := slices.IndexFunc(t.Actions, func(a *h248.Action) bool { return len(a.Commands) > 0 })
	return t.Actions[i]
}

// handleRepeat replies to a transaction that was received before. If it is still running, its reply will be sent on
// this connection.
func (g *Gateway) handleRepeat(entry *transaction.Entry, t *h248.Transaction) {
	f := g.frontend
	f.host.Counters.RepeatedTransactions++
	if reply := entry.Reply(); reply != nil {
		g.send(reply)
		return
	}
	if c := f.calls.openByEntry[entry]; c != nil {
		c.setReplyTo(g)
	}
	g.send(transaction.Frame(f.messageID, &h248.Transaction{Kind: h248.Pending, ID: t.ID}))
}

func (g *Gateway) reply(entry *transaction.Entry, t *h248.Transaction) {
	f := g.frontend
	t.Kind = h248.Reply
	f.received.Complete(entry, transaction.Frame(f.messageID, t), f.host.Loop.Now())
	g.send(entry.Reply())
}
