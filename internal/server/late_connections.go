package server

import (
	"time"

	"olivedale/internal/frontend"
)

// Times of the connections that come as the process ends.
const (
	// latePollInterval is the time between two looks for connections; after lateQuietLooks in a row without any nobody
	// is there any more. Looks are counted, not time: a process that gets no processor has not looked.
	latePollInterval = 5 * time.Millisecond
	lateIdlePolls    = 12
	// lateAcceptTimeout bounds how long connections are accepted: SIGKILL may be near.
	lateAcceptTimeout = 200 * time.Millisecond
	// lateReadTimeout bounds the wait for the set-ups of connections that were accepted.
	lateReadTimeout = 100 * time.Millisecond
)

// lateConnections is the progress of the state stopping. A set-up that crosses the close of its connection is sent
// again on a new one, which the kernel accepts for as long as there is a listening socket: it would be lost with the
// process. So connections are accepted for a while longer, and their set-ups rejected.
type lateConnections struct {
	acceptUntil time.Duration
	idlePolls   int   // looks in a row without a new connection
	accepted    int64 // connections at the latest look
	isAccepting bool
	readUntil   time.Duration // set once accepting has ended
}

// closeConnections closes the connections of callers and then those to exchanges. What callers have sent is handled
// first: set-ups are rejected, and releases still go to their exchanges. What exchanges have sent is not read: they
// repeat releases that are not confirmed on the connections of the next process. Connections of callers on which a
// set-up may be on its way stay. It runs on the loop outside of an iteration, because each close is one of its own.
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
	s.loop.RunIteration(func() {}) // sets the timer
}

// mayDeliverSetup reports whether part of a message has come on a connection, or its first set-up may be on its way.
func (s *Server) mayDeliverSetup(c frontend.Connection) bool {
	conn := c.Conn()
	return conn.HasPartialMessage() || !conn.HasSentMessage() && conn.Age(s.loop.Now()) < lateReadTimeout
}

// checkStopping ends accepting once no connection has come for a while, and the event loop once all that was accepted has
// its answer. Everything that is still open then is read and answered as the loop closes it.
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
	case late.readUntil == 0: // the queues of the listening sockets are being emptied
	case now >= late.readUntil || !s.hasUnansweredConnections():
		s.lifecycle.state = stateEnded
		close(s.lifecycle.ended)
	}
}

// poll notes the number of connections at a poll, and reports whether to go on accepting.
func (l *lateConnections) poll(now time.Duration, accepted int64) bool {
	l.idlePolls++
	if accepted > l.accepted {
		l.idlePolls = 0
		l.accepted = accepted
	}
	return l.idlePolls < lateIdlePolls && now < l.acceptUntil
}

// hasUnansweredConnections reports whether a connection has not brought a complete message, or has not been sent all answers.
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
