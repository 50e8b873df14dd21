package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"olivedale/internal/codec/sip"
	"olivedale/internal/sim/loopback"
	"olivedale/internal/testutil"
)

// The smallest deployment of the platform.
const (
	limitedMemoryMB = 32
	limitedSockets  = 256
	manySockets     = 1024 // the most that the platform gives
)

const (
	memorySampleInterval = 100 * time.Millisecond
	probeInterval        = 50 * time.Millisecond
	// maxProbeTime is the time within which another client must have its answer: it gives up after that.
	maxProbeTime = time.Second
)

// backlogPrefix begins the ids of the set-ups that a client leaves unread when it closes its connection.
const backlogPrefix = "6"

// An acceptingExchange is an exchange on a real socket that accepts every call.
type acceptingExchange struct {
	listener       net.Listener
	invites        atomic.Int64
	backlogInvites atomic.Int64 // those of ids that begin with backlogPrefix
	releases       atomic.Int64
	conn           atomic.Pointer[net.TCPConn] // the latest connection
}

func startAcceptingExchange(t testing.TB) *acceptingExchange {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	x := &acceptingExchange{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			x.conn.Store(conn.(*net.TCPConn))
			go x.serve(conn)
		}
	}()
	return x
}

func (x *acceptingExchange) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	var reader sip.Reader
	buffer := make([]byte, 64<<10)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		var out []byte
		err = reader.Feed(buffer[:n], func(m *sip.Message) bool {
			out = x.appendResponse(out, m)
			return true
		})
		if err != nil {
			return
		}
		if _, err := conn.Write(out); err != nil {
			return
		}
	}
}

// releaseUnknownCalls sends releases of calls that the process does not know.
func (x *acceptingExchange) releaseUnknownCalls(calls int) {
	var b []byte
	for n := range calls {
		b = sip.AppendRequest(b, &sip.Request{Method: "BYE", Number: "1", CallID: fmt.Sprintf("8%015x", n), CSeq: 2})
	}
	_, _ = x.conn.Load().Write(b)
}

func (x *acceptingExchange) appendResponse(b []byte, m *sip.Message) []byte {
	switch m.Method {
	case "INVITE":
		x.invites.Add(1)
		if strings.HasPrefix(m.CallID, backlogPrefix) {
			x.backlogInvites.Add(1)
		}
		return fmt.Appendf(b, "SIP/2.0 200 OK\r\nCall-ID: %s\r\nCSeq: %d INVITE\r\nContent-Length: 1\r\n\r\na", m.CallID, m.CSeq)
	case "BYE":
		x.releases.Add(1)
		return sip.AppendResponse(b, m, 200, "OK")
	case "CANCEL", "OPTIONS":
		return sip.AppendResponse(b, m, 200, "OK")
	}
	return b
}

// A limitedProcess is the built program at the smallest deployment, with one accepting exchange, the H.248 listener and
// the admin address.
type limitedProcess struct {
	*process
	sockets       int // limit of descriptors
	exchange      *acceptingExchange
	gateways      string // address of the H.248 listener
	admin         string
	peakMemory    atomic.Int64 // in KB, from the system
	stopSampling  chan struct{}
	samplingEnded sync.WaitGroup
	output        testutil.Buffer // the log
	restingMemory int64
	probeTimes    []time.Duration // how long the answers to another client took
	rejected      int             // answers among them that were rejections
	unanswered    int             // set-ups of the other client without an answer within maxProbeTime
}

// buildDir is the directory of the program that buildOnce compiles; "" if it was not called.
var buildDir string

func TestMain(m *testing.M) {
	code := m.Run()
	if buildDir != "" {
		_ = os.RemoveAll(buildDir)
	}
	os.Exit(code)
}

// buildOnce compiles the program as the platform does, once for all tests.
var buildOnce = sync.OnceValues(func() (string, error) {
	var err error
	if buildDir, err = os.MkdirTemp("", "olivedale"); err != nil {
		return "", err
	}
	bin := filepath.Join(buildDir, "olivedale")
	out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", bin, ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return bin, nil
})

// freeAddress returns an address that nobody uses. A port of 127.0.0.1 that is free now could be taken by a connection
// of another test before the program listens there.
func freeAddress() string { return net.JoinHostPort(loopback.RandomHost(), "5060") }

func startLimited(t *testing.T, sockets int) *limitedProcess {
	t.Helper()
	bin, err := buildOnce()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	p := &limitedProcess{
		process: &process{
			Cmd:        exec.Command(bin),
			configPath: filepath.Join(dir, "config.json"),
			listen:     freeAddress(),
		},
		sockets:      sockets,
		exchange:     startAcceptingExchange(t),
		gateways:     freeAddress(),
		admin:        freeAddress(),
		stopSampling: make(chan struct{}),
	}
	p.writeFiles(t, dir)
	p.Dir = dir
	p.Env = []string{"RELAY_CONFIG=" + p.configPath, "TMPDIR=" + dir}
	p.Stderr = &p.output
	p.run(t)
	p.connect(t)
	time.Sleep(500 * time.Millisecond) // the exchange is connected
	p.restingMemory = p.memory(t)
	p.samplingEnded.Go(func() { p.sampleMemory(t) })
	return p
}

// writeFiles writes the platform's and the operator's configuration.
func (p *limitedProcess) writeFiles(t testing.TB, dir string) {
	t.Helper()
	names, err := net.ListenPacket("udp", "127.0.0.1:0") // never answers
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = names.Close() })
	config := map[string]any{
		"name": "n0", "listen": p.listen, "seed": "1f", "names": names.LocalAddr().String(),
		"limits": map[string]any{"memory_mb": limitedMemoryMB, "sockets": p.sockets},
		"known": map[string]any{"n": 1, "events": []any{map[string]any{"n": 1, "members": map[string]any{
			"revision": 1, "complete": true, "members": []any{map[string]any{"id": "s-0",
				"host_port": p.exchange.listener.Addr().String(), "locality": "east", "flavor": "std", "cell": 0,
				"phase": "Ready", "size": 1, "up_since_ms": 0}}}}}},
		"settings": json.RawMessage(`{"callers":{"marksRetry":false},"family":"trunks","discovery":"push","groupSize":1,
			"classes":[{"name":"voice","aim":1500,"deadline":9000,"credit":1,"lateWorth":0.25,"effect":"pure","group":"all",
				"dedupWindow":5000,"stream":true}],
			"domain":{"topology":"pools","peerLoad":"none","releaseGuard":300,"resend":500,"callLength":[8500],"circuitsByClass":[1],
				"skilledPools":[[0]],"thisNode":-1},
			"limits":{"cancel":true,"connectTimeout":500,"maxAttempts":4,"maxOpen":20000,"maxRetryAfter":2000,
				"retryAfter":true},
			"safety":{"cold":15000,"drainGrace":2000,"fall":1000,"fallMultiple":3,"startCapacity":0.31}}`),
	}
	text, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	operator := fmt.Sprintf("[h248]\nlisten = %q\nadmin = %q\n", p.gateways, p.admin)
	if err := errors.Join(os.Mkdir(filepath.Join(dir, "deploy"), 0o700), os.WriteFile(p.configPath, text, 0o600),
		os.WriteFile(filepath.Join(dir, "deploy", "olivedale.toml"), []byte(operator), 0o600)); err != nil {
		t.Fatal(err)
	}
}

// status returns a field of the process's status in the proc file system.
func (p *limitedProcess) status(t testing.TB, field string) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Process.Pid))
	if err != nil {
		t.Error(err)
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if name, value, _ := strings.Cut(line, ":"); name == field {
			n, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return n
		}
	}
	return 0
}

// memory returns the resident memory in KB.
func (p *limitedProcess) memory(t testing.TB) int64 { return p.status(t, "VmRSS") }

func (p *limitedProcess) sampleMemory(t testing.TB) {
	for {
		select {
		case <-p.stopSampling:
			return
		case <-time.After(memorySampleInterval):
			p.peakMemory.Store(max(p.peakMemory.Load(), p.memory(t)))
		}
	}
}

// descriptors returns the number of open descriptors.
func (p *limitedProcess) descriptors(t testing.TB) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
	if err != nil {
		t.Error(err)
	}
	return len(entries)
}

// probe sets up a call each probeInterval for d, releases it and records how long its answer took.
func (p *limitedProcess) probe(t testing.TB, d time.Duration) {
	c := probeClient{address: p.listen}
	defer c.close()
	for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
		id := fmt.Sprintf("0123%012x", n)
		start := time.Now()
		isEstablished, err := c.setUp(id, start.Add(maxProbeTime))
		if err != nil {
			p.unanswered++
			t.Logf("set-up %s of the other client: %v", id, err)
			return
		}
		p.probeTimes = append(p.probeTimes, time.Since(start))
		if isEstablished {
			c.release(id)
		} else {
			p.rejected++
		}
		time.Sleep(probeInterval)
	}
}

// A probeClient is a client that uses one connection as long as it is open.
type probeClient struct {
	address string
	conn    net.Conn // nil if there is none
	reader  *bufio.Reader
}

// maxTries is how often a caller tries: the first time, and up to three times again.
const maxTries = 4

// setUp sets up a call. If its connection is closed before the answer, it is sent again on a new one.
func (c *probeClient) setUp(id string, deadline time.Time) (isEstablished bool, err error) {
	for range maxTries {
		if c.conn == nil {
			if c.conn, err = net.Dial("tcp", c.address); err != nil {
				return false, err
			}
			c.reader = bufio.NewReader(c.conn)
		}
		_ = c.conn.SetDeadline(deadline)
		_, _ = c.conn.Write(jsonSetup(id))
		if isEstablished, err = awaitAnswer(c.reader, id); err == nil {
			return isEstablished, nil
		}
		c.close()
	}
	return false, err
}

func (c *probeClient) release(id string) {
	_, _ = fmt.Fprintf(c.conn, `{"verb":"FINISH","tag":%q,"opts":{},"rc":16}`+"\n", id)
}

func (c *probeClient) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// awaitAnswer waits for the answer to a set-up.
func awaitAnswer(reader *bufio.Reader, id string) (isEstablished bool, err error) {
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return false, err
		}
		isEstablished := strings.Contains(line, `"STARTED"`)
		if strings.Contains(line, id) && (isEstablished || strings.Contains(line, `"FINISH"`)) {
			return isEstablished, nil
		}
	}
}

func jsonSetup(id string) []byte {
	return fmt.Appendf(nil, `{"verb":"START","tag":%q,"opts":{"class":"voice","left":"5000","key":%q,"extras":"dest:0;width:1;via:-1"},"blob":"o"}`+"\n", id, id)
}

// check stops the measurement, reports it and compares it with the limits. mayReject allows that the other client's
// set-ups were rejected; admission control may reject a few in any case.
func (p *limitedProcess) check(t *testing.T, mayReject bool) {
	t.Helper()
	close(p.stopSampling)
	p.samplingEnded.Wait()
	slowest := time.Duration(0)
	if len(p.probeTimes) > 0 {
		slowest = slices.Max(p.probeTimes)
	}
	descriptors := p.descriptors(t)
	t.Logf("memory %.1f MB at rest, %.1f MB at most; %d descriptors; log of %d bytes", float64(p.restingMemory)/1024,
		float64(p.peakMemory.Load())/1024, descriptors, len(p.output.String()))
	t.Logf("another client: %d answers, %d of them rejections, the slowest after %v, and %d missing", len(p.probeTimes),
		p.rejected, slowest, p.unanswered)
	if p.peakMemory.Load() > limitedMemoryMB<<10 {
		t.Errorf("the process used %d KB, over the limit of %d MB", p.peakMemory.Load(), limitedMemoryMB)
	}
	if descriptors > p.sockets {
		t.Errorf("%d descriptors are open, the limit is %d", descriptors, p.sockets)
	}
	if p.unanswered > 0 || len(p.probeTimes) == 0 {
		t.Error("another client had no answer in time")
	}
	if p.rejected > len(p.probeTimes)/10 && !mayReject {
		t.Errorf("%d of %d set-ups of another client were rejected", p.rejected, len(p.probeTimes))
	}
	if maxLogBytes := 64 << 10; len(p.output.String()) > maxLogBytes {
		t.Errorf("the log grew to %d bytes:\n%.2000s", len(p.output.String()), p.output.String())
	}
}
