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

// shutdownClient sends set-ups on an open connection, one behind the answer of the other, until the program closes it.
type shutdownClient struct {
	process  *process
	number   int
	sent     int
	answered *atomic.Int64
}

// offer sends a set-up on a connection and awaits its answer.
func (c *shutdownClient) offer(conn net.Conn, id string) error {
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
	return fmt.Errorf("answered %q, %w", line, err)
}

// lateLines returns the lines of a log that concern connections at the end.
func lateLines(log string) (found string) {
	for line := range strings.Lines(log) {
		if strings.Contains(line, "event=late_") || strings.Contains(line, "event=stopping") {
			found += line
		}
	}
	return found
}

// run returns the error of a set-up that nobody answered. One that crosses the close of its connection is sent again on
// a new connection; where that is refused, nobody has taken it.
func (c *shutdownClient) run() error {
	conn, err := net.Dial("tcp", c.process.listen)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	for {
		c.sent++
		id := fmt.Sprintf("%08x%08x", c.number, c.sent)
		if c.offer(conn, id) == nil {
			time.Sleep(time.Millisecond)
			continue
		}
		lostAt := time.Now()
		again, err := net.Dial("tcp", c.process.listen)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil
		}
		if err != nil {
			return err
		}
		defer func() { _ = again.Close() }()
		dialed := time.Since(lostAt)
		if err := c.offer(again, id); err != nil {
			return fmt.Errorf("%w, after %v and %v to connect, at %v", err, time.Since(lostAt), dialed, lostAt)
		}
		return nil
	}
}

// Clients that go on with open connections after SIGTERM lose no set-up, also not one that crosses the close of its
// connection as the process ends.
func TestNoSetupIsLostAtShutdown(t *testing.T) {
	t.Parallel()
	const rounds, clients = 6, 6
	var lost, answered atomic.Int64
	var playing sync.WaitGroup
	for range rounds {
		p := start(t, "127.0.0.1:9")
		p.connect(t)
		for number := range clients {
			playing.Go(func() {
				c := &shutdownClient{process: p, number: number, answered: &answered}
				if err := c.run(); err != nil {
					lost.Add(1)
					t.Errorf("client %d, set-up %d: %v", number, c.sent, err)
				}
			})
		}
		playing.Go(func() {
			time.Sleep(50 * time.Millisecond)
			p.signal(t, syscall.SIGTERM)
			if err := p.Wait(); err != nil {
				t.Errorf("after SIGTERM: %v", err)
			}
			t.Logf("%s", lateLines(p.log.String()))
		})
	}
	playing.Wait()
	t.Logf("%d set-ups were answered, %d were lost", answered.Load(), lost.Load())
	if answered.Load() < rounds*clients {
		t.Error("hardly any set-up was answered")
	}
}
