package server

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"olivedale/internal/codec/sip"
)

// A fakeExchange is an exchange that does what the test says: it notes what comes and sends what it is told.
type fakeExchange struct {
	t             testing.TB
	listener      net.Listener
	mu            sync.Mutex
	changed       *sync.Cond
	received      []string // method, Call-ID and CSeq, in order, of all connections; 'CLOSED' where one has ended
	receivedOn    []int    // the connection that each came on
	receivedAt    []time.Time
	latestMessage map[string]*sip.Message
	latestConn    net.Conn // the latest
	conns         []net.Conn
	readsNothing  bool // it takes connections and reads nothing
}

func startFakeExchange(t testing.TB, addr string) *fakeExchange {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	x := &fakeExchange{t: t, listener: ln, latestMessage: make(map[string]*sip.Message)}
	x.changed = sync.NewCond(&x.mu)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			x.mu.Lock()
			x.latestConn = c
			x.conns = append(x.conns, c)
			held := x.readsNothing
			x.changed.Broadcast()
			x.mu.Unlock()
			if !held {
				go x.readFrom(c)
			}
		}
	}()
	t.Cleanup(x.stop)
	return x
}

func (x *fakeExchange) addr() string { return x.listener.Addr().String() }

// stop ends its process: nobody listens, its connections are reset.
func (x *fakeExchange) stop() {
	_ = x.listener.Close()
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range x.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (x *fakeExchange) readFrom(c net.Conn) {
	var in sip.Reader
	buf := make([]byte, 8192)
	for {
		n, err := c.Read(buf)
		if err != nil {
			x.record(c, "CLOSED", nil)
			return
		}
		_ = in.Feed(buf[:n], func(m *sip.Message) bool {
			x.record(c, fmt.Sprintf("%s %s %d", m.Method, m.CallID, m.CSeq), m)
			return true
		})
	}
}

func (x *fakeExchange) record(c net.Conn, what string, m *sip.Message) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.received = append(x.received, what)
	x.receivedOn, x.receivedAt = append(x.receivedOn, slices.Index(x.conns, c)), append(x.receivedAt, time.Now())
	if m != nil {
		x.latestMessage[m.Method+m.CallID] = m
	}
	x.changed.Broadcast()
}

// countReceived tells how many messages of a method came for a call.
func (x *fakeExchange) countReceived(method, id string) (n int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, s := range x.received {
		if strings.HasPrefix(s, method+" "+id+" ") {
			n++
		}
	}
	return n
}

// awaitReceived waits until so many messages of a method have come for a call.
func (x *fakeExchange) awaitReceived(method, id string, n int) {
	x.t.Helper()
	eventually(x.t, fmt.Sprintf("%d of %s %s", n, method, id), func() bool { return x.countReceived(method, id) >= n })
}

func (x *fakeExchange) awaitConn() net.Conn {
	x.t.Helper()
	eventually(x.t, "a connection to the exchange", func() bool {
		x.mu.Lock()
		defer x.mu.Unlock()
		return x.latestConn != nil
	})
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.latestConn
}

// sipResponse is an answer as it goes over the wire.
func sipResponse(id, method string, status, cseq int, body string) []byte {
	return fmt.Appendf(nil, "SIP/2.0 %d X\r\nCall-ID: %s\r\nCSeq: %d %s\r\nContent-Length: %d\r\n\r\n%s", status, id, cseq, method, len(body), body)
}

// sipRelease is a release by the exchange as it goes over the wire.
func sipRelease(id string, cause int) []byte {
	return sip.AppendRequest(nil, &sip.Request{Method: "BYE", Number: "1", CallID: id, CSeq: 90,
		Headers: []sip.Header{{Name: "Reason", Value: fmt.Sprint("Q.850;cause=", cause)}}})
}

func (x *fakeExchange) send(b []byte) { _, _ = x.awaitConn().Write(b) }

// resetConn breaks a connection off from the peer's side.
func resetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// awaitInvite waits for the nth set-up to come and tells its id.
func (x *fakeExchange) awaitInvite(n int) (id string) {
	x.t.Helper()
	eventually(x.t, fmt.Sprint(n, " set-ups"), func() bool {
		x.mu.Lock()
		defer x.mu.Unlock()
		seen := 0
		for _, s := range x.received {
			if f := strings.Fields(s); f[0] == "INVITE" {
				if seen++; seen == n {
					id = f[1]
				}
			}
		}
		return id != ""
	})
	return id
}
