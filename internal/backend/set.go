// Package backend manages the connections to the exchanges, which speak SIP or H.248. It handles dialling, queued
// set-ups, open attempts, unconfirmed releases and the detection of unresponsive connections. It does not route calls
// and does not communicate with callers.
package backend

import (
	"iter"
	"maps"
	"net"
	"time"

	"olivedale/internal/admission"
	"olivedale/internal/call"
	"olivedale/internal/codec/h248/transaction"
	"olivedale/internal/config"
	"olivedale/internal/eventloop"
)

// A Dialer opens a connection to an exchange. It is called outside the event loop and may block.
type Dialer func(address string, timeout time.Duration) (net.Conn, error)

// DialTCP is the Dialer for TCP.
func DialTCP(address string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", address, timeout)
}

// Counters counts events on the connections to all exchanges.
type Counters struct {
	Invites           int // set-ups sent
	UnencodableSetups int // set-ups that the exchange's protocol cannot encode
	Dials             int
	DialsFailed       int
	Probes            int // connections opened to check whether an exchange is reachable
	ProbesFailed      int
	ExchangesLost     int // exchanges that were silent for so long that their calls were ended
	ConnectionsLost   int
	Strays            int // messages that match nothing open, and H.248 requests that were refused for want of room
	RepeatedRequests  int // transactions repeated by exchanges
	CallsLost         int // established calls that ended without a release by the exchange
}

// Options configures a Set.
type Options struct {
	Loop *eventloop.Loop
	// Name is the name of the controller. Its H.248 message identifier is derived from it.
	Name string
	// MemoryMB is the memory available to the process in MB. The sizes of tables are derived from it.
	MemoryMB int
	// DialTimeout limits each dial. The response timeouts are multiples of it.
	DialTimeout time.Duration
	// MaxAttempts is the maximum number of attempts per call.
	MaxAttempts int
	// MaxProbes limits the connections to exchanges beyond one per exchange.
	MaxProbes int
	// Dial opens connections; if nil, DialTCP is used.
	Dial Dialer
	// TransactionIDs numbers the transactions sent to exchanges that speak H.248.
	TransactionIDs *transaction.IDSequence
	// ReportMalformed is called for input that cannot be parsed.
	ReportMalformed func(source string, err error)
	// ReportStray is called for replies that do not belong to the transaction whose id they have.
	ReportStray func(source string, err error)
}

// A Set holds the connections to all known exchanges, by the exchange's id. It implements call.Backends.
type Set struct {
	Counters Counters

	loop            *eventloop.Loop
	calls           *call.Manager
	frontends       []call.Frontend
	messageID       string
	memoryMB        int
	dialTimeout     time.Duration
	dial            Dialer
	transactionIDs  *transaction.IDSequence
	reportMalformed func(source string, err error)
	reportStray     func(source string, err error)
	conns           map[string]*Conn
	maxAttempts     int // of a call
	maxProbes       int
	unknownReleases unknownReleaseLog
	openProbes      int // probes of all exchanges that are being dialled or are open
	isClosed        bool
}

var _ call.Backends = (*Set)(nil)

// NewSet returns a set without exchanges. Attach must be called before it is used.
func NewSet(o Options) *Set {
	if o.Dial == nil {
		o.Dial = DialTCP
	}
	return &Set{
		loop:            o.Loop,
		messageID:       transaction.MessageID(o.Name),
		memoryMB:        o.MemoryMB,
		dialTimeout:     o.DialTimeout,
		dial:            o.Dial,
		transactionIDs:  o.TransactionIDs,
		reportMalformed: o.ReportMalformed,
		reportStray:     o.ReportStray,
		maxAttempts:     o.MaxAttempts,
		maxProbes:       o.MaxProbes,
		conns:           make(map[string]*Conn),
		unknownReleases: newUnknownReleaseLog(o.MemoryMB << maxUnknownReleasesShift),
	}
}

// Attach connects the set to the call manager and to the frontends that are notified of releases of unknown calls.
func (s *Set) Attach(calls *call.Manager, frontends ...call.Frontend) {
	s.calls = calls
	s.frontends = frontends
}

// Get returns the connection to an exchange, or nil if the exchange is not known.
func (s *Set) Get(id string) *Conn { return s.conns[id] }

// Len returns the number of known exchanges.
func (s *Set) Len() int { return len(s.conns) }

// All iterates over the known exchanges in unspecified order.
func (s *Set) All() iter.Seq[*Conn] { return maps.Values(s.conns) }

// AddEndpoint adds an exchange that was found by the discovery service and speaks SIP. It does not dial.
func (s *Set) AddEndpoint(e config.Endpoint) *Conn {
	c := s.newConn(e.ID, e.Address, e.Pool)
	c.protocol = newSIP(c)
	c.isDraining = e.Phase == config.PhaseTerminating
	c.StartedAt = startTime(e)
	s.conns[e.ID] = c
	return c
}

// AddH248Server adds an exchange from the operator's file that speaks H.248. It does not dial. The id must not be that
// of an endpoint.
func (s *Set) AddH248Server(server config.H248Server) {
	c := s.newConn(server.ID, server.Address, server.Pool)
	c.protocol = newH248(c)
	c.isConfigured = true
	s.conns[server.ID] = c
}

// IsConfigured reports whether an exchange is listed in the operator's file. The discovery service must not change it.
func (s *Set) IsConfigured(id string) bool {
	c := s.conns[id]
	return c != nil && c.isConfigured
}

// startTime returns when an endpoint's process started, in Unix time; 0 if unknown.
func startTime(e config.Endpoint) time.Duration {
	return time.Duration(e.Started) * time.Millisecond
}

// UpdateEndpoint applies an endpoint update from the discovery service.
func (s *Set) UpdateEndpoint(e config.Endpoint) {
	c := s.conns[e.ID]
	switch {
	case e.Phase == config.PhaseGone:
		if c != nil {
			c.remove()
			delete(s.conns, e.ID)
		}
	case c == nil:
		s.AddEndpoint(e).Dial()
	default:
		c.update(e)
	}
}

// Dial dials all exchanges that are not connected.
func (s *Set) Dial() {
	for _, c := range s.conns {
		c.Dial()
	}
}

// Close permanently closes the connections to all exchanges. Received data that was not processed yet is discarded,
// which is safe because exchanges repeat unconfirmed releases on the next connection. Close must be called outside an
// iteration of the event loop.
func (s *Set) Close() {
	s.isClosed = true
	for _, c := range s.conns {
		c.closeSockets()
	}
}

// IsClosed reports whether Close has been called.
func (s *Set) IsClosed() bool { return s.isClosed }

// CheckResponsiveness closes all connections that are unresponsive at the given time.
func (s *Set) CheckResponsiveness(now time.Duration) {
	for _, c := range s.conns {
		c.CheckResponsiveness(now)
	}
}

// Tick calls Conn.Tick for every exchange.
func (s *Set) Tick(now time.Duration) {
	for _, c := range s.conns {
		c.Tick(now)
	}
}

// HasPendingWork reports whether any exchange has pending work that only this process can finish.
func (s *Set) HasPendingWork() bool {
	for _, c := range s.conns {
		if c.hasPendingWork() {
			return true
		}
	}
	return false
}

// Invite implements call.Backends.
func (s *Set) Invite(server string, setup call.Setup) {
	if c := s.conns[server]; c != nil {
		c.invite(setup)
		return
	}
	s.endAttempt(server, setup.ID, setup.Attempt, call.NotSent)
}

// Cancel implements call.Backends.
func (s *Set) Cancel(server, id string, attempt int) (unsent bool) {
	c := s.conns[server]
	return c != nil && c.Cancel(id, attempt)
}

// Release implements call.Backends.
func (s *Set) Release(server, id string, attempt, cause int) {
	if c := s.conns[server]; c != nil {
		c.release(id, pendingRelease{attempt: attempt, cause: cause})
	}
}

// ReleaseEverywhere implements call.Backends.
func (s *Set) ReleaseEverywhere(id string, cause int) {
	s.unknownReleases.add(unknownRelease{id: id, cause: cause, requestedAt: s.loop.Now()})
	for _, c := range s.conns {
		c.sendUnknownReleases(1)
	}
}

// WaitingReleases returns the number of releases of known calls that wait for their exchange to be connected. Others
// have been sent and expire.
func (s *Set) WaitingReleases() (waiting int) {
	for _, c := range s.conns {
		if c.conn == nil {
			waiting += len(c.releases)
		}
	}
	return waiting
}

// endAttempt reports the end of an attempt to the call manager. It defers the report because the manager may be the
// caller.
func (s *Set) endAttempt(server, id string, attempt int, end call.AttemptEnd) {
	s.loop.Defer(func() { s.calls.AttemptEnded(server, id, attempt, end) })
}

// setServerState forwards a state change reported by an exchange to the call manager.
func (s *Set) setServerState(c *Conn, state admission.ServerState) {
	server := admission.Server{ID: c.id, Pool: c.pool, State: state}
	if state == admission.Active {
		server.Started = s.loop.Now()
	}
	s.calls.UpdateServers([]admission.Server{server}, false)
}
