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

// The pools of a number drain one after the other, the fallback first: calls go to the pools that are left, to no
// other, and are answered at once where none is left. A pool that returns is used.
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
	drains := func(which ...int) {
		lines := append([]endpointLine(nil), nodes.lines...)
		for _, i := range which {
			lines[i].draining = true
		}
		nodes.discovery.set(lines...)
		eventually(t, "the server is notified", func() bool {
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
	// goes sets calls up on both frontends until two have gone to one of the exchanges that may have
	// them, or where none may until two have been answered at once. None may go elsewhere. Calls that
	// the admission control rejects since it does not know an exchange well yet are tried again.
	goes := func(what, number string, may ...int) {
		t.Helper()
		for good, end := 0, time.Now().Add(10*time.Second); good < 2; {
			if time.Now().After(end) {
				t.Fatalf("%s: %d of 2 calls went where they may", what, good)
			}
			before, began := invited(), time.Now()
			key := callers[good%2].setUp(number, 4*time.Second)
			eventually(t, what+": it ends", func() bool { return strings.Contains(answers.of(key), "end") })
			took, to := time.Since(began), -1
			for i, n := range invited() {
				if n == before[i] {
					continue
				}
				if to = i; !slices.Contains(may, i) {
					t.Errorf("%s: a call went to %d", what, i)
				}
			}
			switch {
			case slices.Contains(may, to), len(may) == 0 && to < 0 && took < time.Second:
				good++
			case len(may) == 0 && to < 0:
				t.Errorf("%s: a call was turned away after %v", what, took)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	goes("all are there", "1230", 0, 1)
	drains(1)
	goes("the fallback drains", "1230", 0)
	drains(0, 1)
	goes("all pools of the route drain", "1230")
	drains(0)
	goes("the fallback is back", "1230", 1)
	drains(1)
	goes("the first is back, the fallback drains", "1230", 0)
	goes("its server turns calls down once", "1236", 0)
	if n := invited()[2]; n > 0 {
		t.Errorf("%d calls to a pool that the route does not have", n)
	}
	s.stop(t)
	if n := nodes.observations.total(&nodes.observations.simultaneousAttempts) + nodes.observations.total(&nodes.observations.earlyRetries); n != 0 {
		t.Errorf("%d rules broken", n)
	}
}
