package cluster

import (
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"olivedale/internal/sim/invariant"
	"olivedale/internal/sim/scenario"
)

func TestDrawnSchedulesCanBePlayedAndWritten(t *testing.T) {
	t.Parallel()
	kinds := make(map[string]bool)
	for seed := range uint64(200) {
		top := &Topology{Controllers: 1 + int(seed%24), Exchanges: 1 + int(seed%7), Zones: 1 + int(seed%3), Share: seed%2 == 0}
		top.Zones = min(top.Zones, top.Controllers)
		s := Draw(top, 8, 20*time.Second, seed)
		if err := s.Check(top); err != nil {
			t.Fatalf("seed %d, %+v: %v", seed, *top, err)
		}
		if !reflect.DeepEqual(s, Draw(top, 8, 20*time.Second, seed)) {
			t.Fatalf("seed %d: drawn twice, and not the same", seed)
		}
		path := filepath.Join(t.TempDir(), "s.toml")
		if err := s.Save(path); err != nil {
			t.Fatal(err)
		}
		again, err := Load(path)
		if err != nil || !reflect.DeepEqual(s, again) {
			t.Fatalf("seed %d: written and read it is another: %v", seed, err)
		}
		for _, x := range s.Step {
			kinds[x.Kind] = true
			if end := x.At.D() + x.Duration.D(); end > 16*time.Second {
				t.Errorf("seed %d: %v ends at %v, the last fifth is for recovery", seed, x, end)
			}
		}
	}
	for _, k := range slices.Concat(pathFaults, partFaults, storeFaults) {
		if !kinds[k] {
			t.Errorf("no schedule has %s", k)
		}
	}
}

func TestScheduleErrorsNameTheStep(t *testing.T) {
	t.Parallel()
	top := &Topology{Controllers: 4, Exchanges: 2, Zones: 2}
	long := scenario.Duration(time.Second)
	for _, c := range []struct {
		step Fault
		want string
	}{
		{Fault{Kind: "melt", From: []string{"n0"}}, "none of cut"},
		{Fault{Kind: FaultPartition, From: []string{"n9"}, To: []string{"x0"}, Duration: long}, `"n9" names nothing`},
		{Fault{Kind: FaultPartition, From: []string{"n0"}, To: []string{"n1"}, Duration: long}, "no path stands between"},
		{Fault{Kind: FaultPartition, From: []string{"n0"}, To: []string{"x0"}}, "for is missing"},
		{Fault{Kind: FaultDatagramLoss, From: []string{"n*"}, To: []string{"names"}, Duration: long}, "share is missing"},
		{Fault{Kind: FaultBandwidthLimit, From: []string{"n*"}, To: []string{"x*"}, Duration: long}, "rate is missing"},
		{Fault{Kind: FaultPause, From: []string{"x0"}, Duration: long}, "x0 is nothing that can stop"},
		{Fault{Kind: FaultHang, From: []string{"a0"}, Duration: long}, "a0 is nothing that can hang"},
		{Fault{Kind: FaultNoLeader, From: []string{"n0"}, Duration: long}, "n0 is nothing that can no_leader"},
	} {
		err := (&Schedule{Step: []*Fault{&c.step}}).Check(top)
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
			t.Errorf("%s names %v (%v), want %s", c.patterns, got, err, c.want)
		}
	}
}

// The wires tell of each rule that is broken on them, and of nothing else.
func TestTapsSeeBrokenRules(t *testing.T) {
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
		play func(w *monitor, a, b observer)
		want invariant.Rule
	}{
		{"one attempt", func(_ *monitor, a, _ observer) { a(Forward, []byte(invite("1"))) }, ""},
		{"turned away, and sent elsewhere at once", func(_ *monitor, a, b observer) {
			a(Forward, []byte(invite("1")))
			a(Backward, []byte(answer("503")))
			b(Forward, []byte(invite("2")))
		}, ""},
		{"two attempts, in pieces", func(_ *monitor, a, b observer) {
			for _, c := range []byte(invite("1")) {
				a(Forward, []byte{c})
			}
			b(Forward, []byte(invite("2")))
		}, invariant.OneAttempt},
		{"sent again at once after it was given up", func(_ *monitor, a, b observer) {
			a(Forward, []byte(invite("1")+cancel))
			b(Forward, []byte(invite("2")))
		}, invariant.ReleaseKept},
		{"sent again at once after its connection broke", func(_ *monitor, a, b observer) {
			a(Forward, []byte(invite("1")))
			a(Forward, nil)
			b(Forward, []byte(invite("2")))
		}, invariant.ReleaseKept},
		{"sent to one that drains", func(w *monitor, a, _ observer) {
			w.startTime = w.startTime.Add(-time.Minute)
			w.checker.See(invariant.Event{At: time.Second, Kind: invariant.Told, Node: "n0", Server: "x0", On: true})
			a(Forward, []byte(invite("1")))
		}, invariant.DrainsKept},
		{"the answer twice", func(w *monitor, a, _ observer) {
			w.record(invariant.Event{Kind: invariant.Stands, Node: "n0", Call: "c1"})
			w.record(invariant.Event{Kind: invariant.Stands, Node: "n0", Call: "c1"})
		}, invariant.OneAnswer},
	} {
		w := newMonitor(time.Now())
		w.record(invariant.Event{Kind: invariant.SetUp, Node: "n0", Call: "c1", Until: time.Hour})
		c.play(w, w.observeSIP("n0", "x0"), w.observeSIP("n0", "x1"))
		got := invariant.Rule("")
		if all := w.checker.Breaches(); len(all) > 0 {
			got = all[0].Rule
		}
		if got != c.want || w.unreadableStreams != 0 {
			t.Errorf("%s: %q is broken, want %q; %d streams unread", c.name, got, c.want, w.unreadableStreams)
		}
	}
}

// A controller that is stopped may be late, and is told what came meanwhile when it goes on; all else
// counts as before.
func TestStoppedControllerIsExcused(t *testing.T) {
	t.Parallel()
	c := invariant.New(invariant.Defaults())
	at := func(s float64, k invariant.Kind, on bool) {
		c.See(invariant.Event{At: time.Duration(s * float64(time.Second)), Kind: k, Node: "n0", Call: "c1", Server: "x0", On: on, Until: 2 * time.Second})
	}
	at(1, invariant.SetUp, false)
	at(1.5, invariant.Told, true)
	at(1.5, invariant.Paused, true)
	at(6, invariant.Paused, false)
	at(6.1, invariant.Invite, false)
	at(6.2, invariant.Refused, false)
	for _, b := range c.Breaches() { // that it was sent on after its caller's time among them
		t.Errorf("%v", b)
	}
	c.See(invariant.Event{At: 7 * time.Second, Kind: invariant.SetUp, Node: "n0", Call: "c2", Until: 8 * time.Second})
	c.See(invariant.Event{At: 8500 * time.Millisecond, Kind: invariant.Invite, Node: "n0", Call: "c2", Server: "x0"})
	if c.Count(invariant.InTime) != 1 || c.Count(invariant.DrainsKept) != 1 {
		t.Errorf("after it went on: %d in_time, %d drains_kept, want 1 each", c.Count(invariant.InTime), c.Count(invariant.DrainsKept))
	}
}

// Shrinking finds the two steps that it takes, though one play in three hides it.
func TestShrinkFindsWhatItTakes(t *testing.T) {
	t.Parallel()
	whole := Draw(&Topology{Controllers: 4, Exchanges: 2, Zones: 2}, 12, 20*time.Second, 5)
	need := []*Fault{whole.Step[2], whole.Step[9]}
	plays := 0
	small, err := Shrink(t.Context(), whole, 3, func(s *Schedule) (bool, error) {
		plays++
		return plays%3 != 0 && slices.Contains(s.Step, need[0]) && slices.Contains(s.Step, need[1]), nil
	})
	if err != nil || small == nil || !slices.Equal(small.Step, need) || small.Seed != whole.Seed {
		t.Fatalf("%+v, %v after %d plays", small, err, plays)
	}
	small, err = Shrink(t.Context(), whole, 3, func(*Schedule) (bool, error) { return false, nil })
	if err != nil || small != nil {
		t.Errorf("of one that never goes wrong %+v, %v is left", small, err)
	}
}

// The schedules that come with the product can be played on the scenario that they name.
func TestKeptSchedules(t *testing.T) {
	t.Parallel()
	kept, err := filepath.Glob("../../../deploy/sim/schedules/*.toml")
	if err != nil || len(kept) == 0 {
		t.Fatalf("%v, %v", kept, err)
	}
	sc, err := scenario.Load("../../../deploy/sim/zones.toml")
	if err != nil {
		t.Fatal(err)
	}
	top := &Topology{Controllers: sc.Fleet.Controllers, Exchanges: sc.Fleet.Exchanges, Zones: sc.Fleet.Zones}
	for _, path := range kept {
		s, err := Load(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Check(top); err != nil {
			t.Errorf("%s: %v", path, err)
		}
	}
}
