// Package backend owns the connections to the exchanges, which speak SIP or H.248: dialling, set-ups that wait for a
// connection, open attempts, releases that are not confirmed, and the detection of unresponsive connections. It never
// decides where a call goes and never speaks to callers.
package backend

import (
	"fmt"
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

// A Dialer opens a connection to an exchange, away from the event loop.
type Dialer func(address string, timeout time.Duration) (net.Conn, error)

// DialTCP is the Dialer for TCP.
func DialTCP(address string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", address, timeout)
}

// Counters count what happens on the connections to all exchanges.
type Counters struct {
	Invites           int // set-ups that were sent
	Unsayable         int // set-ups that the exchange's protocol cannot express
	Dials             int
	DialsFailed       int
	Probes            int // connections that were asked for to find whether an exchange is there
	ProbesFailed      int
	ExchangesLost     int // exchanges that showed no life for so long that their calls were over
	ConnectionsLost   int
	Strays            int // answers to nothing that is open
	RepeatedRequests  int // transactions of exchanges that came again
	CallsLost         int // established calls that ended without a release by their exchange
	ReleasesDiscarded int // releases for which there was neither a connection nor memory
}

// Options configure a Set.
type Options struct {
	Loop *eventloop.Loop
	// Name is the controller's, from which its H.248 message identifier is made.
	Name string
	// MemoryMB is the memory of the process, by which tables are bounded.
	MemoryMB int
	// DialTimeout bounds each dial; the timeouts of unresponsive connections are multiples of it.
	DialTimeout time.Duration
	// MaxProbes bounds the connections to exchanges beyond one for each.
	MaxProbes int
	// Dial opens connections; nil: DialTCP.
	Dial Dialer
	// ReportMalformed is called for input that cannot be read.
	ReportMalformed func(source string, err error)
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
	reportMalformed func(source string, err error)
	conns           map[string]*Conn
	maxProbes       int
	openProbes      int // probes of all exchanges that are dialled or open
	isClosed        bool
}

var _ call.Backends = (*Set)(nil)

// NewSet returns a set without exchanges. Attach completes it.
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
		reportMalformed: o.ReportMalformed,
		maxProbes:       o.MaxProbes,
		conns:           make(map[string]*Conn),
	}
}

// Attach binds the set to the manager of calls and to the frontends that releases of unknown calls go to.
func (s *Set) Attach(calls *call.Manager, frontends ...call.Frontend) {
	s.calls = calls
	s.frontends = frontends
}

// Get returns the connection to an exchange; nil if the exchange is not known.
func (s *Set) Get(id string) *Conn { return s.conns[id] }

// Len returns the number of known exchanges.
func (s *Set) Len() int { return len(s.conns) }

// All iterates over the known exchanges, in no order.
func (s *Set) All() iter.Seq[*Conn] { return maps.Values(s.conns) }

// AddEndpoint adds an exchange of the discovery service's list, which speaks SIP. It is not dialled yet.
func (s *Set) AddEndpoint(e config.Endpoint) *Conn {
	c := s.newConn(e.ID, e.Address, e.Pool)
	c.protocol = newSIP(c)
	c.isDraining = e.Phase == config.PhaseTerminating
	c.StartedAt = startTime(e)
	s.conns[e.ID] = c
	return c
}

// AddH248Server adds a configured exchange that speaks H.248. It is not dialled yet.
func (s *Set) AddH248Server(server config.H248Server) error {
	if s.conns[server.ID] != nil {
		return fmt.Errorf("the H.248 server %s is on the name service's list as well", server.ID)
	}
	c := s.newConn(server.ID, server.Address, server.Pool)
	c.protocol = newH248(c)
	s.conns[server.ID] = c
	return nil
}

// startTime is when an endpoint's process started, in Unix time; 0: not known.
func startTime(e config.Endpoint) time.Duration {
	return time.Duration(e.Started) * time.Millisecond
}

// UpdateEndpoint applies an endpoint update of the discovery service.
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

// Close closes the connections to all exchanges for good. What they have sent and nobody has read is not read:
// exchanges repeat releases that are not confirmed on the next connection. It is called outside of an iteration of the
// loop.
func (s *Set) Close() {
	s.isClosed = true
	for _, c := range s.conns {
		c.closeSockets()
	}
}

// IsClosed reports whether Close has been called.
func (s *Set) IsClosed() bool { return s.isClosed }

// CheckResponsiveness closes the connections that are unresponsive at a time.
func (s *Set) CheckResponsiveness(now time.Duration) {
	for _, c := range s.conns {
		c.CheckResponsiveness(now)
	}
}

// Tick repeats dials that are due and drops what has expired.
func (s *Set) Tick(now time.Duration) {
	for _, c := range s.conns {
		c.Tick(now)
	}
}

// HasPendingWork reports whether an exchange waits for something that this process alone can send.
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
	for _, c := range s.conns {
		c.release(id, pendingRelease{cause: cause, isUnknownCall: true})
	}
}

// endAttempt reports the end of an attempt to the manager of calls, but not from within a call of the manager.
func (s *Set) endAttempt(server, id string, attempt int, end call.AttemptEnd) {
	s.loop.Defer(func() { s.calls.AttemptEnded(server, id, attempt, end) })
}

// setServerState passes on what an exchange itself says of its state.
func (s *Set) setServerState(c *Conn, state admission.ServerState) {
	server := admission.Server{ID: c.id, Pool: c.pool, State: state}
	if state == admission.Active {
		server.Started = s.loop.Now()
	}
	s.calls.UpdateServers([]admission.Server{server}, false)
}
