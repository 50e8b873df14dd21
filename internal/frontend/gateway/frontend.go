// Package gateway is the frontend of H.248: media gateways add a termination to a new context to set a call up, and
// subtract it to release the call. Their calls go through the same manager as all others and so keep the same rules.
// The package also serves the agent on the admin address. It never decides on a call.
package gateway

import (
	"strconv"
	"time"

	"github.com/panjf2000/gnet/v2"

	"olivedale/internal/call"
	"olivedale/internal/codec/h248"
	"olivedale/internal/codec/h248/transaction"
	"olivedale/internal/eventloop"
	"olivedale/internal/frontend"
)

const (
	// maxTransactionsShift bounds the transactions that are remembered: 1<<maxTransactionsShift for each MB of memory.
	maxTransactionsShift = 6
	// maxNotifiesShift bounds the releases that are not replied to: 1<<maxNotifiesShift for each MB of memory.
	maxNotifiesShift = 4
)

// An Administrator serves what the admin address offers beside calls.
type Administrator interface {
	// Audit returns the state and the counters of the program; isAdmin: for the admin address.
	Audit(isAdmin bool) []*h248.Node
	// AuditNumbering returns the versions of the table of numbers; ok is false where there is none.
	AuditNumbering() (nodes []*h248.Node, ok bool)
	// AuditOverload returns the state of the shared overload control; ok is false where it is off.
	AuditOverload() (nodes []*h248.Node, ok bool)
	// OrderNumbering begins an operator's order on the table of numbers.
	OrderNumbering(c *h248.Command) ([]*h248.Node, *h248.Error)
	// RecordClock records the time stamps of an exchange of clocks with a peer.
	RecordClock(peer string, stamps [4]int64)
	// BeginShutdown begins an orderly shutdown.
	BeginShutdown()
}

// A Frontend accepts media gateways and the agent.
type Frontend struct {
	host          *frontend.Host
	admin         Administrator
	messageID     string // of this controller
	gateways      *frontend.Registry[*Gateway]
	byMessageID   map[string]*eventloop.IdleList[*Gateway]
	received      *transaction.Store
	calls         callTable
	lastContext   uint32
	lastNotify    uint32
	pendingNotify map[uint32]*pendingNotify // by the id of the transaction
}

var _ frontend.Frontend = (*Frontend)(nil)

// A pendingNotify is a release that a gateway has not replied to.
type pendingNotify struct {
	messageID string
	text      []byte
	createdAt time.Duration
	isSent    bool // on any connection
}

// New returns a frontend of at most maxGateways connections.
func New(host *frontend.Host, admin Administrator, maxGateways int) *Frontend {
	return &Frontend{
		host:          host,
		admin:         admin,
		messageID:     transaction.MessageID(host.Config.Name),
		gateways:      frontend.NewRegistry[*Gateway](host, maxGateways),
		byMessageID:   make(map[string]*eventloop.IdleList[*Gateway]),
		received:      transaction.NewStore(host.Config.MemoryMB << maxTransactionsShift),
		calls:         newCallTable(),
		pendingNotify: make(map[uint32]*pendingNotify),
	}
}

// Gateways returns the open connections.
func (f *Frontend) Gateways() *frontend.Registry[*Gateway] { return f.gateways }

// PendingNotifies returns the number of releases that gateways have not replied to.
func (f *Frontend) PendingNotifies() int { return len(f.pendingNotify) }

// Accept takes a connection; isAdmin: on the admin address. False: there is no room.
func (f *Frontend) Accept(socket gnet.Conn, isAdmin bool) bool {
	if f.gateways.IsFull() {
		f.host.Counters.RejectedFull++
		return false
	}
	f.host.Counters.Accepted++
	g := &Gateway{
		frontend: f,
		conn:     eventloop.NewConn(socket, f.host.Loop.Now()),
		isAdmin:  isAdmin,
	}
	g.conn.LimitUnreadOutput(true)
	socket.SetContext(g)
	f.gateways.Add(g, &g.membership)
	return true
}

// HasPendingWork implements frontend.Frontend: it reports whether a gateway waits for a reply that is not written out,
// or for a release that has not been sent.
func (f *Frontend) HasPendingWork() bool {
	for _, n := range f.pendingNotify {
		if !n.isSent {
			return true
		}
	}
	return f.gateways.HasUnreadOutput()
}

// Connections implements frontend.Frontend.
func (f *Frontend) Connections() []frontend.Connection { return f.gateways.Snapshot() }

// NotifyRelease implements call.Frontend: it notifies the gateway of the call's end, on any of its connections, and
// again on the next until the gateway replies. Gateways learn the end of a call that this process never knew by an
// audit.
func (f *Frontend) NotifyRelease(_ call.Client, id string, cause int) {
	c := f.calls.byID[id]
	if c == nil {
		return
	}
	f.calls.remove(c)
	n := f.newNotify(c, cause)
	if len(f.pendingNotify) < f.host.Config.MemoryMB<<maxNotifiesShift {
		f.pendingNotify[f.lastNotify] = n
	} else {
		f.host.Counters.ReleasesDiscarded++ // bounds the memory where gateways confirm nothing
	}
	f.host.Counters.ReleasesSent++
	connections := f.byMessageID[c.messageID]
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

// newNotify returns the transaction that notifies a gateway of a call's end.
func (f *Frontend) newNotify(c *gatewayCall, cause int) *pendingNotify {
	f.lastNotify++
	command := &h248.Command{
		Name:        "Notify",
		Termination: c.termination,
		Descriptors: []*h248.Node{transaction.ReleaseEvent(cause)},
	}
	t := &h248.Transaction{
		Kind:    h248.Request,
		ID:      f.lastNotify,
		Actions: []*h248.Action{{Context: c.context, Commands: []*h248.Command{command}}},
	}
	return &pendingNotify{
		messageID: c.messageID,
		text:      transaction.Frame(f.messageID, t),
		createdAt: f.host.Loop.Now(),
	}
}

// CloseOverdue implements frontend.Frontend. It also drops releases that gateways have not replied to in time.
func (f *Frontend) CloseOverdue(now time.Duration) {
	f.gateways.CloseOverdue(now)
	for id, n := range f.pendingNotify {
		if now-n.createdAt > transaction.LongTimer {
			delete(f.pendingNotify, id)
			f.host.Counters.ReleasesDiscarded++
		}
	}
}

// newContext returns the name of a new context.
func (f *Frontend) newContext() string {
	f.lastContext++
	return strconv.FormatUint(uint64(f.lastContext), 10)
}
