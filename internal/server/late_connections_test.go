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

// startStopping moves a server without pending work to the stopping state.
func (b *testbed) startStopping() {
	b.t.Helper()
	b.server.Stop()
	b.runIteration(func() {
		b.server.lifecycle.drainingSince -= minDrainTime
		b.server.lifecycle.quietSince = b.server.loop.Now() - 2*quietPeriod
		b.server.checkDraining(b.server.loop.Now())
	})
	if b.isServing() {
		b.t.Fatal("the server is not in the stopping state")
	}
}

// Clients that connect while the process ends receive a rejection, an echo that reports a failure, or a close. After
// that no socket listens any more. A silent client does not delay the end.
func TestLateConnections(t *testing.T) {
	t.Parallel()
	exchange := startFakeExchange(t, "127.0.0.1:0")
	bed := startTestbed(t, []*fakeExchange{exchange}, &scriptedDecider{})
	bed.startStopping()
	address := bed.jsonAddress()
	dial := func(text string) net.Conn {
		conn, err := net.Dial("tcp", address)
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
	bed.awaitEnd()
	if took := time.Since(start); took > lateAcceptTimeout+lateReadTimeout+time.Second {
		t.Errorf("the server ended after %v", took)
	}
	if rejected := bed.server.frontends.host.Counters.LateSetups; rejected != 1 {
		t.Errorf("%d set-ups were rejected, want 1", rejected)
	}
	for conn, want := range map[net.Conn]string{
		setup: `"verb":"FINISH","tag":"` + testCallID + `"`,
		echo:  `"verb":"ECHOED","tag":"t","opts":{},"rc":0`,
	} {
		if line, err := bufio.NewReader(conn).ReadString('\n'); !strings.Contains(line, want) {
			t.Errorf("received %q, %v; want %s", line, err, want)
		}
	}
	for _, conn := range []net.Conn{garbage, silent} {
		if n, err := conn.Read(make([]byte, 1)); n > 0 || !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("received %d bytes, %v; want a close", n, err)
		}
	}
	if _, err := net.Dial("tcp", address); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dial after the end: %v, want a refused connection", err)
	}
	if exchange.countReceived("INVITE", testCallID) != 0 {
		t.Error("a late set-up was sent to an exchange")
	}
}

// Part of a set-up has been received when the connections are closed. The server waits for the rest and rejects the
// set-up on its connection.
func TestPartialSetupIsAwaitedAtTheEnd(t *testing.T) {
	t.Parallel()
	exchange := startFakeExchange(t, "127.0.0.1:0")
	bed := startTestbed(t, []*fakeExchange{exchange}, &scriptedDecider{})
	text := jsonSetup(testCallID, 2*time.Second)
	_, _ = bed.caller.conn.Write(text[:len(text)/2])
	eventually(t, "half of the set-up is received", func() (has bool) {
		bed.runIteration(func() { has = bed.findClient("").Conn().HasPartialMessage() })
		return has
	})
	bed.startStopping()
	_, _ = bed.caller.conn.Write(text[len(text)/2:])
	if got := bed.answers.await(t, testCallID, 1); got != "end 34" {
		t.Error(got)
	}
	bed.awaitEnd()
}

// A release by an exchange that arrives while the process ends is not confirmed, because no caller can be notified any
// more; the exchange repeats it to the next process. A release by a caller is not confirmed either.
func TestReleasesAreNotConfirmedAtTheEnd(t *testing.T) {
	t.Parallel()
	exchange := startFakeExchange(t, "127.0.0.1:0")
	bed := startTestbed(t, []*fakeExchange{exchange}, &scriptedDecider{servers: []string{"s-0"}})
	id := bed.caller.setUp("1", 3*time.Second)
	exchange.awaitReceived("INVITE", id, 1)
	exchange.send(sipResponse(id, "INVITE", 200, 1, "a"))
	bed.answers.await(t, id, 1)
	bed.startStopping()
	exchange.send(sipRelease(id, 16))
	conn, err := net.Dial("tcp", bed.jsonAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = conn.Write(jsonMessage(jsonl.Finish, id))
	if text, _ := io.ReadAll(conn); len(text) > 0 {
		t.Errorf("the caller received %q, want nothing", text)
	}
	bed.awaitEnd()
	if exchange.countReceived("", id) != 0 || exchange.countReceived("BYE", id) != 0 {
		t.Error("a release was confirmed or sent")
	}
}
