package cluster

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestMain implements the command "hold" of olivesim, because the test binary takes the place of olivesim in the tests.
func TestMain(m *testing.M) {
	if len(os.Args) == 4 && os.Args[1] == "hold" {
		pid, err := strconv.Atoi(os.Args[3])
		if err == nil {
			err = KillWithParent(os.Args[2], pid)
		}
		if err != nil {
			os.Exit(1)
		}
		os.Exit(0)
	}
	code := m.Run()
	if programsDir != "" {
		_ = os.RemoveAll(programsDir)
	}
	os.Exit(code)
}

// startEchoServer starts a TCP server that sends back what it receives, and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return ln.Addr().String()
}

// capturedTraffic stores the data and the ends of connections that an observer was called with, by direction.
type capturedTraffic struct {
	mu   sync.Mutex
	data [2]strings.Builder
	ends [2]int
}

func (s *capturedTraffic) observe(direction Direction, b []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b == nil {
		s.ends[direction]++
	}
	s.data[direction].Write(b)
}

func (s *capturedTraffic) text(direction Direction) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.data[direction].String()
}

// waitFor waits until ok returns true, and fails the test after 10 s.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timeout after 10 s: %s", what)
		}
	}
}

// A lineConn is a client connection that sends and receives lines.
type lineConn struct {
	net.Conn
	in *bufio.Reader
}

func dial(t *testing.T, s *streamProxy) *lineConn {
	t.Helper()
	c, err := net.Dial("tcp", s.address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &lineConn{c, bufio.NewReader(c)}
}

func (l *lineConn) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(l, text+"\n"); err != nil {
		t.Fatal(err)
	}
}

// receive waits up to d for a line and returns it, or "" if none arrives.
func (l *lineConn) receive(t *testing.T, d time.Duration) string {
	t.Helper()
	_ = l.SetReadDeadline(time.Now().Add(d))
	text, err := l.in.ReadString('\n')
	if err != nil {
		return ""
	}
	return strings.TrimSpace(text)
}

// A streamFixture is a stream proxy in front of an echo server, with the traffic that its observers captured.
type streamFixture struct {
	*streamProxy
	seen *capturedTraffic
}

func newStreamFixture(t *testing.T) *streamFixture {
	t.Helper()
	addr := startEchoServer(t)
	seen := &capturedTraffic{}
	target := func() string { return addr }
	s, err := newStreamProxy("n0", "x0", target, func() observer { return seen.observe })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.close)
	return &streamFixture{s, seen}
}

// impair adds an impairment to the proxy and returns a function that removes it.
func (s *streamFixture) impair(i Impairment, directions ...Direction) (remove func()) {
	f := &Fault{}
	s.update(func() {
		for _, d := range directions {
			s.impairments[d][f] = i
		}
	})
	return func() {
		s.update(func() {
			for _, d := range directions {
				delete(s.impairments[d], f)
			}
		})
	}
}

// TestStreamFaults checks the effect of each fault of streams on a connection through a proxy.
func TestStreamFaults(t *testing.T) {
	t.Parallel()
	s := newStreamFixture(t)
	c := dial(t, s.streamProxy)
	c.send(t, "one")
	if got := c.receive(t, 10*time.Second); got != "one" {
		t.Fatalf("without a fault, received %q", got)
	}
	t.Run("one-way partition", func(t *testing.T) { testOneWayPartition(t, s, c) })
	t.Run("delay", func(t *testing.T) { testDelay(t, s, c) })
	t.Run("bandwidth limit", func(t *testing.T) { testBandwidthLimit(t, s, c) })
	t.Run("half-open, then reset", func(t *testing.T) { testHalfOpenAndReset(t, s) })
}

func testOneWayPartition(t *testing.T, s *streamFixture, c *lineConn) {
	remove := s.impair(Impairment{Blocked: true}, Backward)
	c.send(t, "two")
	waitFor(t, "data arrives in the forward direction", func() bool { return strings.Contains(s.seen.text(Forward), "two") })
	if got := c.receive(t, 100*time.Millisecond); got != "" || strings.Contains(s.seen.text(Backward), "two") {
		t.Errorf("while the backward direction was blocked, received %q", got)
	}
	remove()
	if got := c.receive(t, 10*time.Second); got != "two" {
		t.Errorf("after the partition, received %q", got)
	}
}

func testDelay(t *testing.T, s *streamFixture, c *lineConn) {
	remove := s.impair(Impairment{Delay: 150 * time.Millisecond}, Forward, Backward)
	defer remove()
	start := time.Now()
	c.send(t, "three")
	if got := c.receive(t, 10*time.Second); got != "three" || time.Since(start) < 300*time.Millisecond {
		t.Errorf("with a delay of 150 ms each way, received %q after %v", got, time.Since(start))
	}
}

func testBandwidthLimit(t *testing.T, s *streamFixture, c *lineConn) {
	remove := s.impair(Impairment{BytesPerSecond: 20_000}, Forward)
	defer remove()
	start := time.Now()
	for range 3 {
		c.send(t, strings.Repeat("x", 4000))
		c.receive(t, 10*time.Second)
	}
	if took := time.Since(start); took < 300*time.Millisecond {
		t.Errorf("12 kB at 20 kB a second took %v", took)
	}
}

// testHalfOpenAndReset must run last, because it resets all connections.
func testHalfOpenAndReset(t *testing.T, s *streamFixture) {
	halfOpen := &Fault{Kind: FaultHalfOpen}
	s.update(func() { s.halfOpen[halfOpen] = true })
	c := dial(t, s.streamProxy)
	c.send(t, "four")
	if got := c.receive(t, 100*time.Millisecond); got != "" {
		t.Errorf("a half-open connection forwarded %q", got)
	}
	s.update(func() { delete(s.halfOpen, halfOpen) })
	if got := c.receive(t, 10*time.Second); got != "four" {
		t.Errorf("after the half-open fault, received %q", got)
	}

	s.reset()
	if _, err := c.in.ReadByte(); err == nil {
		t.Error("a connection is still open after a reset")
	}
	waitFor(t, "the observer is told the end of both connections", func() bool {
		s.seen.mu.Lock()
		defer s.seen.mu.Unlock()
		return s.seen.ends[Forward] >= 2
	})
	next := dial(t, s.streamProxy)
	next.send(t, "five")
	if got := next.receive(t, 10*time.Second); got != "five" {
		t.Errorf("on a new connection after a reset, received %q", got)
	}
}

// TestDatagramFaults checks the effect of each fault of datagrams on a hundred datagrams through a proxy.
func TestDatagramFaults(t *testing.T) {
	t.Parallel()
	server, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	go func() {
		b := make([]byte, 100)
		for {
			n, from, err := server.ReadFrom(b)
			if err != nil {
				return
			}
			_, _ = server.WriteTo(b[:n], from)
		}
	}()
	d, err := newDatagramProxy("n0", "names", server.LocalAddr().String(), rand.New(rand.NewPCG(1, 1)), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer d.close()
	c, err := net.Dial("udp", d.address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	// countEchoes sends a hundred datagrams and counts those that come back, and how many of them out of order.
	countEchoes := func(direction Direction, impairment Impairment) (n, reordered int) {
		f := &Fault{}
		d.update(func() { d.impairments[direction][f] = impairment })
		defer d.update(func() { delete(d.impairments[direction], f) })
		for i := range 100 {
			if _, err := c.Write([]byte{byte(i)}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Millisecond)
		}
		b, last := make([]byte, 10), -1
		for {
			_ = c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
			if _, err := c.Read(b); err != nil {
				return n, reordered
			}
			n++
			if int(b[0]) < last {
				reordered++
			}
			last = int(b[0])
		}
	}
	if n, reordered := countEchoes(Forward, Impairment{}); n != 100 || reordered != 0 {
		t.Errorf("without a fault, %d of 100 came back, %d out of order", n, reordered)
	}
	if n, _ := countEchoes(Forward, Impairment{LossRate: 0.5}); n < 25 || n > 75 {
		t.Errorf("with a loss rate of 0.5, %d of 100 came back", n)
	}
	if n, _ := countEchoes(Backward, Impairment{DuplicationRate: 0.5}); n < 125 || n > 175 {
		t.Errorf("with a duplication rate of 0.5, %d of 100 came back", n)
	}
	if n, reordered := countEchoes(Backward, Impairment{Jitter: 100 * time.Millisecond}); n != 100 || reordered < 10 {
		t.Errorf("with up to 100 ms of jitter, %d of 100 came back, %d out of order", n, reordered)
	}
	if n, _ := countEchoes(Backward, Impairment{Blocked: true}); n != 0 {
		t.Errorf("through a partition, %d of 100 came back", n)
	}
}
