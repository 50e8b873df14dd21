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

// A fakeExchange is an exchange under the control of the test: it records what it receives and sends only what the test
// tells it to. The entries of received, receivedOn and receivedAt correspond; latestMessage is by method and Call-ID.
type fakeExchange struct {
	t             testing.TB
	listener      net.Listener
	mu            sync.Mutex
	changed       *sync.Cond
	received      []string // method, Call-ID and CSeq of messages on all connections; 'CLOSED' for a close
	receivedOn    []int    // index of the connection
	receivedAt    []time.Time
	latestMessage map[string]*sip.Message
	latestConn    net.Conn // most recently accepted connection
	conns         []net.Conn
	readsNothing  bool // connections are accepted but not read
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

func (e *fakeExchange) addr() string { return e.listener.Addr().String() }

// stop simulates the end of the process: the listener is closed and the connections are reset.
func (e *fakeExchange) stop() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (e *fakeExchange) readFrom(c net.Conn) {
	var in sip.Reader
	buf := make([]byte, 8192)
	for {
		n, err := c.Read(buf)
		if err != nil {
			e.record(c, "CLOSED", nil)
			return
		}
		_ = in.Feed(buf[:n], func(m *sip.Message) bool {
			e.record(c, fmt.Sprintf("%s %s %d", m.Method, m.CallID, m.CSeq), m)
			return true
		})
	}
}

func (e *fakeExchange) record(c net.Conn, what string, m *sip.Message) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received = append(e.received, what)
	e.receivedOn, e.receivedAt = append(e.receivedOn, slices.Index(e.conns, c)), append(e.receivedAt, time.Now())
	if m != nil {
		e.latestMessage[m.Method+m.CallID] = m
	}
	e.changed.Broadcast()
}

// countReceived returns the number of messages with a method that have been received for a call.
func (e *fakeExchange) countReceived(method, id string) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.received {
		if strings.HasPrefix(s, method+" "+id+" ") {
			n++
		}
	}
	return n
}

// awaitReceived waits until n messages with a method have been received for a call.
func (e *fakeExchange) awaitReceived(method, id string, n int) {
	e.t.Helper()
	eventually(e.t, fmt.Sprintf("%d messages %s %s", n, method, id), func() bool { return e.countReceived(method, id) >= n })
}

func (e *fakeExchange) awaitConn() net.Conn {
	e.t.Helper()
	eventually(e.t, "a connection to the exchange", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.latestConn != nil
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.latestConn
}

// sipResponse returns an encoded SIP response of an exchange.
func sipResponse(id, method string, status, cseq int, body string) []byte {
	return fmt.Appendf(nil, "SIP/2.0 %d X\r\nCall-ID: %s\r\nCSeq: %d %s\r\nContent-Length: %d\r\n\r\n%s", status, id, cseq, method, len(body), body)
}

// sipRelease returns an encoded release by an exchange.
func sipRelease(id string, cause int) []byte {
	return sip.AppendRequest(nil, &sip.Request{Method: "BYE", Number: "1", CallID: id, CSeq: 90,
		Headers: []sip.Header{{Name: "Reason", Value: fmt.Sprint("Q.850;cause=", cause)}}})
}

func (e *fakeExchange) send(b []byte) { _, _ = e.awaitConn().Write(b) }

// resetConn resets a connection from the side of the peer.
func resetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// awaitInvite waits for the nth set-up and returns its call id.
func (e *fakeExchange) awaitInvite(n int) (id string) {
	e.t.Helper()
	eventually(e.t, fmt.Sprint(n, " set-ups"), func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		seen := 0
		for _, s := range e.received {
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
