package server

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/dns/dnsmessage"

	"olivedale/internal/admission"
	"olivedale/internal/backend"
	"olivedale/internal/call"
	"olivedale/internal/codec/h248"
	"olivedale/internal/codec/h248/transaction"
	"olivedale/internal/codec/jsonl"
	"olivedale/internal/codec/sip"
)

const retryGuard = 300 * time.Millisecond

// callObservations is what all stand-in servers see together.
type callObservations struct {
	mu                   sync.Mutex
	openAttempts         map[string]bool      // an attempt is out
	guardedSince         map[string]time.Time // when one ended so that the guard holds
	attempts             map[string]int       // by the number called
	simultaneousAttempts int                  // second attempts at once
	earlyRetries         int                  // resends within the guard
	abandonedAttempts    int                  // attempts of calls whose callers had left
	canceled             int                  // set-ups given up by the call controller
	released             int                  // calls released by it
	corrupted            int                  // descriptions that came changed
}

// schedulingDelay is by how much something that was due may have come late of late, on this machine: three times as much as a
// goroutine that does nothing but wait has seen within the last seconds.
func schedulingDelay() time.Duration {
	delayMeter.once.Do(func() {
		go func() {
			for n := 0; ; n++ {
				began := time.Now()
				time.Sleep(5 * time.Millisecond)
				over := int64(time.Since(began) - 5*time.Millisecond)
				delayMeter.now.Store(max(delayMeter.now.Load(), over))
				if n%200 == 0 { // a second at the least
					delayMeter.before.Store(delayMeter.now.Swap(0))
				}
			}
		}()
	})
	return 3 * time.Duration(max(delayMeter.now.Load(), delayMeter.before.Load()))
}

var delayMeter struct {
	once        sync.Once
	now, before atomic.Int64
}

// retryObserver counts, by the node's own clock, what is sent again within the guard of an attempt that may have run, and what
// is sent on for a caller who has left.
type retryObserver struct {
	call.Observer
	observations *callObservations
	guardedSince map[string]call.Time // on the loop alone, as left
	abandoned    map[string]bool
}

// observeRetries puts one in, before the node runs.
func (s *testServer) observeRetries() {
	g := &retryObserver{nopObserver{}, s.observations, make(map[string]call.Time), make(map[string]bool)}
	schedulingDelay()
	if s.server.metrics == nil {
		s.server.calls.SetObserver(g)
		return
	}
	if s.server.metrics.next != nil {
		g.Observer = s.server.metrics.next
	}
	s.server.metrics.next = g
}

func (g *retryObserver) CallAnswered(now call.Time, a *call.Answer) {
	if a.Outcome == call.Abandoned {
		g.abandoned[a.ID] = true
	}
	g.Observer.CallAnswered(now, a)
}

func (g *retryObserver) AttemptEnded(now call.Time, server, id string, attempt int, e call.AttemptEnd, took time.Duration) {
	switch e {
	case call.TimedOut, call.Canceled, call.FailedInTransit, call.Unresponsive, call.ConnectionReset, call.ConnectionClosed, call.Malformed, call.BackendLost:
		g.guardedSince[id] = now
	}
	g.Observer.AttemptEnded(now, server, id, attempt, e, took)
}

func (g *retryObserver) AttemptStarted(now call.Time, server string, s *call.Setup) {
	if at, ok := g.guardedSince[s.ID]; ok && now-at < retryGuard {
		g.observations.increment(&g.observations.earlyRetries)
	}
	if g.abandoned[s.ID] {
		g.observations.increment(&g.observations.abandonedAttempts)
	}
	delete(g.guardedSince, s.ID)
	g.Observer.AttemptStarted(now, server, s)
}

// nopObserver is an Observer that does nothing.
type nopObserver struct{}

func (nopObserver) CallOffered(call.Time, *call.Request)                                        {}
func (nopObserver) Decided(call.Time, *admission.Decision)                                      {}
func (nopObserver) AttemptStarted(call.Time, string, *call.Setup)                               {}
func (nopObserver) AttemptEnded(call.Time, string, string, int, call.AttemptEnd, time.Duration) {}
func (nopObserver) CallAnswered(call.Time, *call.Answer)                                        {}
func (nopObserver) CallReleased(call.Time, *call.Release)                                       {}
func (nopObserver) LimitReached(call.Time, call.Limit, string)                                  {}

func newCallObservations() *callObservations {
	return &callObservations{openAttempts: make(map[string]bool), guardedSince: make(map[string]time.Time), attempts: make(map[string]int)}
}

// beginAttempt notes an attempt and tells the how-manieth it is of those under a key.
func (r *callObservations) beginAttempt(id, number, key string, desc []byte) (nth int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.openAttempts[id] {
		r.simultaneousAttempts++
	}
	// Each server reads in a goroutine of its own, when it gets to: between two of them time is told as well as the
	// machine lets it be. What the guard is to the millisecond, guards sees at the node.
	if at, ok := r.guardedSince[id]; ok && time.Since(at) < retryGuard-schedulingDelay() {
		r.earlyRetries++
	}
	if string(desc) != offeredDescription(number) {
		r.corrupted++
	}
	r.openAttempts[id] = true
	r.attempts[key]++
	return r.attempts[key]
}

func (r *callObservations) endAttempt(id string, guarded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.openAttempts, id)
	if guarded {
		r.guardedSince[id] = time.Now()
	}
}

func (r *callObservations) increment(n *int) {
	r.mu.Lock()
	*n++
	r.mu.Unlock()
}

func (r *callObservations) attemptsTo(number string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempts[number]
}

// offeredDescription and accept are the descriptions of a call; they must pass as they are.
func offeredDescription(number string) string  { return "v=0\r\ns={" + number + "} \"\\\r\n" }
func acceptedDescription(number string) string { return "v=0\r\na=\\}" + number + "\r\n" }

// simulatedExchange is a call server of either dialect. What it does is said by the number called:
// 'ok' stands and is released from there, 'keep' stands, 'busy', 'full', 'moot' and
// 'reset' (on the first attempt) are turned down, 'silent' is not answered. After 'half', whose
// answer stops half way, and 'mute' the connection stays open and brings nothing more.
type simulatedExchange struct {
	observations *callObservations
	listener     net.Listener
	mu           sync.Mutex
	conns        map[net.Conn]bool

	invited        int  // set-ups that came, by mu
	behavesByDigit bool // numbers of digits say by their last what becomes of a call, see digits
	answersNothing bool // no set-up is answered, whichever attempt it is; set before the node starts
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
	mine := make(map[string]bool) // set-ups that are out on this connection end with it
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

// behaviorByDigit says what becomes of the nth attempt of a call to a number of behaviorByDigit: 5 is busy at every
// server, 6, 7 and 8 are turned down once or twice, 9 is not answered at first.
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

// A testCaller is the callers' side of either dialect.
type testCaller interface {
	setUp(number string, left time.Duration) (key string)
	hangUp(key string)
	close()
}

// answerLog is what callers were told: key and what, in order.
type answerLog struct {
	mu       sync.Mutex
	byKey    map[string][]string
	changed  chan struct{}
	onAnswer func(key, what string) // if set, before anything is heard
}

func newAnswerLog() *answerLog {
	return &answerLog{byKey: make(map[string][]string), changed: make(chan struct{}, 1)}
}

func (h *answerLog) add(key, what string) {
	h.mu.Lock()
	h.byKey[key] = append(h.byKey[key], what)
	h.mu.Unlock()
	if h.onAnswer != nil {
		h.onAnswer(key, what)
	}
	select {
	case h.changed <- struct{}{}:
	default:
	}
}

func (h *answerLog) of(key string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return strings.Join(h.byKey[key], " ")
}

// await waits until a key has heard so many things.
func (h *answerLog) await(t testing.TB, key string, n int) string {
	t.Helper()
	end := time.After(6 * time.Second)
	for {
		h.mu.Lock()
		got := len(h.byKey[key])
		h.mu.Unlock()
		if got >= n {
			return h.of(key)
		}
		select {
		case <-h.changed:
		case <-time.After(20 * time.Millisecond):
		case <-end:
			t.Fatalf("%s heard %q, want %d things", key, h.of(key), n)
		}
	}
}

type jsonCaller struct {
	*answerLog
	conn     net.Conn
	lastID   int
	idPrefix string
}

func dialJSONCaller(t testing.TB, addr string, h *answerLog, salt string) *jsonCaller {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	k := &jsonCaller{answerLog: h, conn: c, idPrefix: salt}
	go func() {
		var in jsonl.Reader
		buf := make([]byte, 4096)
		for {
			n, err := c.Read(buf)
			if err != nil {
				return
			}
			_ = in.Feed(buf[:n], func(m *jsonl.Message) bool {
				switch m.Verb {
				case jsonl.Started:
					h.add(m.Tag, "stands "+string(m.Blob))
				case jsonl.Finish:
					h.add(m.Tag, fmt.Sprint("end ", m.RC))
					k.send(&jsonl.Message{Verb: jsonl.Finished, Tag: m.Tag})
				case jsonl.Echoed:
					h.add("echo", fmt.Sprint(m.RC))
				}
				return true
			})
		}
	}()
	t.Cleanup(k.close)
	return k
}

func (k *jsonCaller) close()                { _ = k.conn.Close() }
func (k *jsonCaller) send(m *jsonl.Message) { _, _ = k.conn.Write(jsonl.Append(nil, m)) }

func (k *jsonCaller) setUp(number string, left time.Duration) string {
	k.lastID++
	tag := fmt.Sprintf("%8s%08x", k.idPrefix, k.lastID)
	k.send(&jsonl.Message{Verb: jsonl.Start, Tag: tag, Blob: []byte(offeredDescription(number)), Opts: []jsonl.Opt{{Name: "class", Value: "voice"},
		{Name: "left", Value: fmt.Sprint(left.Milliseconds())}, {Name: "key", Value: number}, {Name: "extras", Value: "dest:0;width:1;via:-1"}}})
	return tag
}

func (k *jsonCaller) hangUp(tag string) {
	k.send(&jsonl.Message{Verb: jsonl.Finish, Tag: tag, RC: 16, HasRC: true})
}

type gatewayCaller struct {
	*answerLog
	conn         net.Conn
	messageID    string
	lastID       uint32
	mu           sync.Mutex
	contexts     map[string]string // by termination
	replies      map[uint32]int    // replies to a transaction
	acknowledges bool              // it acknowledges replies, set before its first call
}

func dialGatewayCaller(t testing.TB, addr string, h *answerLog, mid string) *gatewayCaller {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	k := &gatewayCaller{answerLog: h, conn: c, messageID: mid, contexts: make(map[string]string), replies: make(map[uint32]int)}
	go func() {
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
					h.add("error", bad.Error())
					return false
				}
				if m.Err != nil {
					h.add("error", m.Err.Error())
				}
				for _, tr := range m.Transactions {
					k.handleTransaction(tr)
				}
				return true
			})
		}
	}()
	t.Cleanup(k.close)
	return k
}

func (k *gatewayCaller) handleTransaction(t *h248.Transaction) {
	key := fmt.Sprintf("%s/%d", strings.Trim(k.messageID, "<>"), t.ID)
	switch t.Kind {
	case h248.Pending:
		k.add(key+"/pending", "pending")
	case h248.Reply:
		k.mu.Lock()
		k.replies[t.ID]++
		k.mu.Unlock()
		if k.acknowledges {
			k.send(&h248.Transaction{Kind: h248.Ack, Acked: [][2]uint32{{t.ID, t.ID}}})
		}
		if t.Err != nil {
			k.add(key, fmt.Sprint("error ", t.Err.Code))
			return
		}
		for _, a := range t.Actions {
			if a.Err != nil {
				what := fmt.Sprint("error ", a.Err.Code)
				switch a.Err.Code { // as the callers of the other dialect hear it
				case h248.Insufficient:
					what = "end 34"
				case h248.TemporaryFailure:
					what = "end 41"
				}
				k.add(key, what)
			}
			for _, c := range a.Commands {
				if desc, ok := transaction.Description(c, "Local"); ok {
					k.mu.Lock()
					k.contexts[c.Termination] = a.Context
					k.mu.Unlock()
					k.add(key, "stands "+string(desc))
				} else {
					k.add(key, "done "+c.Name)
				}
			}
		}
	case h248.Request:
		c := t.Actions[0].Commands[0]
		cause, _ := transaction.ParseReleaseEvent(c)
		k.add(c.Termination, fmt.Sprint("end ", cause))
		k.send(&h248.Transaction{Kind: h248.Reply, ID: t.ID, Actions: []*h248.Action{{Context: t.Actions[0].Context,
			Commands: []*h248.Command{{Name: c.Name, Termination: c.Termination}}}}})
	}
}

func (k *gatewayCaller) close() { _ = k.conn.Close() }

func (k *gatewayCaller) send(t *h248.Transaction) {
	b, err := h248.AppendFrame(nil, &h248.Message{MID: k.messageID, Transactions: []*h248.Transaction{t}})
	if err == nil {
		_, _ = k.conn.Write(b)
	}
}

// addTransaction sets a call up on the termination that is the transaction's key.
func addTransaction(key string, id uint32, number string, left time.Duration) *h248.Transaction {
	state := &h248.Node{Name: "TerminationState", Kids: []*h248.Node{{Name: "oc/class", Value: "voice"}, {Name: "oc/first", Value: "0"},
		{Name: "oc/number", Value: number}, {Name: "oc/left", Value: fmt.Sprint(left.Milliseconds())}}}
	return &h248.Transaction{ID: id, Actions: []*h248.Action{{Context: "$", Commands: []*h248.Command{{Name: "Add", Termination: key,
		Descriptors: []*h248.Node{{Name: "Media", Kids: []*h248.Node{state, {Name: "Remote", Octets: []byte(offeredDescription(number))}}}}}}}}}
}

func (k *gatewayCaller) setUp(number string, left time.Duration) string {
	k.lastID++
	key := fmt.Sprintf("%s/%d", strings.Trim(k.messageID, "<>"), k.lastID)
	k.send(addTransaction(key, k.lastID, number, left))
	return key
}

func (k *gatewayCaller) hangUp(key string) {
	k.mu.Lock()
	context := k.contexts[key]
	k.mu.Unlock()
	if context == "" {
		context = "*"
	}
	k.lastID++
	k.send(&h248.Transaction{ID: k.lastID, Actions: []*h248.Action{{Context: context, Commands: []*h248.Command{{Name: "Subtract", Termination: key}}}}})
}

// discoveryServer answers queries with the list that it holds.
type discoveryServer struct {
	conn                net.PacketConn
	mu                  sync.Mutex
	serial              uint32
	lines               []endpointLine
	queriesToDrop       int // queries to leave without an answer
	maxAnswersPerClient int // so many answers to each address that asks, then none; 0: no limit
	answersByClient     map[string]int
	heldAnswers         [][]byte // answers held back, while keep
	holdsAnswers        bool
	lastClient          net.Addr // the last
}

type endpointLine struct {
	id, addr string
	draining bool
	pool     int
	started  int64
}

func startDiscoveryServer(t testing.TB) *discoveryServer {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &discoveryServer{conn: c, answersByClient: make(map[string]int)}
	go func() {
		buf := make([]byte, 1024)
		for {
			n, from, err := c.ReadFrom(buf)
			if err != nil {
				return
			}
			b := s.answer(buf[:n])
			s.mu.Lock()
			s.lastClient = from
			if s.answersByClient[from.String()]++; s.maxAnswersPerClient > 0 && s.answersByClient[from.String()] > s.maxAnswersPerClient {
				b = nil
			}
			if s.holdsAnswers && b != nil {
				s.heldAnswers = append(s.heldAnswers, b)
				b = nil
			}
			s.mu.Unlock()
			if b != nil {
				_, _ = c.WriteTo(b, from)
			}
		}
	}()
	t.Cleanup(func() { _ = c.Close() })
	return s
}

func (s *discoveryServer) set(lines ...endpointLine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serial++
	s.lines = lines
}

func (s *discoveryServer) answer(query []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queriesToDrop > 0 {
		s.queriesToDrop--
		return nil
	}
	var p dnsmessage.Parser
	h, err := p.Start(query)
	if err != nil {
		return nil
	}
	q, err := p.Question()
	if err != nil {
		return nil
	}
	b := dnsmessage.NewBuilder(nil, dnsmessage.Header{ID: h.ID, Response: true, Authoritative: true})
	b.EnableCompression()
	_ = b.StartQuestions()
	_ = b.Question(q)
	_ = b.StartAnswers()
	head := func(name string) dnsmessage.ResourceHeader {
		return dnsmessage.ResourceHeader{Name: dnsmessage.MustNewName(name), Class: dnsmessage.ClassINET}
	}
	for _, l := range s.lines {
		addr, _ := net.ResolveTCPAddr("tcp", l.addr)
		srv := dnsmessage.SRVResource{Port: uint16(addr.Port), Weight: 10, Target: dnsmessage.MustNewName(l.id + ".east.hosts.")}
		if l.draining {
			srv.Priority = 1
		}
		_ = b.SRVResource(head(q.Name.String()), srv)
	}
	_ = b.StartAuthorities()
	_ = b.SOAResource(head(q.Name.String()), dnsmessage.SOAResource{NS: q.Name, MBox: q.Name, Serial: s.serial})
	_ = b.StartAdditionals()
	for _, l := range s.lines {
		_ = b.AResource(head(l.id+".east.hosts."), dnsmessage.AResource{A: [4]byte{127, 0, 0, 1}})
		_ = b.TXTResource(head(l.id+".east.hosts."), dnsmessage.TXTResource{TXT: []string{"kind=std", fmt.Sprint("cell=", l.pool), fmt.Sprint("started=", l.started)}})
	}
	out, err := b.Finish()
	if err != nil {
		return nil
	}
	return out
}
