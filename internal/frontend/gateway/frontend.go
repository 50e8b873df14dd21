// Package gateway implements the H.248 frontend. Media gateways add a termination to a new context to set up a call,
// and subtract it to release the call. Their calls go through the same call manager as all others, so the same
// guarantees apply. The package also serves the agent on the admin address. It makes no decisions about calls.
package gateway

import (
	"time"

	"github.com/panjf2000/gnet/v2"

	"olivedale/internal/codec/h248"
	"olivedale/internal/codec/h248/transaction"
	"olivedale/internal/eventloop"
	"olivedale/internal/frontend"
)

const (
	// maxTransactionsShift limits the stored transactions to 1<<maxTransactionsShift per MB of memory.
	maxTransactionsShift = 6
	// maxUnknownReleasesShift limits the releases of unknown calls to 1<<maxUnknownReleasesShift per MB of memory.
	maxUnknownReleasesShift = 4
)

// An Administrator implements the administrative commands, most of which are available on the admin address only.
type Administrator interface {
	// Audit returns the state and the counters of the program; isAdmin selects the extended form for the admin address.
	Audit(isAdmin bool) []*h248.Node
	// AuditNumbering returns the versions of the number table; ok is false if there is no table.
	AuditNumbering() (nodes []*h248.Node, ok bool)
	// AuditOverload returns the state of the shared overload control; ok is false if it is disabled.
	AuditOverload() (nodes []*h248.Node, ok bool)
	// HandleNumberingCommand starts an operator's command on the number table.
	HandleNumberingCommand(c *h248.Command) ([]*h248.Node, *h248.Error)
	// RecordClock records the timestamps of a clock exchange with a peer.
	RecordClock(peer string, stamps [4]int64)
	// BeginShutdown starts a graceful shutdown.
	BeginShutdown()
}

// A Frontend accepts connections from media gateways and from the agent.
type Frontend struct {
	host            *frontend.Host
	admin           Administrator
	messageID       string // of this controller
	gateways        *frontend.Registry[*Gateway]
	byMessageID     map[string]*eventloop.IdleList[*Gateway]
	received        *transaction.Store
	calls           callTable
	identities      identitySource
	transactionIDs  *transaction.IDSequence // of the Notifies
	notifies        notifyTable
	unknownReleases []unknownRelease // in the order of their receipt
}

var _ frontend.Frontend = (*Frontend)(nil)

// New returns a frontend that accepts at most maxGateways connections.
func New(host *frontend.Host, admin Administrator, maxGateways int) *Frontend {
	return &Frontend{
		host:           host,
		admin:          admin,
		messageID:      transaction.MessageID(host.Config.Name),
		gateways:       frontend.NewRegistry[*Gateway](host, maxGateways),
		byMessageID:    make(map[string]*eventloop.IdleList[*Gateway]),
		received:       transaction.NewStore(host.Config.MemoryMB << maxTransactionsShift),
		calls:          newCallTable(),
		identities:     newIdentitySource(host.Config.Name, host.RandomID()),
		transactionIDs: transaction.NewIDSequence(host.RandomID()),
		notifies:       newNotifyTable(),
	}
}

// Gateways returns the open connections.
func (f *Frontend) Gateways() *frontend.Registry[*Gateway] { return f.gateways }

// PendingReleases implements frontend.Frontend. It returns the number of release notifications to which gateways have
// not replied.
func (f *Frontend) PendingReleases() int { return len(f.notifies.byID) }

// Accept accepts a connection; isAdmin tells that it was made to the admin address. It returns false if the limit on
// connections is reached.
func (f *Frontend) Accept(socket gnet.Conn, isAdmin bool) bool {
	if f.gateways.IsFull() {
		f.host.Counters.RejectedFull++
		return false
	}
	f.host.Counters.Accepted++
	g := &Gateway{
		frontend:  f,
		conn:      eventloop.NewConn(socket, f.host.Loop.Now()),
		isAdmin:   isAdmin,
		openCalls: make(map[*gatewayCall]bool),
	}
	g.conn.LimitUnreadOutput(true)
	socket.SetContext(g)
	f.gateways.Add(g, &g.membership)
	return true
}

// HasPendingWork implements frontend.Frontend. It reports whether a gateway has unread replies or there is a release
// notification that was never sent.
func (f *Frontend) HasPendingWork() bool {
	for _, n := range f.notifies.byID {
		if !n.isSent {
			return true
		}
	}
	return f.gateways.HasUnreadOutput()
}

// Connections implements frontend.Frontend.
func (f *Frontend) Connections() []frontend.Connection { return f.gateways.Snapshot() }

// CloseOverdue implements frontend.Frontend. It also drops release notifications that got no reply in time
// or whose gateway did not connect.
func (f *Frontend) CloseOverdue(now time.Duration) {
	f.gateways.CloseOverdue(now)
	f.expireUnknownReleases(now)
	for _, n := range f.notifies.byID {
		if now-n.createdAt > transaction.LongTimer {
			f.notifies.remove(n)
			f.host.Counters.ReleasesDiscarded++
		}
	}
}
