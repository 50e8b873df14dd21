package server

import (
	"fmt"
	"net"
	"sync"
	"time"

	"olivedale/internal/codec/sip"
)

// A sipSession is a connection to a simulated exchange that speaks SIP.
type sipSession struct {
	exchange   *simulatedExchange
	conn       net.Conn
	writeMutex sync.Mutex
	isMute     bool
	openCalls  map[string]bool // open set-ups on this connection, which end with it
}

// serveSIP serves a connection until it is closed.
func (s *simulatedExchange) serveSIP(conn net.Conn) {
	session := &sipSession{exchange: s, conn: conn, openCalls: make(map[string]bool)}
	defer session.end()
	var reader sip.Reader
	buffer := make([]byte, 4096)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		_ = reader.Feed(buffer[:n], func(m *sip.Message) bool {
			session.handleMessage(m)
			return true
		})
	}
}

// end ends the open set-ups when the connection is closed.
func (s *sipSession) end() {
	for id := range s.openCalls {
		s.exchange.observations.endAttempt(id, true)
	}
}

func (s *sipSession) send(b []byte) {
	s.writeMutex.Lock()
	defer s.writeMutex.Unlock()
	_, _ = s.conn.Write(b)
}

func (s *sipSession) respond(m *sip.Message, status int, headers []sip.Header, body []byte) {
	b := fmt.Appendf(nil, "SIP/2.0 %d X\r\nCall-ID: %s\r\nCSeq: 1 %s\r\n", status, m.CallID, m.CSeqMethod)
	for _, h := range headers {
		b = fmt.Appendf(b, "%s: %s\r\n", h.Name, h.Value)
	}
	s.send(fmt.Appendf(b, "Content-Length: %d\r\n\r\n%s", len(body), body))
}

func (s *sipSession) handleMessage(m *sip.Message) {
	if s.isMute {
		return
	}
	observations := s.exchange.observations
	switch m.Method {
	case "INVITE":
		s.handleInvite(m)
	case "CANCEL":
		observations.endAttempt(m.CallID, true)
		delete(s.openCalls, m.CallID)
		observations.increment(&observations.canceled)
		s.respond(m, 200, nil, nil)
		m.CSeqMethod = "INVITE"
		s.respond(m, 487, nil, nil)
	case "BYE":
		observations.endAttempt(m.CallID, false)
		observations.increment(&observations.released)
		s.respond(m, 200, nil, nil)
	}
}

func (s *sipSession) handleInvite(m *sip.Message) {
	byDigit := s.exchange.behavesByDigit
	number := m.User()
	s.exchange.countInvite()
	key := number
	if byDigit {
		key = m.CallID
	}
	nth := s.exchange.observations.beginAttempt(m.CallID, number, key, m.Body)
	b := behaviorByName(number)
	establishes := b.establishes(nth)
	if byDigit {
		s.openCalls[m.CallID] = true
		b = behaviorByDigit(number, nth)
		establishes = b == behaveOK
	}
	switch {
	case s.exchange.answersNothing:
	case b == behavePartialAnswer:
		const partial = "SIP/2.0 200 OK\r\nCall-ID: %s\r\nCSeq: %d INVITE\r\nContent-Length: 3000000000\r\n"
		s.send(fmt.Appendf(nil, partial, m.CallID, m.CSeq))
		s.isMute = true
	case b == behaveUnresponsive:
		s.isMute = true
	case establishes:
		s.establish(m, number, b == behaveOK)
	default:
		s.reject(m, b)
	}
}

// establish accepts a set-up and, if releases is set, releases the call after releaseDelay.
func (s *sipSession) establish(m *sip.Message, number string, releases bool) {
	delete(s.openCalls, m.CallID)
	s.respond(m, 180, nil, nil)
	s.respond(m, 200, nil, []byte(acceptedDescription(number)))
	if !releases {
		return
	}
	id := m.CallID
	time.AfterFunc(releaseDelay, func() {
		s.exchange.observations.endAttempt(id, false)
		s.send(sip.AppendRequest(nil, &sip.Request{
			Method:  "BYE",
			Number:  number,
			CallID:  id,
			CSeq:    9,
			Headers: []sip.Header{{Name: "Reason", Value: "Q.850;cause=16"}},
		}))
	})
}

// reject rejects a set-up, or leaves it unanswered if the behavior says so.
func (s *sipSession) reject(m *sip.Message, b behavior) {
	status, diagnosis := 0, ""
	switch b {
	case behaveBusy:
		status, diagnosis = 486, "number_busy"
	case behaveOverloaded:
		status, diagnosis = 503, "cpu_full"
	case behaveNotForwarded:
		status = 480
	case behaveTemporaryFailure:
		status = 504
	default:
		return
	}
	s.exchange.observations.endAttempt(m.CallID, b == behaveTemporaryFailure)
	delete(s.openCalls, m.CallID)
	s.respond(m, status, []sip.Header{{Name: "X-Diagnosis", Value: diagnosis}}, nil)
}
