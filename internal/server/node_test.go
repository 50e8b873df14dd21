package server

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"olivedale/internal/codec/h248"
	"olivedale/internal/codec/jsonl"
	"olivedale/internal/codec/sip"
	"olivedale/internal/config"
)

// testServer is a running node with its stand-ins.
type testServer struct {
	server       *Server
	discovery    *discoveryServer
	observations *callObservations
	exchanges    []*simulatedExchange
	done         chan error
}

func (s *testServer) boundAddress(configured string) string {
	for _, l := range s.server.listeners.all {
		for bound, kind := range s.server.listeners.byBound {
			if kind == l.kind && l.configured == configured && bound != configured {
				return bound
			}
		}
	}
	return ""
}

func (s *testServer) jsonAddress() string    { return s.boundAddress(s.server.cfg.Listen) }
func (s *testServer) gatewayAddress() string { return s.boundAddress(s.server.h248.Listen) }
func (s *testServer) adminAddress() string   { return s.boundAddress(s.server.h248.Admin) }

const settings = `{"groupSize":1,"classes":[{"name":"voice","aim":2000,"deadline":9000,"credit":1,"lateWorth":0.2}],
 "domain":{"topology":"pools","releaseGuard":300,"resend":1500,"skilledPools":[[0,1,2,3]]},
 "limits":{"maxAttempts":4,"cancel":true,"connectTimeout":500},"safety":{"startCapacity":0.5,"cold":1000}}`

// startTestServer starts a node with a stand-in server a flag: true for H.248.
func startTestServer(t *testing.T, dialects ...bool) *testServer {
	t.Helper()
	s := &testServer{discovery: startDiscoveryServer(t), observations: newCallObservations(), done: make(chan error, 1)}
	h := &config.H248{Listen: "127.0.0.2:0", Admin: "127.0.0.3:0"}
	var lines []endpointLine
	var known []config.Endpoint
	for i, isH248 := range dialects {
		server := startSimulatedExchange(t, s.observations, isH248)
		s.exchanges = append(s.exchanges, server)
		id := fmt.Sprint("s-", i)
		if isH248 {
			h.Servers = append(h.Servers, config.H248Server{ID: id, Address: server.addr(), Pool: i})
			continue
		}
		lines = append(lines, endpointLine{id: id, addr: server.addr(), pool: i})
		known = append(known, config.Endpoint{ID: id, Address: server.addr(), Zone: "east", Kind: "std", Pool: i, Phase: config.PhaseReady})
	}
	s.discovery.set(lines...)
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "seed": "1f", "names": s.discovery.conn.LocalAddr().String(),
		"limits": map[string]any{"memory_mb": 192, "sockets": 1024}, "settings": json.RawMessage(settings),
		"known": config.KnownEndpoints{LastEvent: 1, Events: []config.EndpointEvent{{N: 1, Endpoints: config.EndpointList{Complete: true, Endpoints: known}}}}})
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	if s.server, err = New(cfg, Options{H248: h}); err != nil {
		t.Fatal(err)
	}
	s.observeRetries()
	go func() { s.done <- s.server.Run() }()
	select {
	case <-s.server.Started():
	case err := <-s.done:
		t.Fatal(err)
	case <-time.After(10 * time.Second):
		t.Fatal("the node did not start")
	}
	t.Cleanup(func() {
		s.server.Stop()
		select {
		case <-s.done:
		case <-time.After(10 * time.Second):
			t.Error("the node did not stop")
		}
	})
	return s
}

// eventually waits for what needs no more than a moment.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

func (r *callObservations) total(n *int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return *n
}

// callResults is what a day of calls came to.
type callResults struct {
	Heard                   map[string]string
	Attempts                map[string]int
	Copies, Early, Tampered int
	GaveUp, Released        int
}

// runCalls makes the same calls in either dialect, one after the other.
func runCalls(t *testing.T, s *testServer, dial func(name string) testCaller, h *answerLog) callResults {
	t.Helper()
	p := callResults{Heard: make(map[string]string), Attempts: make(map[string]int)}
	k, other := dial("aaaaaaaa"), dial("bbbbbbbb")
	gone := k.setUp("silent.2", 5*time.Second)
	eventually(t, "the set-up is at a server", func() bool { return s.observations.attemptsTo("silent.2") == 1 })
	k.hangUp(gone)
	eventually(t, "the set-up is given up", func() bool { return s.observations.total(&s.observations.canceled) == 1 })
	other.setUp("silent.3", 5*time.Second)
	eventually(t, "the set-up is at a server", func() bool { return s.observations.attemptsTo("silent.3") == 1 })
	other.close()
	eventually(t, "the set-up is given up with its connection", func() bool { return s.observations.total(&s.observations.canceled) == 2 })
	for _, kind := range []string{"ok", "keep", "moot", "reset", "busy"} {
		number := kind + ".1"
		if kind == "reset" {
			// At this rate the module lets a call a second go to a server of second choice.
			time.Sleep(1500 * time.Millisecond)
		}
		key := k.setUp(number, 4*time.Second)
		said := h.await(t, key, 1)
		if kind == "ok" {
			said = h.await(t, key, 2)
		}
		p.Heard[kind] = strings.ReplaceAll(said, acceptedDescription(number), "")
		if strings.Contains(said, "stands") {
			k.hangUp(key)
		}
		p.Attempts[kind] = s.observations.attemptsTo(number)
		time.Sleep(30 * time.Millisecond) // let the release pass before the next call
	}
	silent := k.setUp("silent.1", 400*time.Millisecond)
	p.Heard["silent"] = h.await(t, silent, 1)
	p.Attempts["silent"] = s.observations.attemptsTo("silent.1")
	eventually(t, "the set-up that timed out is given up", func() bool { return s.observations.total(&s.observations.canceled) == 3 })
	for end := time.Now().Add(2 * time.Second); s.observations.total(&s.observations.released) < 3 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	p.Copies, p.Early, p.Tampered = s.observations.total(&s.observations.simultaneousAttempts), s.observations.total(&s.observations.earlyRetries), s.observations.total(&s.observations.corrupted)
	p.GaveUp, p.Released = s.observations.total(&s.observations.canceled), s.observations.total(&s.observations.released)
	return p
}

// TestBothProtocolsBehaveAlike plays the same calls with either dialect on either side: the
// rules must be kept alike and the service be the same.
func TestBothProtocolsBehaveAlike(t *testing.T) {
	t.Parallel()
	want := callResults{
		Heard: map[string]string{"ok": "stands  end 16", "keep": "stands ", "moot": "stands ", "reset": "stands ",
			"busy": "end 41", "silent": "end 41"},
		Attempts: map[string]int{"ok": 1, "keep": 1, "moot": 2, "reset": 2, "busy": 1, "silent": 1},
		GaveUp:   3, Released: 3,
	}
	for _, back := range []bool{false, true} {
		for _, front := range []bool{false, true} {
			t.Run(fmt.Sprintf("front H.248 %v, back H.248 %v", front, back), func(t *testing.T) {
				t.Parallel()
				s, h := startTestServer(t, back, back), newAnswerLog()
				got := runCalls(t, s, func(name string) testCaller {
					if front {
						return dialGatewayCaller(t, s.gatewayAddress(), h, "<"+name+">")
					}
					return dialJSONCaller(t, s.jsonAddress(), h, name)
				}, h)
				if fmt.Sprint(got) != fmt.Sprint(want) {
					t.Errorf("got  %+v\nwant %+v", got, want)
				}
			})
		}
	}
}

// TestMixedProtocols has both dialects on both sides at once on one node.
func TestMixedProtocols(t *testing.T) {
	t.Parallel()
	s := startTestServer(t, false, true)
	h := newAnswerLog()
	callers := []testCaller{dialJSONCaller(t, s.jsonAddress(), h, "aaaaaaaa"), dialGatewayCaller(t, s.gatewayAddress(), h, "<one>"),
		dialJSONCaller(t, s.jsonAddress(), h, "bbbbbbbb"), dialGatewayCaller(t, s.gatewayAddress(), h, "<two>")}
	stood := make([]int, len(callers))
	for i := range 15 {
		for j, k := range callers {
			key := k.setUp(fmt.Sprintf("ok.%d.%d", i, j), 4*time.Second)
			if said := h.await(t, key, 2); said == "stands "+acceptedDescription(fmt.Sprintf("ok.%d.%d", i, j))+" end 16" {
				stood[j]++
			} else {
				t.Errorf("caller %d, call %d: %q", j, i, said)
			}
		}
	}
	for j, n := range stood {
		if n != stood[0] {
			t.Errorf("caller %d had %d calls, caller 0 %d", j, n, stood[0])
		}
	}
	if n := s.observations.total(&s.observations.simultaneousAttempts) + s.observations.total(&s.observations.earlyRetries) + s.observations.total(&s.observations.corrupted); n != 0 {
		t.Errorf("%d rules broken", n)
	}
}

// A repeated transaction gets the stored reply and starts nothing, on the same
// connection, while it runs, and after a reset on a new one.
func TestRepeatedTransaction(t *testing.T) {
	t.Parallel()
	s, h := startTestServer(t, true), newAnswerLog()
	k := dialGatewayCaller(t, s.gatewayAddress(), h, "<panel>")
	add := addTransaction("panel/7", 7, "keep.1", 4*time.Second)
	k.send(add)
	first := h.await(t, "panel/7", 1)
	k.send(add)
	if got := h.await(t, "panel/7", 2); got != first+" "+first {
		t.Errorf("the repeat got %q", got)
	}
	open := addTransaction("panel/8", 8, "silent.1", 5*time.Second)
	k.send(open)
	eventually(t, "the set-up is out", func() bool { return s.observations.attemptsTo("silent.1") == 1 })
	k.send(open)
	h.await(t, "panel/8/pending", 1)
	_ = k.conn.(*net.TCPConn).SetLinger(0) // reset
	k.close()
	eventually(t, "the open set-up is given up", func() bool { return s.observations.total(&s.observations.canceled) == 1 })
	again := dialGatewayCaller(t, s.gatewayAddress(), h, "<panel>")
	again.send(add)
	if got := h.await(t, "panel/7", 3); got != first+" "+first+" "+first {
		t.Errorf("the repeat after a reset got %q", got)
	}
	again.send(open)
	if got := h.await(t, "panel/8", 1); got != "end 41" {
		t.Errorf("the repeat of the set-up that was given up got %q", got)
	}
	if a, b := s.observations.attemptsTo("keep.1"), s.observations.attemptsTo("silent.1"); a != 1 || b != 1 {
		t.Errorf("repeats started %d and %d attempts, want one each", a, b)
	}
}

// A command that is cut at any byte never runs, and runs once when the rest comes.
func TestInputSplitAtEveryByte(t *testing.T) {
	t.Parallel()
	s, h := startTestServer(t, true), newAnswerLog()
	frame, err := h248.AppendFrame(nil, &h248.Message{MID: "<cut>", Transactions: []*h248.Transaction{
		addTransaction("cut/1", 1, "keep.1", 4*time.Second)}})
	if err != nil {
		t.Fatal(err)
	}
	for cut := range frame {
		c, err := net.Dial("tcp", s.gatewayAddress())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write(frame[:cut])
		_ = c.Close()
	}
	k := dialGatewayCaller(t, s.gatewayAddress(), h, "<cut>")
	for _, b := range frame {
		if n := s.observations.attemptsTo("keep.1"); n != 0 {
			t.Fatalf("half a command ran %d times", n)
		}
		_, _ = k.conn.Write([]byte{b})
	}
	h.await(t, "cut/1", 1)
	if n := s.observations.attemptsTo("keep.1"); n != 1 {
		t.Errorf("%d attempts", n)
	}
}

func TestH248Errors(t *testing.T) {
	t.Parallel()
	s, h := startTestServer(t, true), newAnswerLog()
	k := dialGatewayCaller(t, s.gatewayAddress(), h, "<p>")
	one := func(context, name, termination string, d ...*h248.Node) *h248.Transaction {
		return &h248.Transaction{Actions: []*h248.Action{{Context: context, Commands: []*h248.Command{{Name: name, Termination: termination, Descriptors: d}}}}}
	}
	two := one("$", "Add", "x")
	two.Actions[0].Commands = append(two.Actions[0].Commands, two.Actions[0].Commands[0])
	for i, test := range []struct {
		t    *h248.Transaction
		want string
	}{
		{one("5", "Subtract", "x"), "error 411"}, {one("*", "Subtract", "x"), "error 431"}, {one("-", "Subtract", "x"), "error 421"},
		{one("$", "Add", "x"), "error 441"}, {one("9", "Add", "x"), "error 501"}, {one("$", "Add", "$"), "error 430"},
		{one("1", "Move", "x"), "error 501"}, {one("-", "AuditValue", "x"), "error 430"}, {two, "error 501"},
		{one("-", "ServiceChange", "ROOT"), "error 442"}, {addTransaction("t", 0, "keep.1", -time.Second), "error 449"},
	} {
		test.t.ID = uint32(i + 1)
		k.send(test.t)
		if got := h.await(t, fmt.Sprintf("p/%d", i+1), 1); got != test.want {
			t.Errorf("transaction %d: %q, want %q", i+1, got, test.want)
		}
	}
	unknown := addTransaction("t", 90, "keep.1", time.Second)
	unknown.Actions[0].Commands[0].Descriptors[0].Kids[0].Kids[0].Value = "nobody"
	k.send(unknown)
	if got := h.await(t, "p/90", 1); got != "end 34" {
		t.Errorf("an unknown class: %q", got)
	}
	_, _ = k.conn.Write([]byte{3, 0, 0, 9, 'x', '{', '}', '=', '='})
	if got := h.await(t, "error", 1); !strings.Contains(got, "400") {
		t.Errorf("garbage: %q", got)
	}
}

func TestAuditAndDrain(t *testing.T) {
	t.Parallel()
	s, h := startTestServer(t, true), newAnswerLog()
	k := dialGatewayCaller(t, s.adminAddress(), h, "<ctl>")
	graceful := &h248.Node{Name: "Services", Kids: []*h248.Node{{Name: "Method", Value: "Graceful"}, {Name: "Reason", Quoted: true, Value: "905"}}}
	drain := &h248.Transaction{ID: 2, Actions: []*h248.Action{{Context: "-", Commands: []*h248.Command{{Name: "ServiceChange", Termination: "ROOT", Descriptors: []*h248.Node{graceful}}}}}}
	p := dialGatewayCaller(t, s.gatewayAddress(), h, "<panel>")
	p.send(drain) // a panel that goes out of service takes nobody along
	h.await(t, "panel/2", 1)
	k.send(&h248.Transaction{ID: 1, Actions: []*h248.Action{{Context: "-", Commands: []*h248.Command{{Name: "AuditValue", Termination: "ROOT"}}}}})
	if got := h.await(t, "ctl/1", 1); got != "done AuditValue" {
		t.Errorf("audit: %q", got)
	}
	if key := p.setUp("keep.1", time.Second); h.await(t, key, 1) == "" {
		t.Error("no service before the drain")
	}
	k.send(drain)
	h.await(t, "ctl/2", 1)
	select {
	case err := <-s.done:
		s.done <- err
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the node did not drain")
	}
}

func TestDrainAndRemovalStopSetups(t *testing.T) {
	t.Parallel()
	s, h := startTestServer(t, false, false), newAnswerLog()
	k := dialJSONCaller(t, s.jsonAddress(), h, "aaaaaaaa")
	key := k.setUp("keep.1", 4*time.Second)
	h.await(t, key, 1)
	s.discovery.mu.Lock()
	lines := append([]endpointLine(nil), s.discovery.lines...)
	s.discovery.queriesToDrop = 2 // lost on the way: it is asked again
	s.discovery.mu.Unlock()
	lines[0].draining = true
	s.discovery.set(lines...)
	eventually(t, "the drain is known", func() bool {
		drained := make(chan bool, 1)
		s.server.loop.Execute(func() { drained <- s.server.backends.Get("s-0").IsDraining() })
		return <-drained
	})
	invited := func() int {
		s.exchanges[0].mu.Lock()
		defer s.exchanges[0].mu.Unlock()
		return s.exchanges[0].invited
	}
	before := invited()
	h.await(t, k.setUp("keep.2", 4*time.Second), 1)
	if n := invited(); n != before {
		t.Errorf("%d set-ups went to a server that drains", n-before)
	}
	s.discovery.set(lines[1])
	if got := h.await(t, key, 2); got != "stands "+acceptedDescription("keep.1")+" end 41" {
		t.Errorf("the call at the server that is gone: %q", got)
	}
}

// A process that dies cuts its calls: its connection is reset and nobody listens.
func TestDeadExchangeDropsItsCalls(t *testing.T) {
	t.Parallel()
	s, h := startTestServer(t, false, false), newAnswerLog()
	k := dialJSONCaller(t, s.jsonAddress(), h, "aaaaaaaa")
	key := k.setUp("keep.1", 4*time.Second)
	h.await(t, key, 1)
	s.exchanges[0].stop()
	if got := h.await(t, key, 2); got != "stands "+acceptedDescription("keep.1")+" end 41" {
		t.Errorf("heard %q", got)
	}
	if got := h.await(t, k.setUp("keep.2", 4*time.Second), 1); got != "stands "+acceptedDescription("keep.2") {
		t.Errorf("the next call: %q", got)
	}
}

// A connection to an exchange that stops half way in an answer, or brings nothing any more,
// and stays open is given up for a new one; so is what is open on it.
func TestUnresponsiveExchangeIsRedialed(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"half", "mute"} {
		t.Run(kind, func(t *testing.T) {
			s, h := startTestServer(t, false), newAnswerLog()
			k := dialJSONCaller(t, s.jsonAddress(), h, "aaaaaaaa")
			first := s.server.backends.Get("s-0").DialSerial()
			stood := k.setUp("keep.1", 5*time.Second)
			h.await(t, stood, 1)
			k.setUp(kind+".1", 200*time.Millisecond)
			eventually(t, "the link is dialled anew", func() bool {
				serial := make(chan int, 1)
				s.server.loop.Execute(func() { serial <- s.server.backends.Get("s-0").DialSerial() })
				return <-serial > first
			})
			eventually(t, "there is service", func() bool { return strings.HasPrefix(h.await(t, k.setUp("keep.2", 5*time.Second), 1), "stands") })
			if got := h.of(stood); got != "stands "+acceptedDescription("keep.1") {
				t.Errorf("the call that stood: %q", got) // it belongs to no connection
			}
		})
	}
}

// The name service's socket must not be taken for a caller's connection.
func TestDiscoverySocketIsNoCaller(t *testing.T) {
	t.Parallel()
	s, h := startTestServer(t, false), newAnswerLog()
	k := dialJSONCaller(t, s.jsonAddress(), h, "aaaaaaaa")
	eventually(t, "answers are read", func() bool {
		n := make(chan int, 1)
		s.server.loop.Execute(func() { n <- s.server.discovery.counters.answers })
		return <-n > 2
	})
	k.send(&jsonl.Message{Verb: jsonl.Echo, HasRC: true})
	h.await(t, "echo", 1)
	n := make(chan int, 1)
	s.server.loop.Execute(func() { n <- s.server.frontends.host.Counters.Accepted + 100*s.server.malformed.count })
	if got := <-n; got != 2 { // the first is the node's own
		t.Errorf("clients + 100 malformed: %d, want 2", got)
	}
}

func TestBadInputClosesItsConnection(t *testing.T) {
	t.Parallel()
	s, h := startTestServer(t, false), newAnswerLog()
	for _, bad := range []string{"{}\n", "x\n", `{"verb":"START","tag":"nohex","opts":{}}` + "\n", strings.Repeat("x", 20000),
		`{"verb":"START","tag":"9b1f03aa5c7e2d41","opts":{"class":"voice","left":"900","key":"a\r\nX: y"},"blob":""}` + "\n"} {
		c, err := net.Dial("tcp", s.jsonAddress())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write([]byte(bad))
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if n, err := c.Read(make([]byte, 1)); err == nil {
			t.Errorf("%.30q got %d bytes", bad, n)
		}
		_ = c.Close()
	}
	k := dialJSONCaller(t, s.jsonAddress(), h, "aaaaaaaa")
	h.await(t, k.setUp("keep.1", 4*time.Second), 1) // all others go on
}

// Whoever asks for what cannot be, or under the id of another's call, is told or closed; the
// other's call goes on, and no exchange hears of it.
func TestInvalidAndReusedSetupsAreRejected(t *testing.T) {
	t.Parallel()
	s, h := startTestServer(t, false), newAnswerLog()
	k := dialJSONCaller(t, s.jsonAddress(), h, "aaaaaaaa")
	open := k.setUp("silent.1", 5*time.Second)
	eventually(t, "the set-up is out", func() bool { return s.observations.attemptsTo("silent.1") == 1 })
	start := func(id, extras, blob string) string {
		return fmt.Sprintf(`{"verb":"START","tag":%q,"opts":{"class":"voice","left":"900","key":"keep.2","extras":%q},"blob":%q}`+"\n", id, extras, blob)
	}
	const id = "00000000000000bb"
	for _, bad := range []struct{ text, want string }{
		{start(open, "dest:0;width:1;via:-1", "x"), ""},
		{start(id, "dest:-3", "x"), id}, {start(id, "dest:99", "x"), id}, {start(id, "width:0", "x"), id}, {start(id, "width:400", "x"), id},
	} {
		c, err := net.Dial("tcp", s.jsonAddress())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write([]byte(bad.text))
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		line, _ := bufio.NewReader(c).ReadString('\n')
		if bad.want == "" && line != "" || !strings.Contains(line, bad.want) || strings.Contains(line, jsonl.Started) {
			t.Errorf("%q got %q", bad.text, line)
		}
		_ = c.Close()
	}
	k.hangUp(open)
	eventually(t, "the other's set-up was still open", func() bool { return s.observations.total(&s.observations.canceled) == 1 })
	if n := s.observations.attemptsTo("keep.2"); n != 0 {
		t.Errorf("%d set-ups came to an exchange", n)
	}
}

// A connection that says nothing, or half a message, is closed in time; one that has asked
// once may stay.
func TestSilentAndStalledConnectionsAreClosed(t *testing.T) {
	t.Parallel()
	s, h := startTestServer(t, false), newAnswerLog()
	asked := dialJSONCaller(t, s.jsonAddress(), h, "aaaaaaaa")
	asked.send(&jsonl.Message{Verb: jsonl.Echo, HasRC: true})
	h.await(t, "echo", 1)
	for i, text := range []string{"", `{"verb":"START"`, `{"verb":"ECHO","tag":"1","opts":{},"rc":0}` + "\n" + `{"ver`} {
		c, err := net.Dial("tcp", s.jsonAddress())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_, _ = c.Write([]byte(text))
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
		if _, err := io.Copy(io.Discard, c); err != nil {
			t.Errorf("connection %d was not closed: %v", i, err)
		}
	}
	asked.send(&jsonl.Message{Verb: jsonl.Echo, HasRC: true})
	h.await(t, "echo", 2)
}

// A caller who asks and does not read is closed, and takes no more memory than that.
func TestCallerWhoDoesNotRead(t *testing.T) {
	t.Parallel()
	s := startTestServer(t, false)
	c, err := net.Dial("tcp", s.jsonAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	line := []byte(`{"verb":"ECHO","tag":"1","opts":{},"rc":0}` + "\n")
	many := bytes.Repeat(line, 1000)
	_ = c.SetWriteDeadline(time.Now().Add(30 * time.Second))
	for sent := 0; ; sent += len(many) {
		if _, err := c.Write(many); err != nil {
			break // reset, for it is closed with unread text
		}
		if sent > 256<<20 {
			t.Fatal("the caller was heard without end")
		}
	}
}

// After a restart nothing is known of calls that stand: a BYE is passed on, once.
func TestReleaseOfAnUnknownCall(t *testing.T) {
	t.Parallel()
	s, h := startTestServer(t, false), newAnswerLog()
	dialJSONCaller(t, s.jsonAddress(), h, "aaaaaaaa")
	const id = "00000000000000aa"
	eventually(t, "the link is up", func() bool {
		up := make(chan bool, 1)
		s.server.loop.Execute(func() {
			up <- s.server.backends.Get("s-0").IsConnected() && s.server.frontends.json.Clients().Len() > 0
		})
		return <-up
	})
	s.exchanges[0].mu.Lock()
	for c := range s.exchanges[0].conns {
		bye := sip.AppendRequest(nil, &sip.Request{Method: "BYE", Number: "x", CallID: id, CSeq: 2,
			Headers: []sip.Header{{Name: "Reason", Value: "Q.850;cause=41"}}})
		_, _ = c.Write(append(bye, bye...))
	}
	s.exchanges[0].mu.Unlock()
	if got := h.await(t, id, 1); got != "end 41" {
		t.Errorf("heard %q", got)
	}
}

// Releases go to the connection that asked for the call, or to one that has had calls,
// not to those that test the program, or say nothing, and stay.
func TestReleaseGoesToItsCaller(t *testing.T) {
	t.Parallel()
	s, h := startTestServer(t, false), newAnswerLog()
	k, other := dialJSONCaller(t, s.jsonAddress(), h, "aaaaaaaa"), dialJSONCaller(t, s.jsonAddress(), h, "bbbbbbbb")
	var keys []string
	for i, c := range []*jsonCaller{k, other} {
		keys = append(keys, c.setUp(fmt.Sprintf("keep.%d", i), 4*time.Second))
		h.await(t, keys[i], 1)
	}
	tester := newAnswerLog()
	dialJSONCaller(t, s.jsonAddress(), tester, "cccccccc").send(&jsonl.Message{Verb: jsonl.Echo, HasRC: true})
	tester.await(t, "echo", 1)
	dialJSONCaller(t, s.jsonAddress(), tester, "dddddddd")
	other.close()
	eventually(t, "two that never asked are left", func() bool {
		n := make(chan int, 1)
		s.server.loop.Execute(func() { n <- s.server.frontends.json.Clients().Len() })
		return <-n == 3
	})
	s.exchanges[0].stop()
	for i, key := range keys {
		if got := h.await(t, key, 2); got != "stands "+acceptedDescription(fmt.Sprintf("keep.%d", i))+" end 41" {
			t.Errorf("heard %q", got)
		}
		if got := tester.of(key); got != "" {
			t.Errorf("a connection that never asked heard %q", got)
		}
	}
}

// A release that no connection can carry waits for the next one.
func TestReleaseWaitsForConnection(t *testing.T) {
	t.Parallel()
	s, h := startTestServer(t, false), newAnswerLog()
	k := dialJSONCaller(t, s.jsonAddress(), h, "aaaaaaaa")
	key := k.setUp("keep.1", 4*time.Second)
	h.await(t, key, 1)
	k.close()
	eventually(t, "no caller is connected", func() bool {
		n := make(chan int, 1)
		s.server.loop.Execute(func() { n <- s.server.frontends.json.Clients().Len() })
		return <-n == 0
	})
	s.exchanges[0].stop()
	eventually(t, "the call is cut", func() bool {
		n := make(chan int, 1)
		s.server.loop.Execute(func() { n <- s.server.frontends.json.QueuedReleases() })
		return <-n == 1
	})
	dialJSONCaller(t, s.jsonAddress(), h, "bbbbbbbb")
	if got := h.await(t, key, 2); got != "stands "+acceptedDescription("keep.1")+" end 41" {
		t.Errorf("heard %q", got)
	}
}

// Callers beyond the budget of sockets take the place of idle ones, not of calls.
func TestSocketBudget(t *testing.T) {
	t.Parallel()
	s, h := startTestServer(t, false), newAnswerLog()
	done := make(chan bool)
	s.server.loop.Execute(func() { s.server.frontends.json.Clients().Max = 2; done <- true })
	<-done
	busy := dialJSONCaller(t, s.jsonAddress(), h, "aaaaaaaa")
	busy.setUp("silent.1", 5*time.Second)
	eventually(t, "the set-up is out", func() bool { return s.observations.attemptsTo("silent.1") == 1 })
	for range 5 {
		dialJSONCaller(t, s.jsonAddress(), h, "bbbbbbbb")
	}
	last := dialJSONCaller(t, s.jsonAddress(), h, "cccccccc")
	if got := h.await(t, last.setUp("keep.1", 4*time.Second), 1); got == "" {
		t.Error("no answer on the last connection")
	}
	if n := s.observations.total(&s.observations.canceled); n != 0 {
		t.Errorf("%d set-ups were given up for want of sockets", n)
	}
}

// After SIGTERM set-ups are still taken for a while, and all of them answered.
func TestShutdownAnswersLateSetups(t *testing.T) {
	t.Parallel()
	s, h := startTestServer(t, false), newAnswerLog()
	k := dialJSONCaller(t, s.jsonAddress(), h, "aaaaaaaa")
	open := k.setUp("silent.1", 1500*time.Millisecond)
	eventually(t, "the set-up is out", func() bool { return s.observations.attemptsTo("silent.1") == 1 })
	s.server.Stop()
	late := dialJSONCaller(t, s.jsonAddress(), h, "bbbbbbbb")
	if got := h.await(t, late.setUp("keep.1", 4*time.Second), 1); got == "" {
		t.Error("a set-up just after SIGTERM got no answer")
	}
	if got := h.await(t, open, 1); got != "end 41" {
		t.Errorf("the open set-up got %q", got)
	}
	select {
	case err := <-s.done:
		s.done <- err
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the node did not stop")
	}
}

// SIGKILL does not wait for a call that may stay open for longer: it is answered before.
func TestShutdownEndsBeforeKill(t *testing.T) {
	t.Parallel()
	s, h := startTestServer(t, false), newAnswerLog()
	open := dialJSONCaller(t, s.jsonAddress(), h, "aaaaaaaa").setUp("silent.1", 8*time.Second)
	eventually(t, "the set-up is out", func() bool { return s.observations.attemptsTo("silent.1") == 1 })
	s.server.Stop()
	select {
	case err := <-s.done:
		s.done <- err
		if err != nil {
			t.Error(err)
		}
	case <-time.After(shutdownTimeout + 700*time.Millisecond):
		t.Error("the node has not stopped when SIGKILL may come")
	}
	if got := h.await(t, open, 1); got != "end 34" {
		t.Errorf("the open set-up got %q", got)
	}
}
