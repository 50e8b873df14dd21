package cluster

import (
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"olivedale/internal/sim/scenario"
)

var updateGolden = flag.Bool("update", false, "rewrite the golden files")

const (
	goldenSchedules = "testdata/schedules.golden"
	goldenSeeds     = 50
)

// TestDrawnSchedulesMatchGolden checks that a seed always gives the same schedule. It compares hashes of the schedules
// of 50 seeds, as files and as text, on the fleet of each scenario in deploy/sim.
func TestDrawnSchedulesMatchGolden(t *testing.T) {
	t.Parallel()
	got := goldenLines(t)
	if *updateGolden {
		if err := os.MkdirAll(filepath.Dir(goldenSchedules), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(goldenSchedules, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(goldenSchedules)
	if err != nil {
		t.Fatal(err)
	}
	wantLines := strings.Split(string(want), "\n")
	gotLines := strings.Split(got, "\n")
	if len(gotLines) != len(wantLines) {
		t.Fatalf("%d schedules, want %d", len(gotLines), len(wantLines))
	}
	for i := range wantLines {
		if gotLines[i] != wantLines[i] {
			t.Errorf("schedule is %q, want %q", gotLines[i], wantLines[i])
		}
	}
}

// goldenLines returns a line for each scenario, each with and without overload control, and each seed.
func goldenLines(t *testing.T) string {
	t.Helper()
	paths, err := filepath.Glob("../../../deploy/sim/*.toml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	fleets := map[string]scenario.Fleet{"default": scenario.Default().Fleet}
	names := []string{"default"}
	for _, path := range paths {
		sc, err := scenario.Load(path)
		if err != nil {
			t.Fatal(err)
		}
		name := strings.TrimSuffix(filepath.Base(path), ".toml")
		names = append(names, name)
		fleets[name] = sc.Fleet
	}
	var lines strings.Builder
	for _, name := range names {
		fleet := fleets[name]
		for _, share := range []bool{false, true} {
			top := &Topology{Controllers: fleet.Controllers, Exchanges: fleet.Exchanges, Zones: fleet.Zones, OverloadControl: share}
			for seed := range uint64(goldenSeeds) {
				fmt.Fprintf(&lines, "%s share=%t seed=%d %s\n", name, share, seed, scheduleHash(t, DrawSchedule(top, 12, 20*time.Second, seed)))
			}
		}
	}
	return lines.String()
}

// scheduleHash returns a hash of the schedule's file and of the text of its faults.
func scheduleHash(t *testing.T, s *Schedule) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "schedule.toml")
	if err := s.Save(path); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	hash := sha256.New()
	_, _ = hash.Write(text)
	for _, fault := range s.Faults {
		_, _ = fmt.Fprintln(hash, fault)
	}
	return hex.EncodeToString(hash.Sum(nil)[:16])
}
