package server

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"olivedale/internal/codec/jsonl"
	"olivedale/internal/eventloop"
)

func TestBadInputClosesItsConnection(t *testing.T) {
	t.Parallel()
	s, h := startTestServer(t, false), newAnswerLog()
	for _, bad := range []string{"{}\n", "x\n", `{"verb":"START","tag":"nohex","opts":{}}` + "\n", strings.Repeat("x", 20000),
		`{"verb":"START","tag":"9b1f03aa5c7e2d41","opts":{"class":"voice","left":"900","key":"a\r\nX: y"},"blob":""}` + "\n"} {
		c, err := net.Dial("tcp", s.jsonAddress())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write([]byte(bad))
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if n, err := c.Read(make([]byte, 1)); err == nil {
			t.Errorf("%.30q got %d bytes", bad, n)
		}
		_ = c.Close()
	}
	k := dialJSONCaller(t, s.jsonAddress(), h, "aaaaaaaa")
	h.await(t, k.setUp("keep.1", 4*time.Second), 1) // all others go on
}

// Whoever asks for what cannot be, or under the id of another's call, is told or closed; the
// other's call goes on, and no exchange hears of it.
func TestInvalidAndReusedSetupsAreRejected(t *testing.T) {
	t.Parallel()
	s, h := startTestServer(t, false), newAnswerLog()
	k := dialJSONCaller(t, s.jsonAddress(), h, "aaaaaaaa")
	open := k.setUp("silent.1", 5*time.Second)
	eventually(t, "the set-up is out", func() bool { return s.observations.attemptsTo("silent.1") == 1 })
	start := func(id, extras, blob string) string {
		return fmt.Sprintf(`{"verb":"START","tag":%q,"opts":{"class":"voice","left":"900","key":"keep.2","extras":%q},"blob":%q}`+"\n", id, extras, blob)
	}
	const id = "00000000000000bb"
	for _, bad := range []struct{ text, want string }{
		{start(open, "dest:0;width:1;via:-1", "x"), ""},
		{start(id, "dest:-3", "x"), id}, {start(id, "dest:99", "x"), id}, {start(id, "width:0", "x"), id}, {start(id, "width:400", "x"), id},
	} {
		c, err := net.Dial("tcp", s.jsonAddress())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write([]byte(bad.text))
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		line, _ := bufio.NewReader(c).ReadString('\n')
		if bad.want == "" && line != "" || !strings.Contains(line, bad.want) || strings.Contains(line, jsonl.Started) {
			t.Errorf("%q got %q", bad.text, line)
		}
		_ = c.Close()
	}
	k.hangUp(open)
	eventually(t, "the other's set-up was still open", func() bool { return s.observations.total(&s.observations.canceled) == 1 })
	if n := s.observations.attemptsTo("keep.2"); n != 0 {
		t.Errorf("%d set-ups came to an exchange", n)
	}
}

// A connection that says nothing, or half a message, is closed in time; one that has asked
// once may stay.
func TestSilentAndStalledConnectionsAreClosed(t *testing.T) {
	t.Parallel()
	s, h := startTestServer(t, false), newAnswerLog()
	asked := dialJSONCaller(t, s.jsonAddress(), h, "aaaaaaaa")
	asked.send(&jsonl.Message{Verb: jsonl.Echo, HasRC: true})
	h.await(t, "echo", 1)
	for i, text := range []string{"", `{"verb":"START"`, `{"verb":"ECHO","tag":"1","opts":{},"rc":0}` + "\n" + `{"ver`} {
		c, err := net.Dial("tcp", s.jsonAddress())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_, _ = c.Write([]byte(text))
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
		if _, err := io.Copy(io.Discard, c); err != nil {
			t.Errorf("connection %d was not closed: %v", i, err)
		}
	}
	asked.send(&jsonl.Message{Verb: jsonl.Echo, HasRC: true})
	h.await(t, "echo", 2)
}

// A caller who asks and does not read is closed, and takes no more memory than that.
func TestCallerWhoDoesNotRead(t *testing.T) {
	t.Parallel()
	s := startTestServer(t, false)
	c, err := net.Dial("tcp", s.jsonAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	line := []byte(`{"verb":"ECHO","tag":"1","opts":{},"rc":0}` + "\n")
	many := bytes.Repeat(line, 1000)
	_ = c.SetWriteDeadline(time.Now().Add(30 * time.Second))
	for sent := 0; ; sent += len(many) {
		if _, err := c.Write(many); err != nil {
			break // reset, for it is closed with unread text
		}
		if sent > 256<<20 {
			t.Fatal("the caller was heard without end")
		}
	}
}

// Callers beyond the budget of sockets take the place of idle ones, not of calls.
func TestSocketBudget(t *testing.T) {
	t.Parallel()
	s, h := startTestServer(t, false), newAnswerLog()
	done := make(chan bool)
	s.server.loop.Execute(func() { s.server.frontends.json.Clients().Max = 2; done <- true })
	<-done
	busy := dialJSONCaller(t, s.jsonAddress(), h, "aaaaaaaa")
	busy.setUp("silent.1", 5*time.Second)
	eventually(t, "the set-up is out", func() bool { return s.observations.attemptsTo("silent.1") == 1 })
	for range 5 {
		dialJSONCaller(t, s.jsonAddress(), h, "bbbbbbbb")
	}
	last := dialJSONCaller(t, s.jsonAddress(), h, "cccccccc")
	if got := h.await(t, last.setUp("keep.1", 4*time.Second), 1); got == "" {
		t.Error("no answer on the last connection")
	}
	if n := s.observations.total(&s.observations.canceled); n != 0 {
		t.Errorf("%d set-ups were given up for want of sockets", n)
	}
}

// A set-up and a release cross the close of their idle connection: what has come is taken, and the connection stays.
func TestSetupCrossesIdleClose(t *testing.T) {
	t.Parallel()
	a := startFakeExchange(t, "127.0.0.1:0")
	x := startTestbed(t, []*fakeExchange{a}, &scriptedDecider{servers: []string{"s-0"}})
	x.runIteration(func() {
		_, _ = x.caller.conn.Write(jsonSetup(testCallID, 2*time.Second))
		for k := x.server.frontends.json.EvictionCandidate(); k != nil; k = x.server.frontends.json.EvictionCandidate() {
			if k == x.findClient(testCallID) || x.server.calls.Contains(testCallID) && k.HasSetup(testCallID) {
				t.Error("a connection with a set-up on it is to be closed")
				return
			}
			x.server.loop.Close(k.Conn()) // as it would be closed: the next
		}
		if !x.server.calls.Contains(testCallID) {
			t.Error("the set-up was not taken")
		}
	})
	a.awaitReceived("INVITE", testCallID, 1)
	a.send(sipResponse(testCallID, "INVITE", 486, 1, ""))
	if got := x.answers.await(t, testCallID, 1); got != "end 41" {
		t.Error(got)
	}
}

// A panel that has been silent for too long speaks as its connection is to be closed: it is heard, and stays.
func TestGatewaySetupCrossesIdleClose(t *testing.T) {
	t.Parallel()
	a := startFakeExchange(t, "127.0.0.1:0")
	x := startTestbed(t, []*fakeExchange{a}, &scriptedDecider{servers: []string{"s-0"}}, withGateways)
	c, err := net.Dial("tcp", x.gatewayAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	eventually(t, "the panel is there", func() (there bool) {
		x.runIteration(func() { there = x.latestGateway() != nil })
		return there
	})
	x.runIteration(func() {
		p := x.latestGateway()
		_, _ = c.Write(frameTransactions(t, "<p>", addTransaction("p/1", 1, "1", 3*time.Second)))
		x.server.frontends.gateway.CloseOverdue(x.server.loop.Now() + 2*eventloop.InputTimeout)
		if !p.Conn().IsOpen() {
			t.Error("it is closed with a set-up on it")
		}
	})
	a.awaitInvite(1)
}
