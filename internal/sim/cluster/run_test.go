package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"olivedale/internal/adminapi"
	"olivedale/internal/record"
	"olivedale/internal/sim/scenario"
)

// programsDir is the directory of the programs, or "" if no test has needed them.
var programsDir string

// buildPrograms builds the programs that a run needs, at the first call.
var buildPrograms = sync.OnceValues(func() (dir string, err error) {
	if dir, err = os.MkdirTemp("", "cluster-bin-"); err != nil {
		return "", err
	}
	programsDir = dir
	if out, err := exec.Command("go", "build", "-o", dir+"/", "olivedale/cmd/olivedale", "olivedale/cmd/oliveagent").CombinedOutput(); err != nil {
		return "", errors.New(string(out))
	}
	self, err := os.Executable() // TestMain implements the command "hold" of olivesim
	if err != nil {
		return "", err
	}
	return dir, os.Symlink(self, filepath.Join(dir, "olivesim"))
})

// testOptions returns options for a run of a schedule with six controllers, three exchanges and three zones.
func testOptions(t *testing.T, s *Schedule, length time.Duration) Options {
	t.Helper()
	bin, err := buildPrograms()
	if err != nil {
		t.Fatal(err)
	}
	sc := scenario.Default()
	sc.Callers.Load = 0.6
	return Options{Bin: bin, Dir: t.TempDir(), Topology: Topology{Controllers: 6, Exchanges: 3, Zones: 3}, Scenario: &sc, Schedule: s, CallDuration: length}
}

// killedRunDir is the environment variable that makes TestKilledRunLeavesNoProcess act as the run to be killed. Its
// value is the directory of the run.
const killedRunDir = "CLUSTER_PLAY_DIR"

func seconds(s float64) scenario.Duration { return scenario.Duration(s * float64(time.Second)) }

// TestFaultsBetweenProcesses runs six controllers under three agents with faults of many kinds in ten seconds. It
// checks that no rule is violated, killed and terminated controllers are restarted, most calls are established, and the
// records of a killed controller and of one with a full disk end with an end record.
func TestFaultsBetweenProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	s := &Schedule{Seed: 3, Faults: []*Fault{
		{At: seconds(0.5), Duration: seconds(2), Kind: FaultPartition, Name: "zone", From: []string{"z1"}, To: []string{"x0", "x2"}},
		{At: seconds(1), Kind: FaultKill, From: []string{"n0"}},
		{At: seconds(1.5), Duration: seconds(1.5), Kind: FaultPause, From: []string{"n1"}},
		{At: seconds(2), Duration: seconds(2.6), Kind: FaultReplace, From: []string{"x0"}},
		{At: seconds(2.5), Duration: seconds(1), Kind: FaultPartition, Name: "directory", From: []string{"z2"}, To: []string{"names"}},
		{At: seconds(3), Kind: FaultConnectionReset, From: []string{"n*"}, To: []string{"x1"}},
		{At: seconds(3.2), Duration: seconds(1.5), Kind: FaultOneWayPartition, From: []string{"x2"}, To: []string{"n4"}},
		{At: seconds(3.5), Duration: seconds(1.5), Kind: FaultPartition, Name: "agent", From: []string{"a2"}, To: []string{"etcd"}},
		{At: seconds(4), Kind: FaultTerminate, From: []string{"n5"}},
		{At: seconds(5), Duration: seconds(1), Kind: FaultHang, From: []string{"x1"}},
		{At: seconds(5.5), Duration: seconds(1.5), Kind: FaultDiskFull, From: []string{"n3"}},
	}}
	o := testOptions(t, s, 10*time.Second)
	o.Conditions = []Condition{{Name: "started_again", After: 4500 * time.Millisecond, Deadline: 9 * time.Second, Check: checkStartedAgain}}
	res := playWithoutViolations(t, o)
	if len(res.InjectedFaults) != len(s.Faults) || res.EventCount < 1000 || res.UnreadableStreams != 0 {
		t.Errorf("injected %d of %d faults, captured %d events, %d streams are unreadable", len(res.InjectedFaults), len(s.Faults), res.EventCount, res.UnreadableStreams)
	}
	for _, z := range res.Zones {
		if z.Sent < 100 || z.Established*10 < z.Sent*6 {
			t.Errorf("fewer than 100 calls, or fewer than 60%% of them established: %+v", z)
		}
	}
	if err := res.Save(o.Dir); err != nil {
		t.Fatal(err)
	}
	if p, err := res.PagePart(); err != nil || len(p.Plots) != 1 || len(p.Facts) != len(s.Faults) || len(res.Samples) < 8 {
		t.Errorf("page: error %v, %d plots, facts %q, %d samples", err, len(p.Plots), p.Facts, len(res.Samples))
	}
	if saved, err := LoadSchedule(filepath.Join(o.Dir, "schedule.toml")); err != nil || len(saved.Faults) != len(s.Faults) {
		t.Errorf("reading the saved schedule: %v", err)
	}
	for _, name := range []string{"n0", "n3"} { // killed, and with a full disk
		checkRecordsEnd(t, filepath.Join(o.Dir, "records", name))
	}
}

// checkStartedAgain returns an error unless the agents have restarted the controllers that were killed or terminated.
func checkStartedAgain(ctx context.Context, r *Run) error {
	for _, name := range []string{"n0", "n5"} {
		c := r.controller(name)
		r.pollAgents(ctx)
		c.mu.Lock()
		starts := c.starts
		c.mu.Unlock()
		if starts < 2 {
			return fmt.Errorf("the agent of %s has started it only %d times", name, starts)
		}
		if _, err := r.SendCommand(ctx, name, adminapi.AuditCommand("ROOT")); err != nil {
			return err
		}
	}
	return nil
}

// checkRecordsEnd checks that the records of a controller in dir can be read to their end, and that the last one is a
// regular end record.
func checkRecordsEnd(t *testing.T, dir string) {
	t.Helper()
	var last record.Record
	in, err := record.OpenDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for err == nil {
		err = in.Next(&last)
	}
	if _ = in.Close(); !errors.Is(err, io.EOF) || last.Kind != record.KindEnd || last.Seq < 100 {
		t.Errorf("%s: %d records, last kind %v, error %v", dir, last.Seq, last.Kind, err)
	}
}

// playWithoutViolations plays a run and reports each violation as a test failure.
func playWithoutViolations(t *testing.T, o Options) *Result {
	t.Helper()
	var out bytes.Buffer
	o.Out = &out
	res, err := Play(t.Context(), o)
	if err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	for _, b := range res.Violations {
		t.Errorf("%v\n  %s", b, strings.Join(b.PrecedingEvents, "\n  "))
	}
	return res
}

// TestViolationsAreReported checks that a condition that never holds and a controller that ends unexpectedly are
// reported as violations, each with the latest fault.
func TestViolationsAreReported(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	o := testOptions(t, &Schedule{Seed: 1, Faults: []*Fault{{At: seconds(0.1), Duration: seconds(0.2), Kind: FaultSlowdown, From: []string{"x0"}, Factor: 2}}}, 3*time.Second)
	o.Topology = Topology{Controllers: 2, Exchanges: 2, Zones: 1}
	o.Conditions = []Condition{
		{Name: "never", After: 500 * time.Millisecond, Deadline: time.Second, Check: func(context.Context, *Run) error { return errors.New("never holds") }},
		{Name: "soon", Deadline: 2 * time.Second, Check: func(_ context.Context, r *Run) error {
			if time.Since(r.startTime) < time.Second {
				return errors.New("not yet")
			}
			r.controllers[1].mu.Lock()
			defer r.controllers[1].mu.Unlock()
			return r.controllers[1].process.signal(9)
		}},
	}
	res, err := Play(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	var found []string
	for _, b := range res.Violations {
		found = append(found, b.Rule)
		if !strings.Contains(b.LatestFault, "slow x0") {
			t.Errorf("%v does not name the latest fault", b)
		}
	}
	if got := strings.Join(found, " "); !strings.Contains(got, "never") || !strings.Contains(got, "no_crash") || strings.Contains(got, "soon") {
		t.Errorf("violated rules are %q, want never and no_crash", got)
	}
}

// TestKilledRunLeavesNoProcess checks that all controllers end when the process of the run is killed.
func TestKilledRunLeavesNoProcess(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	if dir := os.Getenv(killedRunDir); dir != "" { // this process is the run to be killed
		o := testOptions(t, &Schedule{Seed: 1}, time.Minute)
		o.Dir, o.Topology = dir, Topology{Controllers: 2, Exchanges: 1, Zones: 1}
		_, err := Play(t.Context(), o)
		t.Fatal(err)
	}
	dir := t.TempDir()
	c := exec.Command(os.Args[0], "-test.run", "^TestKilledRunLeavesNoProcess$")
	c.Env = append(os.Environ(), killedRunDir+"="+dir)
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	var addrs []string
	for end := time.Now().Add(30 * time.Second); len(addrs) < 2; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			_ = c.Process.Kill()
			t.Fatal("the controllers do not serve within 30 s")
		}
		addrs = nil
		for i := range 2 {
			var config struct{ Listen string }
			text, err := os.ReadFile(filepath.Join(dir, "a0", fmt.Sprint("n", i), "config.json"))
			if err == nil && json.Unmarshal(text, &config) == nil && isListening(config.Listen) {
				addrs = append(addrs, config.Listen)
			}
		}
	}
	if err := c.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = c.Wait()
	waitFor(t, "all controllers end", func() bool { return !isListening(addrs[0]) && !isListening(addrs[1]) })
}

// isListening reports whether something listens at an address.
func isListening(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
	if err == nil {
		_ = c.Close()
	}
	return err == nil
}
