package virtualtime

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"olivedale/internal/sim/invariant"
	"olivedale/internal/sim/result"
	"olivedale/internal/sim/scenario"
)

func seconds(s float64) scenario.Duration { return scenario.Duration(s * float64(time.Second)) }

// randomScenario draws a scenario: a small fleet, some load, two or three faults that may overlap.
func randomScenario(seed uint64, length float64) *scenario.Scenario {
	rng := rand.New(rand.NewPCG(seed, 77))
	sc := scenario.Default()
	sc.Name = fmt.Sprint("random ", seed)
	sc.Length = seconds(length)
	sc.Fleet.Controllers, sc.Fleet.Exchanges = 2+rng.IntN(7), 2+rng.IntN(3)
	sc.Callers.Load = 0.5 + 1.2*rng.Float64()
	sc.Callers.IgnoresRetryAfter = rng.IntN(4) == 0
	sc.Callers.HotNumberShare = []float64{0, 0.1}[rng.IntN(2)]
	for range 2 + rng.IntN(2) {
		sc.Fault = append(sc.Fault, scenario.Fault{
			Kind:   scenario.Kinds[rng.IntN(len(scenario.Kinds))],
			At:     seconds(length * (0.2 + 0.4*rng.Float64())),
			For:    seconds(3 + 5*rng.Float64()),
			Share:  0.1 + 0.4*rng.Float64(),
			Factor: 1.4 + 2*rng.Float64(),
			Keep:   0.4,
			By:     seconds(1 + 4*rng.Float64()),
		})
	}
	return &sc
}

// reportViolations fails the test with the violations of a run and logs the events around the first violation.
func reportViolations(t testing.TB, sc *scenario.Scenario, r *result.Result) {
	t.Helper()
	t.Errorf("%s, seed %d, %v: %v", r.Scenario, r.Seed, sc.Fault, r.ViolationCounts)
	for _, v := range r.Violations[:min(len(r.Violations), 1)] {
		t.Log(v)
		for _, e := range v.Events {
			t.Log(e)
		}
	}
}

// checkRandomScenarios runs random scenarios and reports the violations of invariants.
func checkRandomScenarios(t testing.TB, seeds uint64, length float64) {
	for seed := range seeds {
		sc := randomScenario(seed, length)
		if r := Run(sc, seed, Options{}); len(r.ViolationCounts) > 0 {
			reportViolations(t, sc, r)
		}
	}
}

// The product violates no invariant under random faults.
func TestNoViolations(t *testing.T) {
	t.Parallel()
	checkRandomScenarios(t, 24, 15)
}

// abandonedCalls tracks calls that are abandoned before the deadline that the caller set.
type abandonedCalls struct {
	t              *testing.T
	seed           uint64
	isAbandoned    map[string]bool
	hasOpenAttempt map[string]bool
	withoutAttempt int // calls abandoned while no attempt was open
}

func (a *abandonedCalls) watch(e invariant.Event) {
	id := e.Controller + " " + e.Call
	switch e.Kind {
	case invariant.AttemptSent:
		if a.isAbandoned[id] {
			a.t.Errorf("seed %d: an attempt for an abandoned call: %v", a.seed, e)
		}
		a.hasOpenAttempt[id] = true
	case invariant.AttemptCanceled, invariant.AttemptUnsent, invariant.AttemptRejected, invariant.AttemptBroken, invariant.AttemptAnswered:
		delete(a.hasOpenAttempt, id)
	case invariant.CallAbandoned:
		a.isAbandoned[id] = true
		if !a.hasOpenAttempt[id] {
			a.withoutAttempt++
		}
	}
}

// No invariant is violated if half of the callers abandon their calls before the deadline, in any state of the calls:
// no attempt follows, and a retry is another call.
func TestNoViolationsByEarlyAbandonment(t *testing.T) {
	t.Parallel()
	abandoned, withoutAttempt := 0, 0
	for seed := range uint64(24) {
		sc := randomScenario(seed, 15)
		sc.Callers.AbandonShare = 0.5
		calls := &abandonedCalls{
			t: t, seed: seed, isAbandoned: make(map[string]bool), hasOpenAttempt: make(map[string]bool),
		}
		r := Run(sc, seed, Options{Watch: calls.watch})
		if len(r.ViolationCounts) > 0 {
			reportViolations(t, sc, r)
		}
		abandoned += len(calls.isAbandoned)
		withoutAttempt += calls.withoutAttempt
	}
	if abandoned < 1000 || withoutAttempt < 50 {
		t.Errorf("%d calls abandoned, %d of them without an open attempt: too few for this test",
			abandoned, withoutAttempt)
	}
}

// BenchmarkNoViolations runs 200 random scenarios:
// go test -run '^$' -bench NoViolations -benchtime 1x ./internal/sim/virtualtime
func BenchmarkNoViolations(b *testing.B) {
	for range b.N {
		checkRandomScenarios(b, 200, 30)
	}
}

// Under random faults, a run is reproducible byte for byte from its seed, on any number of cores. Iteration over a map
// in call.Manager broke this once.
func TestDeterminism(t *testing.T) {
	allCores := runtime.GOMAXPROCS(0)
	defer runtime.GOMAXPROCS(allCores)
	var want []byte
	for _, cores := range []int{1, 2, allCores} {
		runtime.GOMAXPROCS(cores)
		var b bytes.Buffer
		for seed := range uint64(6) {
			if err := Run(randomScenario(seed, 15), seed, Options{}).WriteJSON(&b); err != nil {
				t.Fatal(err)
			}
		}
		if want == nil {
			want = b.Bytes()
		} else if !bytes.Equal(want, b.Bytes()) {
			t.Errorf("on %d cores: the results differ from those on one core", cores)
		}
	}
}

// BenchmarkLargeFleet measures time and memory of one minute of a large fleet:
// go test -run '^$' -bench LargeFleet -benchtime 1x ./internal/sim/virtualtime
func BenchmarkLargeFleet(b *testing.B) {
	for range b.N {
		sc := scenario.Default()
		sc.Fleet.Controllers, sc.Fleet.Exchanges = 400, 300
		began := time.Now()
		r := Run(&sc, 1, Options{})
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		b.Logf("a minute of %d controllers and %d exchanges: %v, %d events, %d calls, service %.3f, %d MB; violations %v",
			sc.Fleet.Controllers, sc.Fleet.Exchanges, time.Since(began).Round(time.Second), r.Events, r.Offered, r.Service,
			m.Sys>>20, r.ViolationCounts)
	}
}
