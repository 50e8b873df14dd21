package overloadpeers

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"olivedale/internal/call"
	"olivedale/internal/overload"
	"olivedale/internal/sim/result"
	"olivedale/internal/sim/scenario"
	"olivedale/internal/sim/virtualtime"
)

// many are the scenarios of large fleets, made small.
func many(t testing.TB, controllers int, length time.Duration) (all []*scenario.Scenario) {
	t.Helper()
	paths, err := filepath.Glob("../../../deploy/sim/many/*.toml")
	if err != nil || len(paths) < 5 {
		t.Fatalf("%d scenarios: %v", len(paths), err)
	}
	for _, p := range paths {
		sc, err := scenario.Load(p)
		if err != nil {
			t.Fatal(err)
		}
		sc.Fleet.Controllers, sc.Length = controllers, scenario.Duration(length)
		for i := range sc.Fault {
			sc.Fault[i].At = scenario.Duration(sc.Fault[i].At.D() / 5)
			sc.Fault[i].For = scenario.Duration(sc.Fault[i].For.D() / 2)
		}
		all = append(all, sc)
	}
	return all
}

func text(t testing.TB, r *result.Result) string {
	t.Helper()
	b, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// Whatever controllers tell each other, and whatever of it gets lost or is a lie, no rule is broken; and a run
// repeats to the byte.
func TestSharingBreaksNoRule(t *testing.T) {
	t.Parallel()
	for i, sc := range many(t, 40, 14*time.Second) {
		for seed := range uint64(3) {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			sc.Wire.Lose = 0.4 * rng.Float64()
			sc.Fleet.Liars, sc.Fleet.Lie = 0.3*rng.Float64(), []string{scenario.LieWell, scenario.LiePressed}[rng.IntN(2)]
			kills := scenario.Fault{Kind: scenario.Kill, At: scenario.Duration(8 * time.Second), Share: 0.7, By: scenario.Duration(2 * time.Second)}
			one := *sc
			one.Fault = append(slices.Clone(sc.Fault), kills, scenario.Fault{Kind: scenario.Sever, At: scenario.Duration(4 * time.Second), For: scenario.Duration(3 * time.Second)})
			r := virtualtime.Run(&one, seed, virtualtime.Options{Share: Start})
			if len(r.Broken) > 0 {
				t.Errorf("%s, seed %d, %.0f%% lost, %.0f%% liars: %v", sc.Name, seed, 100*sc.Wire.Lose, 100*sc.Fleet.Liars, r.Broken)
			}
			if r.Datagrams == 0 {
				t.Errorf("%s, seed %d: nothing was said", sc.Name, seed)
			}
			if seed == 0 && text(t, r) != text(t, virtualtime.Run(&one, seed, virtualtime.Options{Share: Start})) {
				t.Errorf("%s, seed %d: played again it is another day", sc.Name, seed)
			}
		}
	}
}

// Callers of controllers that see three times as many calls as others are served as well as theirs.
func TestSharingIsFair(t *testing.T) {
	t.Parallel()
	sc := many(t, 100, 20*time.Second)[2]
	sc.Callers.Load = 1.4
	r := virtualtime.Run(sc, 1, virtualtime.Options{Share: Start})
	if r.Fairness < 0.95 {
		t.Errorf("%s: Jain's index of what controllers' callers got is %.3f, want 0.95", sc.Name, r.Fairness)
	}
}

// A holder notes when half of the controllers hold calls back from a server.
type holder struct {
	virtualtime.Sharer
	self int
	see  func(now time.Duration, self int, s *overload.State)
}

func (h holder) Tick(now time.Duration) {
	h.Sharer.Tick(now)
	if m, ok := h.Sharer.(*member); ok {
		h.see(now, h.self, m.m.State(now))
	}
}

// BenchmarkHalfHoldsBack tells how long after servers slow down half of 300 controllers hold calls back from one of
// them: go test -run '^$' -bench HalfHolds -benchtime 1x ./internal/sim/overloadpeers
func BenchmarkHalfHoldsBack(b *testing.B) {
	for range b.N {
		var took []float64
		for seed := range uint64(12) {
			sc, err := scenario.Load("../../../deploy/sim/many/slow.toml")
			if err != nil {
				b.Fatal(err)
			}
			sc.Length = scenario.Duration(32 * time.Second)
			slow, half := sc.Fault[0].At.D(), time.Duration(0)
			first, before := make(map[string]map[int]bool), make(map[string]bool)
			opt := virtualtime.Options{Share: func(sc *scenario.Scenario, node, life int, seed uint64, now time.Duration, d call.Decider, say func(int, []byte)) virtualtime.Sharer {
				return holder{Start(sc, node, life, seed, now, d, say), node, func(now time.Duration, self int, s *overload.State) {
					at := now - 1000*time.Hour
					if at < slow-3*time.Second || half > 0 {
						return
					}
					for _, v := range s.Servers {
						if v.ThrottleChance == ([4]float64{}) || before[v.ID] {
							continue
						}
						if at < slow { // it is pressed for another reason
							before[v.ID] = true
							continue
						}
						if first[v.ID] == nil {
							first[v.ID] = make(map[int]bool)
						}
						if first[v.ID][self] = true; len(first[v.ID]) >= sc.Fleet.Controllers/2 && half == 0 {
							half = at - slow
						}
					}
				}}
			}}
			virtualtime.Run(sc, seed, opt)
			took = append(took, half.Seconds())
		}
		slices.Sort(took)
		b.Log("seconds until half hold back from a server that was not pressed in the 3 s before, by seed: ", fmt.Sprintf("%.2f", took))
		b.ReportMetric(took[len(took)/2], "s/half")
	}
}
