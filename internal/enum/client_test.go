package enum

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/miekg/dns"

	"olivedale/internal/numbering"
	"olivedale/internal/portability"
)

// answerDelay is the delay of a slow server. It exceeds the time-outs of queries and calls.
const answerDelay = 5 * time.Second

// fakeServer is a DNS server whose behavior depends on mode.
type fakeServer struct {
	conn net.PacketConn
	mode string
}

func startServer(t *testing.T, mode string) *fakeServer {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeServer{conn: conn, mode: mode}
	t.Cleanup(func() { _ = conn.Close() })
	go s.serve()
	return s
}

func (s *fakeServer) address() string { return s.conn.LocalAddr().String() }

func (s *fakeServer) serve() {
	buffer := make([]byte, 2048)
	for {
		n, client, err := s.conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		s.answer(buffer[:n], client)
	}
}

func (s *fakeServer) answer(query []byte, client net.Addr) {
	var q, m dns.Msg
	if q.Unpack(query) != nil {
		return
	}
	m.SetReply(&q)
	record, err := dns.NewRR(m.Question[0].Name + ` 60 IN NAPTR 1 1 "u" "E2U+pstn:tel" "!^.*$!tel:+1;rn=+56999!" .`)
	if err != nil {
		return
	}
	m.Answer = []dns.RR{record}
	delay := time.Duration(0)
	switch s.mode {
	case "silent":
		return
	case "slow":
		delay = answerDelay
	case "failure":
		m.Rcode, m.Answer = dns.RcodeServerFailure, nil
	case "truncated":
		m.Truncated = true
	case "other question":
		m.Question[0].Name = "9." + m.Question[0].Name
	case "other ID":
		m.Id++
	case "malformed":
		_, _ = s.conn.WriteTo([]byte("noise"), client)
		return
	case "60 KB":
		_, _ = s.conn.WriteTo(append(query[:2:2], make([]byte, 60000)...), client)
		return
	}
	if b, err := m.Pack(); err == nil {
		time.AfterFunc(delay, func() { _, _ = s.conn.WriteTo(b, client) })
	}
}

// With any fault of the first server, each call gets one result in time: the answer of the second server if that one
// works, or else a result without an answer by its deadline.
func TestClientWithFaultyServers(t *testing.T) {
	for _, mode := range []string{
		"works", "silent", "slow", "failure", "truncated", "other question", "other ID", "malformed", "60 KB",
	} {
		for _, both := range []bool{false, true} {
			t.Run(fmt.Sprint(mode, " ", both), func(t *testing.T) {
				t.Parallel()
				secondMode := "works"
				if both {
					secondMode = mode
				}
				testClient(t, mode, secondMode)
			})
		}
	}
}

// results collects the results of calls, which several goroutines may deliver.
type results struct {
	mu        sync.Mutex
	byCall    map[string]portability.Result
	late      int
	duplicate int
	pending   sync.WaitGroup
}

func (r *results) add(call string, result portability.Result, isLate bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, exists := r.byCall[call]; exists {
		r.duplicate++
		return
	}
	r.byCall[call] = result
	if isLate {
		r.late++
	}
	r.pending.Done()
}

// wait waits until each call has a result.
func (r *results) wait(t *testing.T) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		r.pending.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("a call got no result")
	}
}

func testClient(t *testing.T, firstMode, secondMode string) {
	const (
		calls     = 40
		timeout   = 2 * time.Second
		tolerance = 2 * time.Second // the tests of package portability check exact times
	)
	first, second := startServer(t, firstMode), startServer(t, secondMode)
	settings := portability.DefaultSettings(2)
	settings.QueryTimeout = 200 * time.Millisecond
	c, err := Dial([]string{first.address(), second.address()}, suffix, settings)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	got := results{byCall: make(map[string]portability.Result)}
	for i := range calls {
		got.pending.Add(1)
		call, startedAt := fmt.Sprint(i), time.Now()
		deliver := func(r portability.Result) { got.add(call, r, time.Since(startedAt) > timeout+tolerance) }
		if !c.LookUp(call, fmt.Sprintf("56%04d", i%20), timeout, deliver) {
			t.Fatal("the queue is full")
		}
	}
	got.wait(t)
	got.mu.Lock()
	defer got.mu.Unlock()
	for call, r := range got.byCall {
		isPorted := r.Ported.State == numbering.Ported && r.Ported.Routing.String() == "56999"
		hasAnswer := firstMode == "works" || secondMode == "works"
		if hasAnswer && !isPorted || !hasAnswer && r.Ported.State != numbering.PortingUnknown {
			t.Errorf("call %s: %+v", call, r)
		}
	}
	if got.late+got.duplicate > 0 {
		t.Errorf("%d late and %d duplicate results", got.late, got.duplicate)
	}
	n := c.Counters()
	if n.Calls != calls || firstMode == "works" && n.Coalesced+n.CacheHits < calls/2 {
		t.Errorf("%+v", n)
	}
}

// A canceled call gets no result. Close returns when all goroutines have ended, also if it is called a second time.
func TestCancelAndClose(t *testing.T) {
	server := startServer(t, "silent")
	c, err := Dial([]string{server.address()}, suffix, portability.DefaultSettings(1))
	if err != nil {
		t.Fatal(err)
	}
	var results atomic.Int64
	c.LookUp("a", "561", time.Minute, func(portability.Result) { results.Add(1) })
	c.Cancel("a")
	done := make(chan struct{})
	c.LookUp("b", "562", 30*time.Millisecond, func(portability.Result) { close(done) })
	<-done
	if results.Load() != 0 {
		t.Error("a canceled call got a result")
	}
	deadline := time.Now().Add(5 * time.Second)
	for c.Counters().Calls != 2 || c.Counters().Unanswered != 1 {
		if time.Now().After(deadline) {
			t.Fatalf("%+v", c.Counters())
		}
		time.Sleep(time.Millisecond)
	}
	c.Close()
	c.Close()
}
