package server

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"olivedale/internal/backend"
	"olivedale/internal/codec/h248"
	"olivedale/internal/codec/h248/transaction"
	"olivedale/internal/codec/sip"
)

// offeredDescription and acceptedDescription are the descriptions of a call; they must pass unchanged.
func offeredDescription(number string) string  { return "v=0\r\ns={" + number + "} \"\\\r\n" }
func acceptedDescription(number string) string { return "v=0\r\na=\\}" + number + "\r\n" }

// simulatedExchange is an exchange of either protocol. The number called says what it does: 'ok' is established and
// released by the exchange, 'keep' is established, 'busy', 'full', 'moot' and 'reset' are rejected (the last three at
// the first attempt only), 'silent' is not answered. After 'half', whose answer stops within the message, and after
// 'mute' the connection stays open and brings nothing more.
type simulatedExchange struct {
	observations *callObservations
	listener     net.Listener
	mu           sync.Mutex
	conns        map[net.Conn]bool

	invited        int  // set-ups that came, guarded by mu
	behavesByDigit bool // the last digit of a number says what becomes of a call, see behaviorByDigit
	answersNothing bool // no set-up is answered, whichever attempt it is; set before the server starts
}

func startSimulatedExchange(t testing.TB, r *callObservations, h248 bool) *simulatedExchange {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &simulatedExchange{observations: r, listener: ln, conns: make(map[net.Conn]bool)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			if h248 {
				go s.serveH248(c)
			} else {
				go s.serveSIP(c)
			}
		}
	}()
	t.Cleanup(s.stop)
	return s
}

func (s *simulatedExchange) addr() string { return s.listener.Addr().String() }

// stop ends the process: nobody listens, and its connections are reset.
func (s *simulatedExchange) stop() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (s *simulatedExchange) serveSIP(c net.Conn) {
	var mu sync.Mutex
	send := func(b []byte) {
		mu.Lock()
		defer mu.Unlock()
		_, _ = c.Write(b)
	}
	var in sip.Reader
	buf := make([]byte, 4096)
	mute := false
	mine := make(map[string]bool) // set-ups that are open on this connection end with it
	defer func() {
		for id := range mine {
			s.observations.endAttempt(id, true)
		}
	}()
	for {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		_ = in.Feed(buf[:n], func(m *sip.Message) bool {
			if mute {
				return true
			}
			respond := func(status int, headers []sip.Header, body []byte) {
				b := fmt.Appendf(nil, "SIP/2.0 %d X\r\nCall-ID: %s\r\nCSeq: 1 %s\r\n", status, m.CallID, m.CSeqMethod)
				for _, h := range headers {
					b = fmt.Appendf(b, "%s: %s\r\n", h.Name, h.Value)
				}
				send(fmt.Appendf(b, "Content-Length: %d\r\n\r\n%s", len(body), body))
			}
			switch m.Method {
			case "INVITE":
				number := m.User()
				s.mu.Lock()
				s.invited++
				s.mu.Unlock()
				key := number
				if s.behavesByDigit {
					key = m.CallID
				}
				nth := s.observations.beginAttempt(m.CallID, number, key, m.Body)
				if s.behavesByDigit {
					mine[m.CallID] = true
				}
				status, note, kind := 0, "", behaviorByName(number)
				if s.behavesByDigit {
					kind = behaviorByDigit(number, nth)
				}
				switch {
				case s.answersNothing:
					return true
				case kind == "half":
					send(fmt.Appendf(nil, "SIP/2.0 200 OK\r\nCall-ID: %s\r\nCSeq: %d INVITE\r\nContent-Length: 3000000000\r\n", m.CallID, m.CSeq))
					mute = true
					return true
				case kind == "mute":
					mute = true
					return true
				case kind == "ok" || kind == "keep" || nth > 1 && !s.behavesByDigit && kind != "silent" && kind != "busy":
					delete(mine, m.CallID)
					respond(180, nil, nil)
					respond(200, nil, []byte(acceptedDescription(number)))
					if kind == "ok" {
						time.AfterFunc(20*time.Millisecond, func() {
							s.observations.endAttempt(m.CallID, false)
							send(sip.AppendRequest(nil, &sip.Request{Method: "BYE", Number: number, CallID: m.CallID, CSeq: 9,
								Headers: []sip.Header{{Name: "Reason", Value: "Q.850;cause=16"}}}))
						})
					}
					return true
				case kind == "busy":
					status, note = 486, "number_busy"
				case kind == "full":
					status, note = 503, "cpu_full"
				case kind == "moot":
					status = 480
				case kind == "reset":
					status = 504
				default:
					return true
				}
				s.observations.endAttempt(m.CallID, behaviorByName(number) == "reset")
				delete(mine, m.CallID)
				respond(status, []sip.Header{{Name: "X-Diagnosis", Value: note}}, nil)
			case "CANCEL":
				s.observations.endAttempt(m.CallID, true)
				delete(mine, m.CallID)
				s.observations.increment(&s.observations.canceled)
				respond(200, nil, nil)
				m.CSeqMethod = "INVITE"
				respond(487, nil, nil)
			case "BYE":
				s.observations.endAttempt(m.CallID, false)
				s.observations.increment(&s.observations.released)
				respond(200, nil, nil)
			}
			return true
		})
	}
}

// behaviorByDigit returns what becomes of the nth attempt of a call by the last digit of its number: 5 is busy at
// every exchange, 6, 7 and 8 are rejected once or twice, 9 is not answered at first.
func behaviorByDigit(number string, nth int) string {
	switch number[len(number)-1] {
	case '5':
		return "busy"
	case '6', '7':
		return []string{"full", "ok"}[min(nth, 2)-1]
	case '8':
		return []string{"moot", "full", "ok"}[min(nth, 3)-1]
	case '9':
		return []string{"silent", "ok"}[min(nth, 2)-1]
	}
	return "ok"
}

func behaviorByName(number string) string {
	kind, _, _ := strings.Cut(number, ".")
	return kind
}

func (s *simulatedExchange) serveH248(c net.Conn) {
	var mu sync.Mutex
	var last uint32
	contexts := make(map[string]string) // by termination
	send := func(t *h248.Transaction) {
		mu.Lock()
		defer mu.Unlock()
		b, _ := h248.AppendFrame(nil, &h248.Message{MID: "<server>", Transactions: []*h248.Transaction{t}})
		_, _ = c.Write(b)
	}
	var in h248.Framer
	buf := make([]byte, 4096)
	for {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		_ = in.Feed(buf[:n], func(text []byte) bool {
			m, bad := h248.Parse(text)
			if bad != nil {
				s.observations.increment(&s.observations.corrupted)
				return false
			}
			for _, t := range m.Transactions {
				if t.Kind != h248.Request {
					continue
				}
				a := t.Actions[0]
				cmd := a.Commands[0]
				id, _, _ := backend.ParseTermination(cmd.Termination)
				reply := func(context string, err *h248.Error, d ...*h248.Node) {
					done := &h248.Action{Context: context, Err: err}
					if err == nil {
						done.Commands = []*h248.Command{{Name: cmd.Name, Termination: cmd.Termination, Descriptors: d}}
					}
					send(&h248.Transaction{Kind: h248.Reply, ID: t.ID, Actions: []*h248.Action{done}})
				}
				if cmd.Name == "Subtract" {
					_, stood := contexts[cmd.Termination]
					s.observations.endAttempt(id, !stood)
					if stood {
						s.observations.increment(&s.observations.released)
					} else {
						s.observations.increment(&s.observations.canceled)
					}
					reply(a.Context, nil)
					continue
				}
				desc, _ := transaction.Description(cmd, "Remote")
				number := h248.Value(cmd.Descriptors, "Media", "TerminationState", "oc/number")
				s.mu.Lock()
				s.invited++
				s.mu.Unlock()
				nth := s.observations.beginAttempt(id, number, number, desc)
				code := 0
				switch kind := behaviorByName(number); {
				case kind == "ok" || kind == "keep" || nth > 1 && kind != "silent" && kind != "busy":
					last++
					context := fmt.Sprint(last)
					contexts[cmd.Termination] = context
					send(&h248.Transaction{Kind: h248.Pending, ID: t.ID})
					reply(context, nil, &h248.Node{Name: "Media", Kids: []*h248.Node{{Name: "Local", Octets: []byte(acceptedDescription(number))}}})
					if kind == "ok" {
						time.AfterFunc(20*time.Millisecond, func() {
							s.observations.endAttempt(id, false)
							send(&h248.Transaction{ID: t.ID, Actions: []*h248.Action{{Context: context, Commands: []*h248.Command{
								{Name: "Notify", Termination: cmd.Termination, Descriptors: []*h248.Node{transaction.ReleaseEvent(16)}}}}}})
						})
					}
					continue
				case kind == "busy":
					code = h248.TerminationInContext
				case kind == "full":
					code = h248.Insufficient
				case kind == "moot":
					code = h248.NotReady
				case kind == "reset":
					code = h248.TemporaryFailure
				default:
					continue
				}
				s.observations.endAttempt(id, code == h248.TemporaryFailure)
				reply("$", &h248.Error{Code: code})
			}
			return true
		})
	}
}
