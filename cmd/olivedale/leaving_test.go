package main

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"
)

// maxForwardDelay is the time after which nothing may be sent to an exchange for a client that has left.
const maxForwardDelay = 300 * time.Millisecond

// Guards against set-ups that are sent to an exchange after their client has left: it closed its connection while most of
// what it had sent was unread, and all of that was read and sent on.
func TestClientLeavesWithABacklog(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn) error{
		"closes":                   func(c *net.TCPConn) error { return c.Close() },
		"resets":                   func(c *net.TCPConn) error { _ = c.SetLinger(0); return c.Close() },
		"half-closes, then closes": func(c *net.TCPConn) error { _ = c.CloseWrite(); time.Sleep(time.Millisecond); return c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			p := startLimited(t, limitedSockets)
			conn, err := net.Dial("tcp", p.listen)
			if err != nil {
				t.Fatal(err)
			}
			var backlog []byte
			for n := 0; len(backlog) < 8<<20; n++ {
				backlog = append(backlog, jsonSetup(fmt.Sprintf(backlogPrefix+"%015x", n))...)
			}
			_ = conn.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
			written, _ := conn.Write(backlog)
			if err := leave(conn.(*net.TCPConn)); err != nil {
				t.Error(err)
			}
			var probing sync.WaitGroup
			probing.Go(func() { p.probe(t, 2*time.Second) })
			time.Sleep(maxForwardDelay)
			before := p.exchange.backlogInvites.Load()
			probing.Wait()
			late := p.exchange.backlogInvites.Load() - before
			t.Logf("%d bytes written, %d set-ups sent on within %v, %d later",
				written, before, maxForwardDelay, late)
			if late > 0 {
				t.Errorf("%d set-ups were sent on later than %v after their client had left", late, maxForwardDelay)
			}
			p.check(t, true)
		})
	}
}
