package overloadpeers

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"olivedale/internal/overload"
	"olivedale/internal/sim/result"
	"olivedale/internal/sim/scenario"
	"olivedale/internal/sim/virtualtime"
)

// shrunkScenarios returns the scenarios of large fleets with fewer controllers and a shorter run.
func shrunkScenarios(t testing.TB, controllers int, length time.Duration) (scenarios []*scenario.Scenario) {
	t.Helper()
	paths, err := filepath.Glob("../../../deploy/sim/many/*.toml")
	if err != nil || len(paths) < 5 {
		t.Fatalf("%d scenarios: %v", len(paths), err)
	}
	for _, path := range paths {
		sc, err := scenario.Load(path)
		if err != nil {
			t.Fatal(err)
		}
		sc.Fleet.Controllers, sc.Length = controllers, scenario.Duration(length)
		for i := range sc.Fault {
			sc.Fault[i].At = scenario.Duration(sc.Fault[i].At.D() / 5)
			sc.Fault[i].For = scenario.Duration(sc.Fault[i].For.D() / 2)
		}
		scenarios = append(scenarios, sc)
	}
	return scenarios
}

func marshal(t testing.TB, r *result.Result) string {
	t.Helper()
	b, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// Overload control violates no invariant, whatever share of its messages is lost or false, and a run is reproducible
// byte for byte from its seed.
func TestSharingViolatesNoInvariant(t *testing.T) {
	t.Parallel()
	for i, base := range shrunkScenarios(t, 40, 14*time.Second) {
		for seed := range uint64(3) {
			sc := withPeerFaults(base, rand.New(rand.NewPCG(seed, uint64(i))))
			options := virtualtime.Options{StartPeer: Start}
			r := virtualtime.Run(sc, seed, options)
			if len(r.ViolationCounts) > 0 {
				t.Errorf("%s, seed %d, %.0f%% lost, %.0f%% byzantine: %v",
					sc.Name, seed, 100*sc.Network.PeerLoss, 100*sc.Fleet.ByzantineShare, r.ViolationCounts)
			}
			if r.Datagrams == 0 {
				t.Errorf("%s, seed %d: no datagram was sent", sc.Name, seed)
			}
			if seed == 0 && marshal(t, r) != marshal(t, virtualtime.Run(sc, seed, options)) {
				t.Errorf("%s, seed %d: the second run differs", sc.Name, seed)
			}
		}
	}
}

// withPeerFaults returns a copy of a scenario with lost datagrams, byzantine peers, killed controllers and a partition.
func withPeerFaults(base *scenario.Scenario, rng *rand.Rand) *scenario.Scenario {
	sc := *base
	sc.Network.PeerLoss = 0.4 * rng.Float64()
	sc.Fleet.ByzantineShare = 0.3 * rng.Float64()
	sc.Fleet.ByzantineReport = []string{scenario.ReportNoOverload, scenario.ReportOverload}[rng.IntN(2)]
	kill := scenario.Fault{
		Kind:  scenario.Kill,
		At:    scenario.Duration(8 * time.Second),
		Share: 0.7,
		By:    scenario.Duration(2 * time.Second),
	}
	partition := scenario.Fault{
		Kind: scenario.Partition,
		At:   scenario.Duration(4 * time.Second),
		For:  scenario.Duration(3 * time.Second),
	}
	sc.Fault = append(slices.Clone(base.Fault), kill, partition)
	return &sc
}

// Callers of controllers that receive three times as many calls as others are served as well as the others' callers.
func TestSharingIsFair(t *testing.T) {
	t.Parallel()
	sc := shrunkScenarios(t, 100, 20*time.Second)[2]
	sc.Callers.Load = 1.4
	r := virtualtime.Run(sc, 1, virtualtime.Options{StartPeer: Start})
	if r.Fairness < 0.95 {
		t.Errorf("%s: Jain's fairness index over the controllers is %.3f, want 0.95", sc.Name, r.Fairness)
	}
}

// observedPeer calls observe with the state of an honest peer after each tick.
type observedPeer struct {
	virtualtime.Peer
	controller int
	observe    func(now time.Duration, controller int, state *overload.State)
}

func (p observedPeer) Tick(now time.Duration) {
	p.Peer.Tick(now)
	if honest, ok := p.Peer.(*honestPeer); ok {
		p.observe(now, p.controller, honest.member.State(now))
	}
}

// runEpoch is the reading of the controllers' clocks at the start of a run.
const runEpoch = 1000 * time.Hour

// throttleDetector measures the delay from the slowdown of servers until half of the controllers throttle one of them.
type throttleDetector struct {
	controllers  int
	slowdownAt   time.Duration
	throttledBy  map[string]map[int]bool // controllers that throttle a server
	wasThrottled map[string]bool         // servers throttled before the slowdown, for another reason
	delay        time.Duration           // 0: not found yet
}

func (d *throttleDetector) observe(now time.Duration, controller int, state *overload.State) {
	at := now - runEpoch
	if at < d.slowdownAt-3*time.Second || d.delay > 0 {
		return
	}
	for _, server := range state.Servers {
		isThrottled := server.ThrottleProbability != [4]float64{}
		if !isThrottled || d.wasThrottled[server.ID] {
			continue
		}
		if at < d.slowdownAt {
			d.wasThrottled[server.ID] = true
			continue
		}
		if d.throttledBy[server.ID] == nil {
			d.throttledBy[server.ID] = make(map[int]bool)
		}
		d.throttledBy[server.ID][controller] = true
		isHalf := len(d.throttledBy[server.ID]) >= d.controllers/2
		if isHalf && d.delay == 0 {
			d.delay = at - d.slowdownAt
		}
	}
}

// BenchmarkHalfThrottles reports the delay from a slowdown until half of 300 controllers throttle a slow server:
// go test -run '^$' -bench HalfThrottles -benchtime 1x ./internal/sim/overloadpeers
func BenchmarkHalfThrottles(b *testing.B) {
	for range b.N {
		var delays []float64 // in seconds
		for seed := range uint64(12) {
			sc, err := scenario.Load("../../../deploy/sim/many/slow.toml")
			if err != nil {
				b.Fatal(err)
			}
			sc.Length = scenario.Duration(32 * time.Second)
			detector := &throttleDetector{
				controllers:  sc.Fleet.Controllers,
				slowdownAt:   sc.Fault[0].At.D(),
				throttledBy:  make(map[string]map[int]bool),
				wasThrottled: make(map[string]bool),
			}
			virtualtime.Run(sc, seed, virtualtime.Options{StartPeer: func(cfg virtualtime.PeerConfig) virtualtime.Peer {
				return observedPeer{Start(cfg), cfg.Controller, detector.observe}
			}})
			delays = append(delays, detector.delay.Seconds())
		}
		slices.Sort(delays)
		b.Log("seconds until half of the controllers throttle a server that was not throttled in the 3 s before, by seed: ",
			fmt.Sprintf("%.2f", delays))
		b.ReportMetric(delays[len(delays)/2], "s/half")
	}
}
