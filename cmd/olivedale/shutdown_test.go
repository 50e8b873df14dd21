package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// shutdownClient sends set-ups one at a time on an open connection until the program closes it.
type shutdownClient struct {
	process  *process
	number   int
	sent     int
	answered *atomic.Int64
}

// sendSetup sends a set-up on a connection and waits for its answer.
func (c *shutdownClient) sendSetup(conn net.Conn, id string) error {
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, err := fmt.Fprintf(conn, `{"verb":"START","tag":"%s","opts":{"class":"voice","left":"900","key":"1"},"blob":"o"}`+"\n", id)
	if err != nil {
		return err
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err == nil && strings.Contains(line, id) {
		c.answered.Add(1)
		return nil
	}
	return fmt.Errorf("answer %q: %w", line, err)
}

// shutdownLines returns the log lines about the shutdown and about set-ups that arrive during it.
func shutdownLines(log string) (found string) {
	for line := range strings.Lines(log) {
		if strings.Contains(line, "event=late_") || strings.Contains(line, "event=stopping") {
			found += line
		}
	}
	return found
}

// run sends set-ups until the connection closes, and returns an error if a set-up was lost. A set-up that was in flight
// when the connection closed is sent again on a new connection. If that is refused, the set-up is not lost: the program
// never accepted it.
func (c *shutdownClient) run() error {
	conn, err := net.Dial("tcp", c.process.listen)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	for {
		c.sent++
		id := fmt.Sprintf("%08x%08x", c.number, c.sent)
		if c.sendSetup(conn, id) == nil {
			time.Sleep(time.Millisecond)
			continue
		}
		lostAt := time.Now()
		retryConn, err := net.Dial("tcp", c.process.listen)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil
		}
		if err != nil {
			return err
		}
		defer func() { _ = retryConn.Close() }()
		dialTime := time.Since(lostAt)
		if err := c.sendSetup(retryConn, id); err != nil {
			return fmt.Errorf("%w: failed %v after the connection closed at %v; reconnecting took %v",
				err, time.Since(lostAt), lostAt, dialTime)
		}
		return nil
	}
}

// Clients that continue on open connections after SIGTERM lose no set-up, not even one that is in flight when the
// exiting process closes the connection.
func TestNoSetupIsLostAtShutdown(t *testing.T) {
	t.Parallel()
	const rounds, clients = 6, 6
	var lost, answered atomic.Int64
	var running sync.WaitGroup
	for range rounds {
		p := start(t, "127.0.0.1:9")
		p.connect(t)
		for number := range clients {
			running.Go(func() {
				c := &shutdownClient{process: p, number: number, answered: &answered}
				if err := c.run(); err != nil {
					lost.Add(1)
					t.Errorf("client %d, set-up %d: %v", number, c.sent, err)
				}
			})
		}
		running.Go(func() {
			time.Sleep(50 * time.Millisecond)
			p.signal(t, syscall.SIGTERM)
			if err := p.Wait(); err != nil {
				t.Errorf("after SIGTERM: %v", err)
			}
			t.Logf("%s", shutdownLines(p.log.String()))
		})
	}
	running.Wait()
	t.Logf("%d set-ups were answered, %d were lost", answered.Load(), lost.Load())
	if answered.Load() < rounds*clients {
		t.Error("fewer set-ups were answered than one per client")
	}
}
