package server

import (
	"fmt"
	"net"
	"sync"
	"time"

	"olivedale/internal/backend"
	"olivedale/internal/codec/h248"
	"olivedale/internal/codec/h248/transaction"
)

// An h248Session is a connection to a simulated exchange that speaks H.248.
type h248Session struct {
	exchange    *simulatedExchange
	conn        net.Conn
	writeMutex  sync.Mutex
	lastContext uint32
	contexts    map[string]string // contexts of established calls by termination
	peer        string            // message id of the controller
}

// h248TransactionKey identifies a transaction of a controller.
type h248TransactionKey struct {
	messageID string
	id        uint32
}

// h248Replies holds the replies to the transactions that an exchange has executed.
type h248Replies map[h248TransactionKey]*h248.Transaction

// serveH248 serves a connection until it is closed.
func (s *simulatedExchange) serveH248(conn net.Conn) {
	session := &h248Session{exchange: s, conn: conn, contexts: make(map[string]string)}
	var framer h248.Framer
	buffer := make([]byte, 4096)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		_ = framer.Feed(buffer[:n], session.handleText)
	}
}

func (s *h248Session) handleText(text []byte) bool {
	m, parseErr := h248.Parse(text)
	if parseErr != nil {
		s.exchange.observations.increment(&s.exchange.observations.corrupted)
		return false
	}
	s.peer = m.MID
	for _, t := range m.Transactions {
		if t.Kind == h248.Request && !s.repeatReply(t.ID) {
			s.handleRequest(t)
		}
	}
	return true
}

// repeatReply sends the reply to a transaction again that was executed before, on whichever connection, and reports
// whether there is one. Like a sound call server, the exchange executes each transaction at most once.
func (s *h248Session) repeatReply(id uint32) bool {
	s.exchange.mu.Lock()
	reply := s.exchange.replies[h248TransactionKey{s.peer, id}]
	s.exchange.mu.Unlock()
	if reply == nil {
		return false
	}
	s.send(reply)
	return true
}

func (s *h248Session) storeReply(t *h248.Transaction) {
	s.exchange.mu.Lock()
	defer s.exchange.mu.Unlock()
	s.exchange.replies[h248TransactionKey{s.peer, t.ID}] = t
}

func (s *h248Session) send(t *h248.Transaction) {
	s.writeMutex.Lock()
	defer s.writeMutex.Unlock()
	b, _ := h248.AppendFrame(nil, &h248.Message{MID: "<server>", Transactions: []*h248.Transaction{t}})
	_, _ = s.conn.Write(b)
}

// reply replies to a request that has one command.
func (s *h248Session) reply(t *h248.Transaction, context string, descriptors ...*h248.Node) {
	c := t.Actions[0].Commands[0]
	done := &h248.Command{Name: c.Name, Termination: c.Termination, Descriptors: descriptors}
	s.replyWith(t, &h248.Action{Context: context, Commands: []*h248.Command{done}})
}

func (s *h248Session) replyWith(t *h248.Transaction, a *h248.Action) {
	reply := &h248.Transaction{Kind: h248.Reply, ID: t.ID, Actions: []*h248.Action{a}}
	s.storeReply(reply)
	s.send(reply)
}

func (s *h248Session) handleRequest(t *h248.Transaction) {
	a := t.Actions[0]
	c := a.Commands[0]
	if c.Name != "Subtract" {
		s.handleAdd(t, c)
		return
	}
	id, _, _ := backend.ParseTermination(c.Termination)
	observations := s.exchange.observations
	_, isEstablished := s.contexts[c.Termination]
	observations.endAttempt(id, !isEstablished)
	if isEstablished {
		observations.increment(&observations.released)
	} else {
		observations.increment(&observations.canceled)
	}
	s.reply(t, a.Context)
}

func (s *h248Session) handleAdd(t *h248.Transaction, c *h248.Command) {
	id, _, _ := backend.ParseTermination(c.Termination)
	description, _ := transaction.Description(c, "Remote")
	number := h248.Value(c.Descriptors, "Media", "TerminationState", "oc/number")
	s.exchange.countInvite()
	nth := s.exchange.observations.beginAttempt(id, number, number, description)
	b := behaviorByName(number)
	if b.establishes(nth) {
		s.establish(t, id, number, b == behaveOK)
		return
	}
	s.reject(t, id, b)
}

// establish accepts a set-up and, if releases is set, releases the call after releaseDelay.
func (s *h248Session) establish(t *h248.Transaction, id, number string, releases bool) {
	termination := t.Actions[0].Commands[0].Termination
	s.lastContext++
	context := fmt.Sprint(s.lastContext)
	s.contexts[termination] = context
	s.send(&h248.Transaction{Kind: h248.Pending, ID: t.ID})
	local := &h248.Node{Name: "Local", Octets: []byte(acceptedDescription(number))}
	s.reply(t, context, &h248.Node{Name: "Media", Children: []*h248.Node{local}})
	if !releases {
		return
	}
	notify := &h248.Command{
		Name:        "Notify",
		Termination: termination,
		Descriptors: []*h248.Node{transaction.ReleaseEvent(16)},
	}
	time.AfterFunc(releaseDelay, func() {
		s.exchange.observations.endAttempt(id, false)
		s.send(&h248.Transaction{
			ID:      t.ID,
			Actions: []*h248.Action{{Context: context, Commands: []*h248.Command{notify}}},
		})
	})
}

// reject rejects a set-up, or leaves it unanswered if the behavior says so.
func (s *h248Session) reject(t *h248.Transaction, id string, b behavior) {
	code := 0
	switch b {
	case behaveBusy:
		code = h248.TerminationInContext
	case behaveOverloaded:
		code = h248.InsufficientResources
	case behaveNotForwarded:
		code = h248.NotReady
	case behaveTemporaryFailure:
		code = h248.TemporaryFailure
	default:
		return
	}
	s.exchange.observations.endAttempt(id, code == h248.TemporaryFailure)
	s.replyWith(t, &h248.Action{Context: "$", Err: &h248.Error{Code: code}})
}
