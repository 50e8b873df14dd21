package server

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"olivedale/internal/codec/jsonl"
)

// Whoever connects as the process ends gets a rejection, a failed test or a close; then nobody listens any more, and
// all of it ends soon, also beside a client that stays silent.
func TestLateConnections(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dial := func(text string) net.Conn {
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = conn.Write([]byte(text))
		return conn
	}
	setup := dial(string(jsonSetup(testCallID, time.Second)))
	echo := dial(string(jsonl.Append(nil, &jsonl.Message{Verb: jsonl.Echo, Tag: "t", HasResultCode: true})))
	garbage, silent := dial("GET / HTTP/1.1\r\n\r\n"), dial("")
	start := time.Now()
	l := &lateListener{TCPListener: ln.(*net.TCPListener)}
	if rejected := l.serve(); rejected != 1 {
		t.Errorf("%d set-ups were rejected, want 1", rejected)
	}
	if took := time.Since(start); took > lateLimit+lateReadTime+time.Second {
		t.Errorf("took %v", took)
	}
	for conn, want := range map[net.Conn]string{
		setup: `"verb":"FINISH","tag":"` + testCallID + `"`,
		echo:  `"verb":"ECHOED","tag":"t","opts":{},"rc":0`,
	} {
		if line, err := bufio.NewReader(conn).ReadString('\n'); !strings.Contains(line, want) {
			t.Errorf("got %q, %v; want %s", line, err, want)
		}
	}
	for _, conn := range []net.Conn{garbage, silent} {
		if n, err := conn.Read(make([]byte, 1)); n > 0 || !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("got %d bytes, %v; want a close", n, err)
		}
	}
	if _, err := net.Dial("tcp", ln.Addr().String()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("afterwards: %v, want a refusal", err)
	}
	if (*lateListener)(nil).serve() != 0 {
		t.Error("without a listener something is rejected")
	}
}
