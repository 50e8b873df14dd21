package soak

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"olivedale/internal/sim/invariant"
	"olivedale/internal/sim/scenario"
)

// programDir is the directory of the program; "": it was not built.
var programDir string

// program builds the call controller once and returns its path.
var program = sync.OnceValues(func() (path string, err error) {
	if programDir, err = os.MkdirTemp("", "soak-bin-"); err != nil {
		return "", err
	}
	path = filepath.Join(programDir, "olivedale")
	if out, err := exec.Command("go", "build", "-o", path, "olivedale/cmd/olivedale").CombinedOutput(); err != nil {
		return "", errors.New(string(out))
	}
	return path, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if programDir != "" {
		_ = os.RemoveAll(programDir)
	}
	os.Exit(code)
}

// runPlan runs a plan and writes its progress to the log of the test.
func runPlan(t *testing.T, plan *Plan) *Result {
	t.Helper()
	path, err := program()
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(Options{Program: path, Dir: t.TempDir(), Out: t.Output()}, plan)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", r.Counts)
	return r
}

// reportViolations fails the test with each violation and its events.
func reportViolations(t *testing.T, violations []*invariant.Violation) {
	t.Helper()
	for _, v := range violations {
		t.Errorf("%v", v)
		for _, e := range v.Events {
			t.Logf("    %v", e)
		}
	}
}

// minimalPlan returns a plan with one controller, two exchanges and the given faults. Calls are released by their
// callers or last longer than the run.
func minimalPlan(faults ...Fault) *Plan {
	return &Plan{
		Seed:        1,
		Combination: "test",
		Deployment: Deployment{
			Controllers: 1, Exchanges: 2, Classes: []string{"voice"}, Deadline: seconds(2), MeanHold: seconds(600),
			Rate: 20, MemoryMB: 64, Sockets: 256,
		},
		CallTime: seconds(3),
		Faults:   faults,
	}
}

// An exchange vanishes without closing its connections while discovery is silent: the callers of its established calls
// must be notified within 8 s (report 485f2c), whether or not new set-ups arrive.
func TestCallsAtVanishedExchange(t *testing.T) {
	t.Parallel()
	for name, callTime := range map[string]scenario.Duration{"calls go on": seconds(12), "quiet": seconds(3)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			plan := minimalPlan(
				Fault{At: seconds(1), Kind: FaultSilentDiscovery, Duration: seconds(11)},
				Fault{At: seconds(2.9), Kind: FaultVanish, Target: 0},
			)
			plan.CallTime = callTime
			plan.Deployment.Rate = 20 / (callTime.D().Seconds() / 3)
			r := runPlan(t, plan)
			if r.Counts.Lost < 5 {
				t.Errorf("only %d calls were established at the exchange, want 5 or more", r.Counts.Lost)
			}
			reportViolations(t, r.Violations)
		})
	}
}

// Neither a partition of 6 s nor an exchange that hangs for 6 s ends an established call while discovery is silent,
// whether or not new set-ups arrive.
func TestCallsBehindPartitionStand(t *testing.T) {
	t.Parallel()
	for _, kind := range []FaultKind{FaultPartition, FaultHang} {
		for name, callTime := range map[string]scenario.Duration{"calls go on": seconds(12), "quiet": seconds(3)} {
			t.Run(fmt.Sprint(kind, " ", name), func(t *testing.T) {
				t.Parallel()
				plan := minimalPlan(
					Fault{At: seconds(1), Kind: FaultSilentDiscovery, Duration: seconds(11)},
					Fault{At: seconds(2.9), Kind: kind, Target: 0, Duration: seconds(6)},
				)
				plan.CallTime = callTime
				plan.Deployment.Rate = 20 / (callTime.D().Seconds() / 3)
				r := runPlan(t, plan)
				if r.Counts.Cut > 0 || r.Counts.Established < 20 {
					t.Errorf("%d of %d calls were released although they were still established",
						r.Counts.Cut, r.Counts.Established)
				}
				reportViolations(t, r.Violations)
			})
		}
	}
}

// Guards against a drain that is missed for good: broken configurations that name another address of discovery were taken
// at SIGHUP in part, and the controller then sent set-ups to an exchange until that stopped.
func TestBrokenReloadTakesNothing(t *testing.T) {
	t.Parallel()
	for breaker := range configBreakers {
		t.Run(fmt.Sprint("breaker ", breaker), func(t *testing.T) {
			t.Parallel()
			plan := minimalPlan(
				Fault{At: seconds(0.5), Kind: FaultBrokenReload, Duration: seconds(2.5)},
				Fault{At: seconds(3), Kind: FaultReplace, Target: 0, Duration: seconds(10.5)},
			)
			plan.Seed = uint64(breaker * len(combinations))
			plan.CallTime = seconds(13.5)
			plan.Deployment.Rate = 10
			r := runPlan(t, plan)
			if r.Counts.Established < 50 {
				t.Errorf("only %d calls were established, want 50 or more", r.Counts.Established)
			}
			reportViolations(t, r.Violations)
		})
	}
}

// Generated plans of all combinations violate no rule.
func TestGeneratedPlans(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	t.Parallel()
	const seeds = 5
	for seed := range uint64(seeds) {
		plan := GeneratePlan(seed)
		t.Run(fmt.Sprintf("seed %d, %s", seed, plan.Combination), func(t *testing.T) {
			t.Parallel()
			start := time.Now()
			reportViolations(t, runPlan(t, plan).Violations)
			t.Logf("took %v", time.Since(start).Round(time.Millisecond))
		})
	}
}

// A seed always generates the same plan, and consecutive seeds generate all combinations.
func TestGeneratePlan(t *testing.T) {
	t.Parallel()
	generated := make(map[string]bool)
	for seed := range uint64(100) {
		first, second := GeneratePlan(seed), GeneratePlan(seed)
		if fmt.Sprintf("%+v", first) != fmt.Sprintf("%+v", second) {
			t.Fatalf("seed %d generates two different plans", seed)
		}
		generated[first.Combination] = true
		for _, f := range first.Faults {
			isController := f.Kind == FaultTerminate || f.Kind == FaultTerminateInReload || f.Kind == FaultKill ||
				f.Kind == FaultReload || f.Kind == FaultBrokenReload
			count := first.Deployment.Exchanges
			if isController {
				count = first.Deployment.Controllers
			}
			if f.Target >= count || f.At.D() < 0 || f.At.D() > 20*time.Second || f.Kind.String() == "" {
				t.Errorf("seed %d: %+v", seed, f)
			}
		}
	}
	if len(generated) != len(combinations) {
		t.Errorf("%d of %d combinations were generated", len(generated), len(combinations))
	}
}

// An exchange that is full resets its connections and refuses others, while discovery is silent. Its calls continue, so none
// of them may be left standing whose caller was told that it is over (case 7 of the second review).
func TestCallsAtFullExchange(t *testing.T) {
	t.Parallel()
	for _, full := range []float64{1, 9} {
		t.Run(fmt.Sprint(full, " s"), func(t *testing.T) {
			t.Parallel()
			plan := minimalPlan(
				Fault{At: seconds(1), Kind: FaultSilentDiscovery, Duration: seconds(11)},
				Fault{At: seconds(2.9), Kind: FaultFull, Target: 0, Duration: seconds(full)},
			)
			r := runPlan(t, plan)
			if r.Counts.Established < 20 {
				t.Errorf("only %d calls were established", r.Counts.Established)
			}
			t.Logf("%d callers were notified while their calls stood", r.Counts.Cut)
			reportViolations(t, r.Violations)
		})
	}
}
