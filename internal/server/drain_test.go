package server

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"olivedale/internal/config"
)

// The pools of a route drain one after the other, the fallback first. Calls are sent only to the remaining pools and are
// rejected immediately if none remains. A pool that returns is used again.
func TestPoolsThatDrain(t *testing.T) {
	t.Parallel()
	nodes, answers := startFleet(t, 3), newAnswerLog()
	for _, s := range nodes.exchanges {
		s.behavesByDigit = true
	}
	rules := filepath.Join(t.TempDir(), "numbers.toml")
	text := "default = \"r\"\n[[route]]\nname = \"r\"\n[[route.target]]\npool = 0\n[[route.target]]\npool = 1\nstep = 1\n"
	if err := os.WriteFile(rules, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	nodes.numbers = &config.Numbering{File: rules}
	if err := nodes.numbers.Validate(); err != nil {
		t.Fatal(err)
	}
	s := nodes.startServer(t, "n0", "", new(atomic.Int64))
	callers := []testCaller{dialJSONCaller(t, s.jsonAddress(), answers, "aaaaaaaa"), dialGatewayCaller(t, s.gatewayAddress(), answers, "<one>")}
	invited := func() (all [3]int) {
		for i, x := range nodes.exchanges {
			x.mu.Lock()
			all[i] = x.invited
			x.mu.Unlock()
		}
		return all
	}
	drain := func(which ...int) {
		lines := append([]endpointLine(nil), nodes.lines...)
		for _, i := range which {
			lines[i].draining = true
		}
		nodes.discovery.set(lines...)
		eventually(t, "the drain is known", func() bool {
			got := make(chan bool, 1)
			s.server.loop.Execute(func() {
				same := true
				for i, l := range lines {
					same = same && s.server.backends.Get(l.id).IsDraining() == lines[i].draining
				}
				got <- same
			})
			return <-got
		})
	}
	// checkRouting sets up calls on both frontends until two of them have been sent to an allowed exchange or, if no
	// exchange is allowed, have been rejected immediately. No call may be sent to another exchange. Calls that the
	// admission control rejects because it has too few results of an exchange are tried again.
	checkRouting := func(what, number string, allowed ...int) {
		t.Helper()
		for good, end := 0, time.Now().Add(10*time.Second); good < 2; {
			if time.Now().After(end) {
				t.Fatalf("%s: %d of 2 calls were routed as expected", what, good)
			}
			before, began := invited(), time.Now()
			key := callers[good%2].setUp(number, 4*time.Second)
			eventually(t, what+": the call ends", func() bool { return strings.Contains(answers.of(key), "end") })
			took, to := time.Since(began), -1
			for i, n := range invited() {
				if n == before[i] {
					continue
				}
				if to = i; !slices.Contains(allowed, i) {
					t.Errorf("%s: a call was sent to exchange %d", what, i)
				}
			}
			switch {
			case slices.Contains(allowed, to), len(allowed) == 0 && to < 0 && took < time.Second:
				good++
			case len(allowed) == 0 && to < 0:
				t.Errorf("%s: a call was rejected only after %v", what, took)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	checkRouting("no pool drains", "1230", 0, 1)
	drain(1)
	checkRouting("the fallback drains", "1230", 0)
	drain(0, 1)
	checkRouting("all pools of the route drain", "1230")
	drain(0)
	checkRouting("the fallback is in service again", "1230", 1)
	drain(1)
	checkRouting("the first pool is in service again, the fallback drains", "1230", 0)
	checkRouting("the first exchange rejects each call once", "1236", 0)
	if n := invited()[2]; n > 0 {
		t.Errorf("%d calls were sent to a pool that is not part of the route", n)
	}
	s.stop(t)
	if n := nodes.observations.total(&nodes.observations.simultaneousAttempts) + nodes.observations.total(&nodes.observations.earlyRetries); n != 0 {
		t.Errorf("%d simultaneous attempts or early retries, want none", n)
	}
}
