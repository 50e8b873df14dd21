package server

import (
	"fmt"
	"net"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"olivedale/internal/codec/jsonl"
	"olivedale/internal/config"
)

// openIdleConnections opens n connections to the JSON frontend that send one echo request and then stay idle.
func openIdleConnections(t testing.TB, server *testServer, n int) {
	t.Helper()
	buf := make([]byte, 256)
	for range n {
		c, err := net.Dial("tcp", server.jsonAddress())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		if _, err := c.Write(jsonl.Append(nil, &jsonl.Message{Verb: jsonl.Echo})); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Read(buf); err != nil {
			t.Fatal(err)
		}
	}
}

// runCallsAmidIdleConnections sets up calls on both frontends at 1000 per second while other connections are idle, and
// logs the latencies.
func runCallsAmidIdleConnections(t testing.TB, idlers, calls int) {
	nodes := startFleet(t, 1)
	nodes.exchanges[0].behavesByDigit = true
	nodes.sockets = 4*idlers + 4096
	nodes.decider = newUnlimitedDecider()
	nodes.numbers = &config.Numbering{File: filepath.Join(t.TempDir(), "numbers.toml")}
	writeFile(t, nodes.numbers.File, "default = \"r\"\n[[route]]\nname = \"r\"\n[[route.target]]\npool = 0\n")
	s := nodes.startServer(t, "n0", "", new(atomic.Int64))
	openIdleConnections(t, s, idlers)
	answers := newAnswerLog()
	gateway := dialGatewayCaller(t, s.gatewayAddress(), answers, "<one>")
	gateway.acknowledges = true
	l := newLoadGenerator(answers, 5*time.Second, 4096, dialJSONCaller(t, s.jsonAddress(), answers, "aaaaaaaa"), gateway)
	l.run(calls, 1000, func(int) string { return "1230" })
	took := l.awaitEnds(t)
	s.stop(t)
	t.Logf("%d idle connections: established after p50 %v us, p99 %v us, at most %v us", idlers, took.ValueAtQuantile(50), took.ValueAtQuantile(99), took.Max())
}

// Calls and releases are served while many connections are idle.
func TestCallsAmidIdleConnections(t *testing.T) {
	t.Parallel()
	runCallsAmidIdleConnections(t, 200, 300)
}

// BenchmarkIdleConnections measures whether the cost of a message depends on the number of idle connections:
// go test -run '^$' -bench Idle -benchtime 1x ./internal/server
func BenchmarkIdleConnections(b *testing.B) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		b.Fatal(err)
	}
	for _, n := range []int{100, 5000, 9000, 20000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			if uint64(2*n+200) > limit.Cur {
				b.Skipf("the limit is %d descriptors, both ends of %d connections need more", limit.Cur, n)
			}
			for range b.N {
				runCallsAmidIdleConnections(b, n, 10_000)
			}
		})
	}
}
