package server

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"olivedale/internal/codec/h248"
)

// callResults are the results of a fixed series of calls.
type callResults struct {
	Answers                                       map[string]string
	Attempts                                      map[string]int
	SimultaneousAttempts, EarlyRetries, Corrupted int
	Canceled, Released                            int
}

// runCalls makes a fixed series of calls, one after the other, from callers that dial creates.
func runCalls(t *testing.T, server *testServer, dial func(name string) testCaller, answers *answerLog) callResults {
	t.Helper()
	p := callResults{Answers: make(map[string]string), Attempts: make(map[string]int)}
	k, other := dial("aaaaaaaa"), dial("bbbbbbbb")
	gone := k.setUp("silent.2", 5*time.Second)
	eventually(t, "the set-up is at an exchange", func() bool { return server.observations.attemptsTo("silent.2") == 1 })
	k.hangUp(gone)
	eventually(t, "the set-up is canceled", func() bool { return server.observations.total(&server.observations.canceled) == 1 })
	other.setUp("silent.3", 5*time.Second)
	eventually(t, "the set-up is at an exchange", func() bool { return server.observations.attemptsTo("silent.3") == 1 })
	other.close()
	eventually(t, "the set-up is canceled with its connection", func() bool { return server.observations.total(&server.observations.canceled) == 2 })
	for _, kind := range []string{"ok", "keep", "moot", "reset", "busy"} {
		number := kind + ".1"
		if kind == "reset" {
			// At this call rate the admission control admits one call per second to a second-choice exchange.
			time.Sleep(1500 * time.Millisecond)
		}
		key := k.setUp(number, 4*time.Second)
		got := answers.await(t, key, 1)
		if kind == "ok" {
			got = answers.await(t, key, 2)
		}
		p.Answers[kind] = strings.ReplaceAll(got, acceptedDescription(number), "")
		if strings.Contains(got, "stands") {
			k.hangUp(key)
		}
		p.Attempts[kind] = server.observations.attemptsTo(number)
		time.Sleep(30 * time.Millisecond) // the release must arrive before the next call
	}
	silent := k.setUp("silent.1", 400*time.Millisecond)
	p.Answers["silent"] = answers.await(t, silent, 1)
	p.Attempts["silent"] = server.observations.attemptsTo("silent.1")
	eventually(t, "the set-up that timed out is canceled", func() bool { return server.observations.total(&server.observations.canceled) == 3 })
	for end := time.Now().Add(2 * time.Second); server.observations.total(&server.observations.released) < 3 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	p.SimultaneousAttempts, p.EarlyRetries, p.Corrupted = server.observations.total(&server.observations.simultaneousAttempts), server.observations.total(&server.observations.earlyRetries), server.observations.total(&server.observations.corrupted)
	p.Canceled, p.Released = server.observations.total(&server.observations.canceled), server.observations.total(&server.observations.released)
	return p
}

// TestBothProtocolsBehaveAlike makes the same calls with each combination of protocols on the two sides. The results
// must be the same.
func TestBothProtocolsBehaveAlike(t *testing.T) {
	t.Parallel()
	want := callResults{
		Answers: map[string]string{"ok": "stands  end 16", "keep": "stands ", "moot": "stands ", "reset": "stands ",
			"busy": "end 41", "silent": "end 41"},
		Attempts: map[string]int{"ok": 1, "keep": 1, "moot": 2, "reset": 2, "busy": 1, "silent": 1},
		Canceled: 3, Released: 3,
	}
	for _, back := range []bool{false, true} {
		for _, front := range []bool{false, true} {
			t.Run(fmt.Sprintf("front H.248 %v, back H.248 %v", front, back), func(t *testing.T) {
				t.Parallel()
				server, answers := startTestServer(t, back, back), newAnswerLog()
				got := runCalls(t, server, func(name string) testCaller {
					if front {
						return dialGatewayCaller(t, server.gatewayAddress(), answers, "<"+name+">")
					}
					return dialJSONCaller(t, server.jsonAddress(), answers, name)
				}, answers)
				if fmt.Sprint(got) != fmt.Sprint(want) {
					t.Errorf("got  %+v\nwant %+v", got, want)
				}
			})
		}
	}
}

// TestMixedProtocols uses both protocols on both sides of one server at the same time.
func TestMixedProtocols(t *testing.T) {
	t.Parallel()
	server := startTestServer(t, false, true)
	answers := newAnswerLog()
	callers := []testCaller{dialJSONCaller(t, server.jsonAddress(), answers, "aaaaaaaa"), dialGatewayCaller(t, server.gatewayAddress(), answers, "<one>"),
		dialJSONCaller(t, server.jsonAddress(), answers, "bbbbbbbb"), dialGatewayCaller(t, server.gatewayAddress(), answers, "<two>")}
	established := make([]int, len(callers))
	for i := range 15 {
		for j, k := range callers {
			key := k.setUp(fmt.Sprintf("ok.%d.%d", i, j), 4*time.Second)
			if got := answers.await(t, key, 2); got == "stands "+acceptedDescription(fmt.Sprintf("ok.%d.%d", i, j))+" end 16" {
				established[j]++
			} else {
				t.Errorf("caller %d, call %d: got %q", j, i, got)
			}
		}
	}
	for j, n := range established {
		if n != established[0] {
			t.Errorf("caller %d has %d established calls, caller 0 has %d", j, n, established[0])
		}
	}
	if n := server.observations.total(&server.observations.simultaneousAttempts) + server.observations.total(&server.observations.earlyRetries) + server.observations.total(&server.observations.corrupted); n != 0 {
		t.Errorf("%d simultaneous attempts, early retries or corrupted descriptions, want none", n)
	}
}

// A repeated transaction receives the stored reply and does not start another attempt: on the same connection, while the
// first one is still open, and on a new connection after a reset.
func TestRepeatedTransaction(t *testing.T) {
	t.Parallel()
	server, answers := startTestServer(t, true), newAnswerLog()
	client := dialGatewayCaller(t, server.gatewayAddress(), answers, "<panel>")
	add := addTransaction("panel/7", 7, "keep.1", 4*time.Second)
	client.send(add)
	first := answers.await(t, "panel/7", 1)
	client.send(add)
	if got := answers.await(t, "panel/7", 2); got != first+" "+first {
		t.Errorf("the repeat received %q", got)
	}
	open := addTransaction("panel/8", 8, "silent.1", 5*time.Second)
	client.send(open)
	eventually(t, "the set-up is sent", func() bool { return server.observations.attemptsTo("silent.1") == 1 })
	client.send(open)
	answers.await(t, "panel/8/pending", 1)
	_ = client.conn.(*net.TCPConn).SetLinger(0) // reset
	client.close()
	eventually(t, "the open set-up is canceled", func() bool { return server.observations.total(&server.observations.canceled) == 1 })
	again := dialGatewayCaller(t, server.gatewayAddress(), answers, "<panel>")
	again.send(add)
	if got := answers.await(t, "panel/7", 3); got != first+" "+first+" "+first {
		t.Errorf("the repeat after a reset received %q", got)
	}
	again.send(open)
	if got := answers.await(t, "panel/8", 1); got != "end 41" {
		t.Errorf("the repeat of the canceled set-up received %q", got)
	}
	if a, b := server.observations.attemptsTo("keep.1"), server.observations.attemptsTo("silent.1"); a != 1 || b != 1 {
		t.Errorf("repeats started %d and %d attempts, want one each", a, b)
	}
}

// A command that is split at any byte is never executed in part, and is executed once when it is complete.
func TestInputSplitAtEveryByte(t *testing.T) {
	t.Parallel()
	server, answers := startTestServer(t, true), newAnswerLog()
	frame, err := h248.AppendFrame(nil, &h248.Message{MID: "<cut>", Transactions: []*h248.Transaction{
		addTransaction("cut/1", 1, "keep.1", 4*time.Second)}})
	if err != nil {
		t.Fatal(err)
	}
	for cut := range frame {
		c, err := net.Dial("tcp", server.gatewayAddress())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write(frame[:cut])
		_ = c.Close()
	}
	client := dialGatewayCaller(t, server.gatewayAddress(), answers, "<cut>")
	for _, b := range frame {
		if n := server.observations.attemptsTo("keep.1"); n != 0 {
			t.Fatalf("an incomplete command was executed %d times", n)
		}
		_, _ = client.conn.Write([]byte{b})
	}
	answers.await(t, "cut/1", 1)
	if n := server.observations.attemptsTo("keep.1"); n != 1 {
		t.Errorf("%d attempts, want 1", n)
	}
}

func TestH248Errors(t *testing.T) {
	t.Parallel()
	server, answers := startTestServer(t, true), newAnswerLog()
	client := dialGatewayCaller(t, server.gatewayAddress(), answers, "<p>")
	one := func(context, name, termination string, d ...*h248.Node) *h248.Transaction {
		return &h248.Transaction{Actions: []*h248.Action{{Context: context, Commands: []*h248.Command{{Name: name, Termination: termination, Descriptors: d}}}}}
	}
	two := one("$", "Add", "x")
	two.Actions[0].Commands = append(two.Actions[0].Commands, two.Actions[0].Commands[0])
	empty := &h248.Action{Context: "$"}
	addBeforeEmpty, addBehindEmpty := one("$", "Add", "x"), one("$", "Add", "x")
	addBeforeEmpty.Actions = append(addBeforeEmpty.Actions, empty)
	addBehindEmpty.Actions = append([]*h248.Action{empty}, addBehindEmpty.Actions...)
	for i, test := range []struct {
		t    *h248.Transaction
		want string
	}{
		{one("5", "Subtract", "x"), "error 411"}, {one("*", "Subtract", "x"), "error 431"}, {one("-", "Subtract", "x"), "error 421"},
		{one("$", "Add", "x"), "error 441"}, {one("9", "Add", "x"), "error 501"}, {one("$", "Add", "$"), "error 430"},
		{one("1", "Move", "x"), "error 501"}, {one("-", "AuditValue", "x"), "error 430"}, {two, "error 501"},
		{one("-", "ServiceChange", "ROOT"), "error 442"}, {addTransaction("t", 0, "keep.1", -time.Second), "error 449"},
		{addBeforeEmpty, "error 441"}, {addBehindEmpty, "error 441"},
	} {
		test.t.ID = uint32(i + 1)
		client.send(test.t)
		if got := answers.await(t, fmt.Sprintf("p/%d", i+1), 1); got != test.want {
			t.Errorf("transaction %d: %q, want %q", i+1, got, test.want)
		}
	}
	unknown := addTransaction("t", 90, "keep.1", time.Second)
	unknown.Actions[0].Commands[0].Descriptors[0].Children[0].Children[0].Value = "nobody"
	client.send(unknown)
	if got := answers.await(t, "p/90", 1); got != "end 34" {
		t.Errorf("a set-up of an unknown class: got %q", got)
	}
	_, _ = client.conn.Write([]byte{3, 0, 0, 9, 'x', '{', '}', '=', '='})
	if got := answers.await(t, "error", 1); !strings.Contains(got, "400") {
		t.Errorf("malformed input: got %q", got)
	}
}

func TestAuditAndDrain(t *testing.T) {
	t.Parallel()
	server, answers := startTestServer(t, true), newAnswerLog()
	client := dialGatewayCaller(t, server.adminAddress(), answers, "<ctl>")
	graceful := &h248.Node{Name: "Services", Children: []*h248.Node{{Name: "Method", Value: "Graceful"}, {Name: "Reason", Quoted: true, Value: "905"}}}
	drain := &h248.Transaction{ID: 2, Actions: []*h248.Action{{Context: "-", Commands: []*h248.Command{{Name: "ServiceChange", Termination: "ROOT", Descriptors: []*h248.Node{graceful}}}}}}
	p := dialGatewayCaller(t, server.gatewayAddress(), answers, "<panel>")
	p.send(drain) // on the gateway address this does not shut the server down
	answers.await(t, "panel/2", 1)
	client.send(&h248.Transaction{ID: 1, Actions: []*h248.Action{{Context: "-", Commands: []*h248.Command{{Name: "AuditValue", Termination: "ROOT"}}}}})
	if got := answers.await(t, "ctl/1", 1); got != "done AuditValue" {
		t.Errorf("audit: got %q", got)
	}
	if key := p.setUp("keep.1", time.Second); answers.await(t, key, 1) == "" {
		t.Error("a set-up before the drain was not answered")
	}
	client.send(drain)
	answers.await(t, "ctl/2", 1)
	select {
	case err := <-server.done:
		server.done <- err
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the server did not shut down")
	}
}
