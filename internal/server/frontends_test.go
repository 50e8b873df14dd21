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
	server, answers := startTestServer(t, false), newAnswerLog()
	for _, bad := range []string{"{}\n", "x\n", `{"verb":"START","tag":"nohex","opts":{}}` + "\n", strings.Repeat("x", 20000),
		`{"verb":"START","tag":"9b1f03aa5c7e2d41","opts":{"class":"voice","left":"900","key":"a\r\nX: y"},"blob":""}` + "\n"} {
		c, err := net.Dial("tcp", server.jsonAddress())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write([]byte(bad))
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if n, err := c.Read(make([]byte, 1)); err == nil {
			t.Errorf("input %.30q: received %d bytes, want a close", bad, n)
		}
		_ = c.Close()
	}
	client := dialJSONCaller(t, server.jsonAddress(), answers, "aaaaaaaa")
	answers.await(t, client.setUp("keep.1", 4*time.Second), 1) // other connections are not affected
}

// An invalid set-up, or one that reuses the id of another caller's call, is rejected or its connection is closed. The
// other call is not affected, and nothing is sent to an exchange.
func TestInvalidAndReusedSetupsAreRejected(t *testing.T) {
	t.Parallel()
	server, answers := startTestServer(t, false), newAnswerLog()
	client := dialJSONCaller(t, server.jsonAddress(), answers, "aaaaaaaa")
	open := client.setUp("silent.1", 5*time.Second)
	eventually(t, "the set-up is sent", func() bool { return server.observations.attemptsTo("silent.1") == 1 })
	start := func(id, extras, blob string) string {
		return fmt.Sprintf(`{"verb":"START","tag":%q,"opts":{"class":"voice","left":"900","key":"keep.2","extras":%q},"blob":%q}`+"\n", id, extras, blob)
	}
	const id = "00000000000000bb"
	for _, bad := range []struct{ text, want string }{
		{start(open, "dest:0;width:1;via:-1", "x"), ""},
		{start(id, "dest:-3", "x"), id}, {start(id, "dest:99", "x"), id}, {start(id, "width:0", "x"), id}, {start(id, "width:400", "x"), id},
	} {
		c, err := net.Dial("tcp", server.jsonAddress())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write([]byte(bad.text))
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		line, _ := bufio.NewReader(c).ReadString('\n')
		if bad.want == "" && line != "" || !strings.Contains(line, bad.want) || strings.Contains(line, jsonl.Started) {
			t.Errorf("input %q: received %q", bad.text, line)
		}
		_ = c.Close()
	}
	client.hangUp(open)
	eventually(t, "the other caller's set-up is canceled", func() bool { return server.observations.total(&server.observations.canceled) == 1 })
	if n := server.observations.attemptsTo("keep.2"); n != 0 {
		t.Errorf("%d invalid set-ups were sent to an exchange, want none", n)
	}
}

// A connection that sends nothing, or only part of a message, is closed after a timeout. A connection that has sent a
// complete message stays open.
func TestSilentAndStalledConnectionsAreClosed(t *testing.T) {
	t.Parallel()
	server, answers := startTestServer(t, false), newAnswerLog()
	asked := dialJSONCaller(t, server.jsonAddress(), answers, "aaaaaaaa")
	asked.send(&jsonl.Message{Verb: jsonl.Echo, HasResultCode: true})
	answers.await(t, "echo", 1)
	for i, text := range []string{"", `{"verb":"START"`, `{"verb":"ECHO","tag":"1","opts":{},"rc":0}` + "\n" + `{"ver`} {
		c, err := net.Dial("tcp", server.jsonAddress())
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
	asked.send(&jsonl.Message{Verb: jsonl.Echo, HasResultCode: true})
	answers.await(t, "echo", 2)
}

// A caller sends requests without reading the answers. Its connection is closed, which bounds the memory that it uses.
func TestCallerWhoDoesNotRead(t *testing.T) {
	t.Parallel()
	server := startTestServer(t, false)
	c, err := net.Dial("tcp", server.jsonAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	line := []byte(`{"verb":"ECHO","tag":"1","opts":{},"rc":0}` + "\n")
	many := bytes.Repeat(line, 1000)
	_ = c.SetWriteDeadline(time.Now().Add(30 * time.Second))
	for sent := 0; ; sent += len(many) {
		if _, err := c.Write(many); err != nil {
			break // the server has closed the connection
		}
		if sent > 256<<20 {
			t.Fatal("the connection was not closed after 256 MiB of requests")
		}
	}
}

// New connections beyond the socket budget replace idle connections, but not those with open calls.
func TestSocketBudget(t *testing.T) {
	t.Parallel()
	server, answers := startTestServer(t, false), newAnswerLog()
	done := make(chan bool)
	server.server.loop.Execute(func() { server.server.frontends.json.Clients().Max = 2; done <- true })
	<-done
	busy := dialJSONCaller(t, server.jsonAddress(), answers, "aaaaaaaa")
	busy.setUp("silent.1", 5*time.Second)
	eventually(t, "the set-up is sent", func() bool { return server.observations.attemptsTo("silent.1") == 1 })
	for range 5 {
		dialJSONCaller(t, server.jsonAddress(), answers, "bbbbbbbb")
	}
	last := dialJSONCaller(t, server.jsonAddress(), answers, "cccccccc")
	if got := answers.await(t, last.setUp("keep.1", 4*time.Second), 1); got == "" {
		t.Error("no answer on the last connection")
	}
	if n := server.observations.total(&server.observations.canceled); n != 0 {
		t.Errorf("%d set-ups were canceled to free sockets, want none", n)
	}
}

// A set-up arrives on an idle connection that is about to be closed. The set-up is processed, and the connection stays
// open.
func TestSetupCrossesIdleClose(t *testing.T) {
	t.Parallel()
	exchange := startFakeExchange(t, "127.0.0.1:0")
	bed := startTestbed(t, []*fakeExchange{exchange}, &scriptedDecider{servers: []string{"s-0"}})
	bed.runIteration(func() {
		_, _ = bed.caller.conn.Write(jsonSetup(testCallID, 2*time.Second))
		for k := bed.server.frontends.json.EvictionCandidate(); k != nil; k = bed.server.frontends.json.EvictionCandidate() {
			if k == bed.findClient(testCallID) || bed.server.calls.Contains(testCallID) && k.HasSetup(testCallID) {
				t.Error("a connection with an open set-up is selected to be closed")
				return
			}
			bed.server.loop.Close(k.Conn()) // closed as if to make room for a new connection
		}
		if !bed.server.calls.Contains(testCallID) {
			t.Error("the set-up was not accepted")
		}
	})
	exchange.awaitReceived("INVITE", testCallID, 1)
	exchange.send(sipResponse(testCallID, "INVITE", 486, 1, ""))
	if got := bed.answers.await(t, testCallID, 1); got != "end 41" {
		t.Error(got)
	}
}

// Guards against a set-up that is never answered while hundreds of clients connect: its connection was closed to make
// room, since it was the oldest of the new ones, with the set-up unread in its socket.
func TestSetupOnANewConnectionIsReadBeforeItsClose(t *testing.T) {
	t.Parallel()
	exchange := startFakeExchange(t, "127.0.0.1:0")
	bed := startTestbed(t, []*fakeExchange{exchange}, &scriptedDecider{servers: []string{"s-0"}})
	bed.caller.close()
	eventually(t, "no caller is connected", func() (gone bool) {
		bed.runIteration(func() { gone = bed.server.frontends.json.Clients().Len() == 0 })
		return gone
	})
	client := dialJSONCaller(t, bed.jsonAddress(), bed.answers, "cccccccc")
	eventually(t, "the connection is accepted", func() (accepted bool) {
		bed.runIteration(func() {
			if accepted = bed.server.frontends.json.Clients().Len() == 1; !accepted {
				return
			}
			_, _ = client.conn.Write(jsonSetup(testCallID, 2*time.Second))
			if k := bed.server.frontends.json.EvictionCandidate(); k != nil {
				bed.server.loop.Close(k.Conn())
			}
		})
		return accepted
	})
	exchange.awaitReceived("INVITE", testCallID, 1)
	exchange.send(sipResponse(testCallID, "INVITE", 486, 1, ""))
	if got := bed.answers.await(t, testCallID, 1); got != "end 41" {
		t.Error(got)
	}
}

// A gateway sends a set-up when its connection is about to be closed after a long silence. The set-up is processed, and
// the connection stays open.
func TestGatewaySetupCrossesIdleClose(t *testing.T) {
	t.Parallel()
	exchange := startFakeExchange(t, "127.0.0.1:0")
	bed := startTestbed(t, []*fakeExchange{exchange}, &scriptedDecider{servers: []string{"s-0"}}, withGateways)
	c, err := net.Dial("tcp", bed.gatewayAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	eventually(t, "the gateway is connected", func() (there bool) {
		bed.runIteration(func() { there = bed.latestGateway() != nil })
		return there
	})
	bed.runIteration(func() {
		p := bed.latestGateway()
		_, _ = c.Write(frameTransactions(t, "<p>", addTransaction("p/1", 1, "1", 3*time.Second)))
		bed.server.frontends.gateway.CloseOverdue(bed.server.loop.Now() + 2*eventloop.InputTimeout)
		if !p.Conn().IsOpen() {
			t.Error("the connection was closed with an open set-up")
		}
	})
	exchange.awaitInvite(1)
}
