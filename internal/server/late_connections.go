package server

import (
	"time"

	"olivedale/internal/frontend"
)

// Timeouts for connections that arrive while the process ends.
const (
	// latePollInterval is the interval between checks for new connections. Accepting stops after lateIdlePolls
	// consecutive checks without one. Checks are counted instead of time, because a process that is not scheduled has
	// not checked.
	latePollInterval = 5 * time.Millisecond
	lateIdlePolls    = 12
	// lateAcceptTimeout bounds how long connections are accepted, because SIGKILL may follow soon.
	lateAcceptTimeout = 200 * time.Millisecond
	// lateReadTimeout bounds the wait for set-ups on accepted connections.
	lateReadTimeout = 100 * time.Millisecond
)

// lateConnections tracks the progress of the stopping state. A client whose set-up crosses the close of its connection
// sends it again on a new connection. The kernel accepts that connection as long as a listening socket exists, and the
// set-up would be lost when the process exits. Connections are therefore accepted a little longer and their set-ups
// rejected.
type lateConnections struct {
	acceptUntil time.Duration
	idlePolls   int   // consecutive checks without a new connection
	accepted    int64 // number of accepted connections at the latest check
	isAccepting bool
	readUntil   time.Duration // 0 until accepting has ended
}

// closeConnections closes the connections of callers and then those to exchanges. Pending input of callers is processed
// first: set-ups are rejected, and releases are forwarded to their exchanges. Pending input of exchanges is not read,
// because they repeat unconfirmed releases on the connections of the next process. Caller connections on which a set-up
// may be in flight stay open. It runs on the loop outside of an iteration, because each close is its own iteration.
func (s *Server) closeConnections() {
	for _, f := range s.frontends.all() {
		for _, c := range f.Connections() {
			if !s.mayDeliverSetup(c) {
				s.loop.CloseSocket(c.Conn().Socket())
			}
		}
	}
	s.backends.Close()
	now := s.loop.Now()
	s.lifecycle.late = lateConnections{
		acceptUntil: now + lateAcceptTimeout,
		accepted:    s.listeners.accepted(),
		isAccepting: true,
	}
	s.lifecycle.checkAt = now
	s.loop.RunIteration(func() {}) // an iteration sets the timer
}

// mayDeliverSetup reports whether a connection has received part of a message or its first set-up may be in flight.
func (s *Server) mayDeliverSetup(c frontend.Connection) bool {
	conn := c.Conn()
	return conn.HasPartialMessage() || !conn.HasSentMessage() && conn.Age(s.loop.Now()) < lateReadTimeout
}

// checkStopping stops accepting once no new connection has arrived for a while, and ends the event loop once every
// accepted connection has been answered. Connections that are still open then are read and answered as the loop closes
// them.
func (s *Server) checkStopping(now time.Duration) {
	late := &s.lifecycle.late
	s.lifecycle.checkAt = now + latePollInterval
	switch {
	case s.lifecycle.state == stateEnded || late.acceptUntil == 0:
	case late.isAccepting:
		if late.poll(now, s.listeners.accepted()) {
			return
		}
		late.isAccepting = false
		s.listeners.close()
		go func() {
			s.listeners.wait()
			s.loop.ExecuteIteration(func() { late.readUntil = s.loop.Now() + lateReadTimeout })
		}()
	case late.readUntil == 0: // the queues of the listening sockets are still being drained
	case now >= late.readUntil || !s.hasUnansweredConnections():
		s.lifecycle.state = stateEnded
		close(s.lifecycle.ended)
	}
}

// poll records the number of accepted connections and reports whether to continue accepting.
func (l *lateConnections) poll(now time.Duration, accepted int64) bool {
	l.idlePolls++
	if accepted > l.accepted {
		l.idlePolls = 0
		l.accepted = accepted
	}
	return l.idlePolls < lateIdlePolls && now < l.acceptUntil
}

// hasUnansweredConnections reports whether a connection may still deliver a set-up or has output that its peer has
// not read yet.
func (s *Server) hasUnansweredConnections() bool {
	for _, f := range s.frontends.all() {
		for _, c := range f.Connections() {
			if s.mayDeliverSetup(c) || c.Conn().HasUnreadOutput() {
				return true
			}
		}
	}
	return false
}
