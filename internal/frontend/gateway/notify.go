package gateway

import (
	"errors"
	"iter"
	"maps"
	"slices"
	"time"

	"olivedale/internal/call"
	"olivedale/internal/codec/h248"
	"olivedale/internal/codec/h248/transaction"
	"olivedale/internal/frontend"
)

// errForeignReply reports a reply of a gateway to a transaction that was sent to another one.
var errForeignReply = errors.New("the reply is not from the gateway that its transaction was sent to")

// notifyCommand is the name of the command that reports a release.
const notifyCommand = "Notify"

// A pendingNotify is the notification of a release to which the gateway has not replied.
type pendingNotify struct {
	transactionID uint32
	messageID     string
	context       contextID
	termination   string
	cause         int
	createdAt     time.Duration
	isSent        bool // on any connection
}

// A notifyTable holds the notifications of all gateways.
type notifyTable struct {
	byID      map[uint32]*pendingNotify // by transaction id
	byGateway map[string]map[*pendingNotify]bool
}

func newNotifyTable() notifyTable {
	return notifyTable{
		byID:      make(map[uint32]*pendingNotify),
		byGateway: make(map[string]map[*pendingNotify]bool),
	}
}

func (t *notifyTable) add(n *pendingNotify) {
	t.byID[n.transactionID] = n
	if t.byGateway[n.messageID] == nil {
		t.byGateway[n.messageID] = make(map[*pendingNotify]bool)
	}
	t.byGateway[n.messageID][n] = true
}

func (t *notifyTable) remove(n *pendingNotify) {
	delete(t.byID, n.transactionID)
	delete(t.byGateway[n.messageID], n)
	if len(t.byGateway[n.messageID]) == 0 {
		delete(t.byGateway, n.messageID)
	}
}

// ofGateway iterates over the notifications of a gateway.
func (t *notifyTable) ofGateway(messageID string) iter.Seq[*pendingNotify] {
	return maps.Keys(t.byGateway[messageID])
}

// checkReply returns an error if a reply is not the answer of the notified gateway.
func (n *pendingNotify) checkReply(messageID string, t *h248.Transaction) error {
	if n.messageID != messageID {
		return errForeignReply
	}
	return transaction.CheckReply(t, notifyCommand, n.termination)
}

// An unknownRelease is the release of a call that this process does not know and that belongs to none of the connected
// gateways.
type unknownRelease struct {
	callID     string
	cause      int
	receivedAt time.Duration
}

// NotifyRelease implements call.Frontend. It notifies the gateway of the release on any of its connections, and again
// on each new connection until the gateway replies.
func (f *Frontend) NotifyRelease(_ call.Client, id string, cause int) {
	c := f.calls.byID[id]
	if c == nil {
		f.notifyUnknownRelease(unknownRelease{callID: id, cause: cause, receivedAt: f.host.Loop.Now()})
		return
	}
	f.calls.remove(c)
	f.notify(c.messageID, c.context, c.termination, cause)
}

// notifyUnknownRelease notifies the gateway of a call that an earlier process established. If the gateway is not
// connected, it is notified when it connects.
func (f *Frontend) notifyUnknownRelease(r unknownRelease) {
	for messageID := range f.byMessageID {
		if f.notifyIfOwner(messageID, r) {
			return
		}
	}
	if len(f.unknownReleases) >= f.host.Config.MemoryMB<<maxUnknownReleasesShift {
		f.unknownReleases = f.unknownReleases[1:] // most are releases of calls of other frontends
	}
	f.unknownReleases = append(f.unknownReleases, r)
}

// notifyIfOwner notifies a gateway of a release if the call is one of that gateway. The termination is not known any
// more, so the Notify names all terminations of the context.
func (f *Frontend) notifyIfOwner(messageID string, r unknownRelease) bool {
	context, isOwner := f.identities.contextOf(messageID, r.callID)
	if isOwner {
		f.notify(messageID, context, transaction.AllTerminations, r.cause)
	}
	return isOwner
}

// notifyConnected notifies a gateway that has connected of the releases that waited for it.
func (f *Frontend) notifyConnected(messageID string) {
	f.unknownReleases = slices.DeleteFunc(f.unknownReleases, func(r unknownRelease) bool {
		return f.notifyIfOwner(messageID, r)
	})
}

// expireUnknownReleases drops the releases whose gateways did not connect in time.
func (f *Frontend) expireUnknownReleases(now time.Duration) {
	f.unknownReleases = slices.DeleteFunc(f.unknownReleases, func(r unknownRelease) bool {
		return now-r.receivedAt > transaction.LongTimer
	})
}

// notify notifies a gateway of the release of a call.
func (f *Frontend) notify(messageID string, context contextID, termination string, cause int) {
	n := &pendingNotify{
		transactionID: f.transactionIDs.Next(),
		messageID:     messageID,
		context:       context,
		termination:   termination,
		cause:         cause,
		createdAt:     f.host.Loop.Now(),
	}
	if len(f.notifies.byID) < f.host.Config.MemoryMB<<frontend.MaxPendingReleasesShift {
		f.notifies.add(n)
	} else {
		f.host.Counters.ReleasesDiscarded++ // limits the memory if gateways do not reply
	}
	f.host.Counters.ReleasesSent++
	connections := f.byMessageID[messageID]
	if connections == nil {
		return
	}
	for g := range connections.Latest() {
		if g.conn.IsOpen() {
			g.sendNotify(n)
			return
		}
	}
}

// frame returns the framed transaction that notifies the gateway.
func (n *pendingNotify) frame(messageID string) []byte {
	command := &h248.Command{
		Name:        notifyCommand,
		Termination: n.termination,
		Descriptors: []*h248.Node{transaction.ReleaseEvent(n.cause)},
	}
	return transaction.Frame(messageID, &h248.Transaction{
		Kind:    h248.Request,
		ID:      n.transactionID,
		Actions: []*h248.Action{{Context: n.context.String(), Commands: []*h248.Command{command}}},
	})
}

// handleReply removes the notification that a gateway has confirmed.
func (f *Frontend) handleReply(messageID string, t *h248.Transaction) {
	n := f.notifies.byID[t.ID]
	if n == nil {
		return // duplicate
	}
	if err := n.checkReply(messageID, t); err != nil {
		f.host.Counters.StrayReplies++
		f.host.ReportStray("gateway "+messageID, err)
		return
	}
	f.notifies.remove(n)
}
