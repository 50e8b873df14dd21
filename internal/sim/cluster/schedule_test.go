package cluster

import (
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"olivedale/internal/sim/invariant"
	"olivedale/internal/sim/scenario"
)

// TestDrawnSchedulesAreValidAndSurviveAFile checks for many seeds and topologies that a drawn schedule is valid, can be
// drawn again, is unchanged after writing and reading it, and leaves the last fifth for recovery. All kinds of faults
// have to occur.
func TestDrawnSchedulesAreValidAndSurviveAFile(t *testing.T) {
	t.Parallel()
	kinds := make(map[FaultKind]bool)
	for seed := range uint64(200) {
		top := &Topology{Controllers: 1 + int(seed%24), Exchanges: 1 + int(seed%7), Zones: 1 + int(seed%3), OverloadControl: seed%2 == 0}
		top.Zones = min(top.Zones, top.Controllers)
		s := DrawSchedule(top, 8, 20*time.Second, seed)
		if err := s.Check(top); err != nil {
			t.Fatalf("seed %d, %+v: %v", seed, *top, err)
		}
		if !reflect.DeepEqual(s, DrawSchedule(top, 8, 20*time.Second, seed)) {
			t.Fatalf("seed %d: the second draw differs from the first", seed)
		}
		path := filepath.Join(t.TempDir(), "s.toml")
		if err := s.Save(path); err != nil {
			t.Fatal(err)
		}
		loaded, err := LoadSchedule(path)
		if err != nil || !reflect.DeepEqual(s, loaded) {
			t.Fatalf("seed %d: the schedule that was read differs from the one that was written: %v", seed, err)
		}
		for _, x := range s.Faults {
			kinds[x.Kind] = true
			if end := x.At.D() + x.Duration.D(); end > 16*time.Second {
				t.Errorf("seed %d: %v ends at %v, within the last fifth", seed, x, end)
			}
		}
	}
	for _, k := range slices.Concat(pathFaults, componentFaults, storeFaults) {
		if !kinds[k] {
			t.Errorf("no drawn schedule has the fault %s", k)
		}
	}
}

// TestScheduleErrorsNameTheStep checks the errors of invalid faults and which components patterns match.
func TestScheduleErrorsNameTheStep(t *testing.T) {
	t.Parallel()
	top := &Topology{Controllers: 4, Exchanges: 2, Zones: 2}
	long := scenario.Duration(time.Second)
	unknown := filepath.Join(t.TempDir(), "unknown.toml")
	if err := os.WriteFile(unknown, []byte("seed = 1\n[[step]]\nkind = \"melt\"\nfrom = [\"n0\"]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := LoadSchedule(unknown); err == nil || !strings.Contains(err.Error(), `"melt" is unknown, must be one of cut`) {
		t.Errorf("file with an unknown kind of fault: %v", err)
	}
	for _, c := range []struct {
		step Fault
		want string
	}{
		{Fault{From: []string{"n0"}}, "must be one of cut"},
		{Fault{Kind: FaultPartition, From: []string{"n9"}, To: []string{"x0"}, Duration: long}, `"n9" matches no component`},
		{Fault{Kind: FaultPartition, From: []string{"n0"}, To: []string{"n1"}, Duration: long}, "no network path between"},
		{Fault{Kind: FaultPartition, From: []string{"n0"}, To: []string{"x0"}}, "for is missing"},
		{Fault{Kind: FaultDatagramLoss, From: []string{"n*"}, To: []string{"names"}, Duration: long}, "share is missing"},
		{Fault{Kind: FaultBandwidthLimit, From: []string{"n*"}, To: []string{"x*"}, Duration: long}, "rate is missing"},
		{Fault{Kind: FaultPause, From: []string{"x0"}, Duration: long}, "x0 does not support the fault stop"},
		{Fault{Kind: FaultHang, From: []string{"a0"}, Duration: long}, "a0 does not support the fault hang"},
		{Fault{Kind: FaultNoLeader, From: []string{"n0"}, Duration: long}, "n0 does not support the fault no_leader"},
	} {
		err := (&Schedule{Faults: []*Fault{&c.step}}).Check(top)
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "step 1") {
			t.Errorf("%+v: %v, want %q", c.step, err, c.want)
		}
	}
	for _, c := range []struct {
		patterns string
		want     string
	}{{"z1", "a1 n1 n3 x1"}, {"n*", "n0 n1 n2 n3"}, {"names,x0", "names x0"}, {"*", "a0 a1 etcd n0 n1 n2 n3 names x0 x1"}} {
		got, err := top.Match(strings.Split(c.patterns, ","))
		if err != nil || strings.Join(got, " ") != c.want {
			t.Errorf("pattern %s matches %v (error %v), want %s", c.patterns, got, err, c.want)
		}
	}
}

// TestObserversDetectViolations checks which invariant is reported as violated for captured SIP traffic, and that
// correct traffic violates none.
func TestObserversDetectViolations(t *testing.T) {
	t.Parallel()
	invite := func(n string) string {
		return "INVITE sip:5@net SIP/2.0\r\nCall-ID: c1\r\nCSeq: " + n + " INVITE\r\nContent-Length: 0\r\n\r\n"
	}
	cancel := "CANCEL sip:5@net SIP/2.0\r\nCall-ID: c1\r\nCSeq: 1 CANCEL\r\nContent-Length: 0\r\n\r\n"
	answer := func(status string) string {
		return "SIP/2.0 " + status + " X\r\nCall-ID: c1\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n"
	}
	for _, c := range []struct {
		name string
		play func(m *monitor, first, second observer)
		want invariant.Rule
	}{
		{"one attempt", func(_ *monitor, first, _ observer) { first(Forward, []byte(invite("1"))) }, ""},
		{"rejected, then sent to another exchange at once", func(_ *monitor, first, second observer) {
			first(Forward, []byte(invite("1")))
			first(Backward, []byte(answer("503")))
			second(Forward, []byte(invite("2")))
		}, ""},
		{"two attempts at once, received byte by byte", func(_ *monitor, first, second observer) {
			for _, c := range []byte(invite("1")) {
				first(Forward, []byte{c})
			}
			second(Forward, []byte(invite("2")))
		}, invariant.OneAttempt},
		{"sent again at once after its attempt was canceled", func(_ *monitor, first, second observer) {
			first(Forward, []byte(invite("1")+cancel))
			second(Forward, []byte(invite("2")))
		}, invariant.RetryGuardRespected},
		{"sent again at once after its connection broke", func(_ *monitor, first, second observer) {
			first(Forward, []byte(invite("1")))
			first(Forward, nil)
			second(Forward, []byte(invite("2")))
		}, invariant.RetryGuardRespected},
		{"sent to a draining exchange", func(m *monitor, first, _ observer) {
			m.startTime = m.startTime.Add(-time.Minute)
			m.checker.Record(invariant.Event{At: time.Second, Kind: invariant.ServerUpdated, Controller: "n0", Server: "x0", IsSet: true})
			first(Forward, []byte(invite("1")))
		}, invariant.DrainRespected},
		{"two final answers", func(m *monitor, first, _ observer) {
			m.record(invariant.Event{Kind: invariant.CallEstablished, Controller: "n0", Call: "c1"})
			m.record(invariant.Event{Kind: invariant.CallEstablished, Controller: "n0", Call: "c1"})
		}, invariant.OneAnswer},
	} {
		m := newMonitor(time.Now())
		m.record(invariant.Event{Kind: invariant.CallOffered, Controller: "n0", Call: "c1", Deadline: time.Hour})
		c.play(m, m.observeSIP("n0", "x0"), m.observeSIP("n0", "x1"))
		got := invariant.Rule("")
		if all := m.checker.Violations(); len(all) > 0 {
			got = all[0].Rule
		}
		if got != c.want || m.unreadableStreams != 0 {
			t.Errorf("%s: violated rule %q, want %q; %d unreadable streams", c.name, got, c.want, m.unreadableStreams)
		}
	}
}

// TestPausedControllerIsExcused checks that calls may be late at a controller that was paused, and that it counts
// as notified of a draining exchange only when it resumes. Calls that are offered later get no exemption.
func TestPausedControllerIsExcused(t *testing.T) {
	t.Parallel()
	c := invariant.New(invariant.DefaultLimits())
	at := func(s float64, k invariant.Kind, on bool) {
		c.Record(invariant.Event{At: time.Duration(s * float64(time.Second)), Kind: k, Controller: "n0", Call: "c1", Server: "x0", IsSet: on, Deadline: 2 * time.Second})
	}
	at(1, invariant.CallOffered, false)
	at(1.5, invariant.ServerUpdated, true)
	at(1.5, invariant.ControllerPaused, true)
	at(6, invariant.ControllerPaused, false)
	at(6.1, invariant.AttemptSent, false)
	at(6.2, invariant.CallRejected, false)
	for _, b := range c.Violations() { // also none for the attempt after the deadline
		t.Errorf("%v", b)
	}
	c.Record(invariant.Event{At: 7 * time.Second, Kind: invariant.CallOffered, Controller: "n0", Call: "c2", Deadline: 8 * time.Second})
	c.Record(invariant.Event{At: 8500 * time.Millisecond, Kind: invariant.AttemptSent, Controller: "n0", Call: "c2", Server: "x0"})
	if c.Count(invariant.InTime) != 1 || c.Count(invariant.DrainRespected) != 1 {
		t.Errorf("after the pause: %d violations of in_time and %d of drains_kept, want 1 each", c.Count(invariant.InTime), c.Count(invariant.DrainRespected))
	}
}

// TestShrinkFindsNecessaryFaults checks that a schedule is reduced to the two faults that cause a failure, although
// every third run passes.
func TestShrinkFindsNecessaryFaults(t *testing.T) {
	t.Parallel()
	whole := DrawSchedule(&Topology{Controllers: 4, Exchanges: 2, Zones: 2}, 12, 20*time.Second, 5)
	necessary := []*Fault{whole.Faults[2], whole.Faults[9]}
	plays := 0
	shrunk, err := Shrink(t.Context(), whole, 3, func(s *Schedule) (bool, error) {
		plays++
		return plays%3 != 0 && slices.Contains(s.Faults, necessary[0]) && slices.Contains(s.Faults, necessary[1]), nil
	})
	if err != nil || shrunk == nil || !slices.Equal(shrunk.Faults, necessary) || shrunk.Seed != whole.Seed {
		t.Fatalf("shrunk to %+v, error %v, after %d runs", shrunk, err, plays)
	}
	shrunk, err = Shrink(t.Context(), whole, 3, func(*Schedule) (bool, error) { return false, nil })
	if err != nil || shrunk != nil {
		t.Errorf("a schedule that never fails was shrunk to %+v, error %v", shrunk, err)
	}
}

// TestShippedSchedules checks that the schedules in deploy/sim/schedules are valid for the fleet of zones.toml.
func TestShippedSchedules(t *testing.T) {
	t.Parallel()
	paths, err := filepath.Glob("../../../deploy/sim/schedules/*.toml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no schedules: %v, error %v", paths, err)
	}
	sc, err := scenario.Load("../../../deploy/sim/zones.toml")
	if err != nil {
		t.Fatal(err)
	}
	top := &Topology{Controllers: sc.Fleet.Controllers, Exchanges: sc.Fleet.Exchanges, Zones: sc.Fleet.Zones}
	for _, path := range paths {
		s, err := LoadSchedule(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Check(top); err != nil {
			t.Errorf("%s: %v", path, err)
		}
	}
}
