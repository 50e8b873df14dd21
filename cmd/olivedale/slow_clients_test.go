package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// slowClients is more than the process accepts with manySockets.
	slowClients = 800
	// slowTime is how long the slow clients stay, and connect again when they are closed.
	slowTime = 4 * time.Second
	// maxUnservedTime is the time within which a bad client must have an answer or a close.
	maxUnservedTime = 3 * time.Second
)

// A slowClient sends the first part of a message at once and then goes on byte by byte.
type slowClient struct {
	name    string
	address func(p *limitedProcess, n int) string // of the nth client
	// message returns the message of the nth client, of which the first part is sent at once.
	message func(n int) (first, rest []byte)
	pause   time.Duration // between two bytes of the rest; 0 means that nothing more is sent
}

// cut splits a message.
func cut(message []byte, at int) (first, rest []byte) { return message[:at], message[at:] }

// largeSetup returns a set-up of the maximum size with a description of short lines.
func largeSetup(n int) []byte {
	const lines = 3900
	return fmt.Appendf(nil, `{"verb":"START","tag":"7%015x","opts":{"class":"voice","left":"5000","key":"1"},"blob":"%s"}`+"\n",
		n, strings.Repeat(`\r\na`, lines/5*4))
}

func largeAdd(n int) []byte {
	return h248Frame(fmt.Sprintf("<slow%d>", n), addText(1, "line/1{"+strings.Repeat("a{b=c},", 1900)+"a}"))
}

func callers(p *limitedProcess, _ int) string  { return p.listen }
func gateways(p *limitedProcess, _ int) string { return p.gateways }

// allListeners spreads the clients over the listeners.
func allListeners(p *limitedProcess, n int) string {
	return []string{p.listen, p.gateways, p.admin, p.listen}[n%4]
}

var slowKinds = []slowClient{
	{name: "JSON, stopped half way", address: callers,
		message: func(n int) (first, rest []byte) { m := largeSetup(n); return cut(m, len(m)-100) }},
	{name: "JSON, a byte a second", address: callers, pause: time.Second,
		message: func(n int) (first, rest []byte) { return cut(largeSetup(n), 5000) }},
	{name: "JSON, short fields", address: callers, pause: 100 * time.Millisecond, message: func(int) (first, rest []byte) {
		m := []byte(`{"verb":"START","opts":{` + strings.Repeat(`"a":1,`, 2700) + `"b":1}}` + "\n")
		return cut(m, len(m)-20)
	}},
	{name: "H.248, stopped half way", address: gateways,
		message: func(n int) (first, rest []byte) { m := largeAdd(n); return cut(m, len(m)-100) }},
	{name: "H.248, a byte each 100 ms", address: gateways, pause: 100 * time.Millisecond,
		message: func(n int) (first, rest []byte) { m := largeAdd(n); return cut(m, len(m)-30) }},
	{name: "all listeners, stopped half way", address: allListeners, message: func(n int) (first, rest []byte) {
		m := largeSetup(n)
		if n%4 == 1 || n%4 == 2 {
			m = largeAdd(n)
		}
		return cut(m, len(m)-100)
	}},
	{name: "all listeners, nothing", address: allListeners, message: func(int) (first, rest []byte) { return nil, nil }},
}

// run connects, sends the message and waits for the close, until the time is over. It returns the longest time without
// an answer or a close.
func (s *slowClient) run(p *limitedProcess, n int, end time.Time) (unserved time.Duration) {
	for time.Now().Before(end) {
		conn, err := net.Dial("tcp", s.address(p, n))
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		start := time.Now()
		s.runOn(conn, n, end)
		unserved = max(unserved, time.Since(start))
		time.Sleep(20 * time.Millisecond) // the machine has many such clients
	}
	return unserved
}

func (s *slowClient) runOn(conn net.Conn, n int, end time.Time) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(end)
	first, rest := s.message(n)
	_, _ = conn.Write(first)
	closed := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, conn)
		close(closed)
	}()
	for i := 0; s.pause > 0 && i < len(rest); i++ {
		select {
		case <-closed:
			return
		case <-time.After(s.pause):
			_, _ = conn.Write(rest[i : i+1])
		}
	}
	<-closed
}

// Guards against a process that exceeds its memory or its descriptors, or answers other clients late, while hundreds of
// clients write slowly or stop in the middle of a large message.
func TestSlowClients(t *testing.T) {
	for _, s := range slowKinds {
		t.Run(s.name, func(t *testing.T) {
			p := startLimited(t, manySockets)
			end := time.Now().Add(slowTime)
			var clients sync.WaitGroup
			var mu sync.Mutex
			longest := time.Duration(0)
			for n := range slowClients {
				clients.Go(func() {
					unserved := s.run(p, n, end)
					mu.Lock()
					defer mu.Unlock()
					longest = max(longest, unserved)
				})
			}
			clients.Go(func() { p.probe(t, slowTime) })
			clients.Wait()
			if longest > maxUnservedTime {
				t.Errorf("a slow client had no answer and no close for %v", longest)
			}
			p.check(t, false)
		})
	}
}
