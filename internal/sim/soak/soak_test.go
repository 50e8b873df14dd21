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

// programDir is the folder of the program; "": it was not needed.
var programDir string

// program builds the call controller once.
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

// playStory plays a story; the log of the test has its course.
func playStory(t *testing.T, story *Story) *Result {
	t.Helper()
	path, err := program()
	if err != nil {
		t.Fatal(err)
	}
	r, err := Play(Options{Program: path, Dir: t.TempDir(), Out: t.Output()}, story)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", r.Counts)
	return r
}

// reportViolations fails the test for each violation.
func reportViolations(t *testing.T, violations []*invariant.Violation) {
	t.Helper()
	for _, v := range violations {
		t.Errorf("%v", v)
		for _, e := range v.Events {
			t.Logf("    %v", e)
		}
	}
}

// quietStory is a trial of one controller and two exchanges without faults; calls are released by their callers or
// last longer than the trial.
func quietStory(faults ...Fault) *Story {
	return &Story{
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

// An exchange vanishes without a word while discovery is down: the callers of the calls that stood there are notified
// within 8 s (report 485f2c), whether or not set-ups go on.
func TestCallsAtVanishedExchange(t *testing.T) {
	t.Parallel()
	for name, callTime := range map[string]scenario.Duration{"calls go on": seconds(12), "quiet": seconds(3)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			story := quietStory(
				Fault{At: seconds(1), Kind: FaultSilentDiscovery, Duration: seconds(11)},
				Fault{At: seconds(2.9), Kind: FaultVanish, Target: 0},
			)
			story.CallTime = callTime
			story.Deployment.Rate = 20 / (callTime.D().Seconds() / 3)
			r := playStory(t, story)
			if r.Counts.Lost < 5 {
				t.Errorf("only %d calls stood at the exchange", r.Counts.Lost)
			}
			reportViolations(t, r.Violations)
		})
	}
}

// A partition of 6 s and an exchange that hangs for 6 s cut no call, while discovery is down, whether or not set-ups go
// on.
func TestCallsBehindPartitionStand(t *testing.T) {
	t.Parallel()
	for _, kind := range []FaultKind{FaultPartition, FaultHang} {
		for name, callTime := range map[string]scenario.Duration{"calls go on": seconds(12), "quiet": seconds(3)} {
			t.Run(fmt.Sprint(kind, " ", name), func(t *testing.T) {
				t.Parallel()
				story := quietStory(
					Fault{At: seconds(1), Kind: FaultSilentDiscovery, Duration: seconds(11)},
					Fault{At: seconds(2.9), Kind: kind, Target: 0, Duration: seconds(6)},
				)
				story.CallTime = callTime
				story.Deployment.Rate = 20 / (callTime.D().Seconds() / 3)
				r := playStory(t, story)
				if r.Counts.Cut > 0 || r.Counts.Established < 20 {
					t.Errorf("%d of %d calls were cut", r.Counts.Cut, r.Counts.Established)
				}
				reportViolations(t, r.Violations)
			})
		}
	}
}

// Stories of all combinations, drawn from seeds, violate no rule.
func TestStories(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	t.Parallel()
	const seeds = 5
	for seed := range uint64(seeds) {
		story := DrawStory(seed)
		t.Run(fmt.Sprintf("seed %d, %s", seed, story.Combination), func(t *testing.T) {
			t.Parallel()
			start := time.Now()
			reportViolations(t, playStory(t, story).Violations)
			t.Logf("took %v", time.Since(start).Round(time.Millisecond))
		})
	}
}

// A seed draws the same story each time, and seeds in a row draw all combinations.
func TestDrawStory(t *testing.T) {
	t.Parallel()
	drawn := make(map[string]bool)
	for seed := range uint64(100) {
		one, other := DrawStory(seed), DrawStory(seed)
		if fmt.Sprintf("%+v", one) != fmt.Sprintf("%+v", other) {
			t.Fatalf("seed %d draws two stories", seed)
		}
		drawn[one.Combination] = true
		for _, f := range one.Faults {
			isController := f.Kind == FaultTerminate || f.Kind == FaultTerminateInReload || f.Kind == FaultKill || f.Kind == FaultReload
			count := one.Deployment.Exchanges
			if isController {
				count = one.Deployment.Controllers
			}
			if f.Target >= count || f.At.D() < 0 || f.At.D() > 20*time.Second || f.Kind.String() == "" {
				t.Errorf("seed %d: %+v", seed, f)
			}
		}
	}
	if len(drawn) != len(combinations) {
		t.Errorf("drew %d combinations of %d", len(drawn), len(combinations))
	}
}
