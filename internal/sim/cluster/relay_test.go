package cluster

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestMain lets the test's own program stand for olivesim's command "hold".
func TestMain(m *testing.M) {
	if len(os.Args) == 4 && os.Args[1] == "hold" {
		pid, err := strconv.Atoi(os.Args[3])
		if err == nil {
			err = Hold(os.Args[2], pid)
		}
		if err != nil {
			os.Exit(1)
		}
		os.Exit(0)
	}
	code := m.Run()
	if built != "" {
		_ = os.RemoveAll(built)
	}
	os.Exit(code)
}

// echo answers each line on a connection with the same line.
func echo(t *testing.T) string {
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

// seen keeps what a tap saw.
type seen struct {
	mu  sync.Mutex
	way [2]strings.Builder
	end [2]int
}

func (s *seen) tap(w Direction, b []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b == nil {
		s.end[w]++
	}
	s.way[w].Write(b)
}

func (s *seen) text(w Direction) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.way[w].String()
}

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within 10 s", what)
		}
	}
}

type line struct {
	net.Conn
	in *bufio.Reader
}

func dial(t *testing.T, s *streamProxy) *line {
	t.Helper()
	c, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &line{c, bufio.NewReader(c)}
}

func (l *line) say(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(l, text+"\n"); err != nil {
		t.Fatal(err)
	}
}

// hears waits for a line for so long; "": none came.
func (l *line) hears(t *testing.T, d time.Duration) string {
	t.Helper()
	_ = l.SetReadDeadline(time.Now().Add(d))
	text, err := l.in.ReadString('\n')
	if err != nil {
		return ""
	}
	return strings.TrimSpace(text)
}

func TestStreamFaults(t *testing.T) {
	t.Parallel()
	addr := echo(t)
	saw := &seen{}
	s, err := newStreamProxy("n0", "x0", func() string { return addr }, func() observer { return saw.tap })
	if err != nil {
		t.Fatal(err)
	}
	defer s.close()
	put := func(f *Fault, w Direction, shape Impairment) { s.update(func() { s.impairments[w][f] = shape }) }
	lift := func(f *Fault) {
		s.update(func() { delete(s.impairments[Forward], f); delete(s.impairments[Backward], f); delete(s.halfOpen, f) })
	}
	c := dial(t, s)
	c.say(t, "one")
	if got := c.hears(t, 10*time.Second); got != "one" {
		t.Fatalf("without a fault %q came back", got)
	}

	cut := &Fault{Kind: FaultOneWayPartition}
	put(cut, Backward, Impairment{Blocked: true})
	c.say(t, "two")
	until(t, "the way there is open", func() bool { return strings.Contains(saw.text(Forward), "two") })
	if got := c.hears(t, 100*time.Millisecond); got != "" || strings.Contains(saw.text(Backward), "two") {
		t.Errorf("while the way back was cut %q came back", got)
	}
	lift(cut)
	if got := c.hears(t, 10*time.Second); got != "two" {
		t.Errorf("after the cut %q came back", got)
	}

	slow := &Fault{Kind: FaultDelay}
	put(slow, Forward, Impairment{Delay: 150 * time.Millisecond})
	put(slow, Backward, Impairment{Delay: 150 * time.Millisecond})
	began := time.Now()
	c.say(t, "three")
	if got := c.hears(t, 10*time.Second); got != "three" || time.Since(began) < 300*time.Millisecond {
		t.Errorf("with 150 ms each way %q came back after %v", got, time.Since(began))
	}
	lift(slow)

	thin := &Fault{Kind: FaultBandwidthLimit}
	put(thin, Forward, Impairment{BytesPerSecond: 20_000})
	began = time.Now()
	for range 3 {
		c.say(t, strings.Repeat("x", 4000))
		c.hears(t, 10*time.Second)
	}
	if took := time.Since(began); took < 300*time.Millisecond {
		t.Errorf("12 kB at 20 kB a second took %v", took)
	}
	lift(thin)

	hold := &Fault{Kind: FaultHalfOpen}
	s.update(func() { s.halfOpen[hold] = true })
	d := dial(t, s)
	d.say(t, "four")
	if got := d.hears(t, 100*time.Millisecond); got != "" {
		t.Errorf("a connection that leads nowhere brought %q", got)
	}
	lift(hold)
	if got := d.hears(t, 10*time.Second); got != "four" {
		t.Errorf("once it leads on, %q came back", got)
	}

	s.reset()
	if _, err := d.in.ReadByte(); err == nil {
		t.Error("a connection outlived its reset")
	}
	until(t, "the tap sees both ends", func() bool {
		saw.mu.Lock()
		defer saw.mu.Unlock()
		return saw.end[Forward] >= 2
	})
	if e := dial(t, s); e != nil {
		e.say(t, "five")
		if got := e.hears(t, 10*time.Second); got != "five" {
			t.Errorf("after a reset %q came back on a new connection", got)
		}
	}
}

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
	defer d.path.close()
	c, err := net.Dial("udp", d.socket.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	// came counts what comes back of a hundred datagrams, and those that came out of order.
	came := func(way Direction, shape Impairment) (n, disorder int) {
		f := &Fault{}
		d.update(func() { d.impairments[way][f] = shape })
		defer d.update(func() { delete(d.impairments[way], f) })
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
				return n, disorder
			}
			n++
			if int(b[0]) < last {
				disorder++
			}
			last = int(b[0])
		}
	}
	if n, disorder := came(Forward, Impairment{}); n != 100 || disorder != 0 {
		t.Errorf("without a fault %d of 100 came back, %d out of order", n, disorder)
	}
	if n, _ := came(Forward, Impairment{LossRate: 0.5}); n < 25 || n > 75 {
		t.Errorf("with half lost %d of 100 came back", n)
	}
	if n, _ := came(Backward, Impairment{DuplicationRate: 0.5}); n < 125 || n > 175 {
		t.Errorf("with half of them twice %d of 100 came back", n)
	}
	if n, disorder := came(Backward, Impairment{Jitter: 100 * time.Millisecond}); n != 100 || disorder < 10 {
		t.Errorf("with up to 100 ms of their own %d of 100 came back, %d out of order", n, disorder)
	}
	if n, _ := came(Backward, Impairment{Blocked: true}); n != 0 {
		t.Errorf("through a cut %d of 100 came back", n)
	}
}

// What the rig started ends with it, whoever started it and however the rig ends; a process that has
// ended before is nobody's business any more.
func TestTetherEndsWhatItHolds(t *testing.T) {
	t.Parallel()
	lab, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	sleep, err := exec.LookPath("sleep")
	if err != nil {
		t.Skip("no sleep here")
	}
	tie, err := newParentWatch(t.TempDir(), lab, sleep)
	if err != nil {
		t.Fatal(err)
	}
	start := func(c *exec.Cmd) chan error {
		t.Helper()
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		go func() { ended <- c.Wait() }()
		return ended
	}
	short := start(exec.Command(tie.wrapperScript, "0.05"))
	held := []chan error{start(tie.command(sleep, "60")), start(exec.Command(tie.wrapperScript, "60"))}
	if err := <-short; err != nil {
		t.Errorf("one that ends by itself: %v", err)
	}
	time.Sleep(300 * time.Millisecond) // those that hold have begun
	for i, ended := range held {
		select {
		case err := <-ended:
			t.Fatalf("process %d ended while it was held: %v", i, err)
		default:
		}
	}
	if err := tie.close(); err != nil {
		t.Fatal(err)
	}
	for i, ended := range held {
		select {
		case err := <-ended:
			var exit *exec.ExitError
			if err == nil || !errors.As(err, &exit) || exit.Sys().(syscall.WaitStatus).Signal() != syscall.SIGKILL {
				t.Errorf("process %d ended by %v", i, err)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("process %d outlived the rig", i)
		}
	}
}

// A script that was written a moment ago can be executed while other processes are being started.
func TestTetherScriptStartsDuringForks(t *testing.T) {
	t.Parallel()
	lab, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	ctx, stopForks := context.WithCancel(t.Context())
	var forks sync.WaitGroup
	for range 8 {
		forks.Go(func() {
			for ctx.Err() == nil {
				if err := exec.Command("/bin/true").Run(); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	for range 100 {
		tether, err := newParentWatch(t.TempDir(), lab, "/bin/true")
		if err != nil {
			t.Fatal(err)
		}
		if err := exec.Command(tether.wrapperScript).Run(); err != nil {
			t.Errorf("start of a script that was just written: %v", err)
		}
		if err := tether.close(); err != nil {
			t.Error(err)
		}
	}
	stopForks()
	forks.Wait()
}
