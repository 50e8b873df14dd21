package console

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	"olivedale/internal/record"
)

const incidentDir = "../report/testdata/incident"

func findIncidentStores(t *testing.T) []record.Store {
	t.Helper()
	stores, err := record.Find(incidentDir)
	if err != nil {
		t.Fatal(err)
	}
	return stores
}

// replayIncident replays the committed incident to its end and returns all snapshots.
func replayIncident(t *testing.T, speed float64) []*Snapshot {
	t.Helper()
	src, err := NewReplay(findIncidentStores(t), 0, speed, time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = src.Close() }()
	var all []*Snapshot
	for {
		s, err := src.Next(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, s)
		if s.AtEnd {
			return all
		}
	}
}

// countOffers counts the offered calls of the last run of each instance.
func countOffers(t *testing.T) map[string]uint64 {
	t.Helper()
	offers := make(map[string]uint64)
	runIDs := make(map[string]uint64)
	m, err := record.OpenStores(findIncidentStores(t))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = m.Close() }()
	var r record.Record
	var h record.Header
	for m.Next(&r, &h) == nil {
		if runIDs[h.Name] != h.RunID {
			runIDs[h.Name] = h.RunID
			offers[h.Name] = 0
		}
		if r.Kind == record.KindCallOffered {
			offers[h.Name]++
		}
	}
	return offers
}

func TestReplayEndsWithTheCountsOfTheRecords(t *testing.T) {
	all := replayIncident(t, 500)
	if len(all) < 5 {
		t.Errorf("%d snapshots", len(all))
	}
	offers := countOffers(t)
	last := all[len(all)-1]
	for _, i := range last.Instances {
		if i.Total.Offered != offers[i.Name] {
			t.Errorf("%s: %d offered, the records have %d", i.Name, i.Total.Offered, offers[i.Name])
		}
	}
	if i := last.Instances[0]; i.Name != "n0" || i.LostRecords != 87 || i.State != StateEnded || i.Starts != 2 {
		t.Errorf("%+v", i)
	}
	servers := last.Servers()
	if len(servers) != 3 || servers[1].Phase != "drains" || servers[1].KnownBy != 4 {
		t.Errorf("%+v", servers)
	}
	var object bytes.Buffer
	if err := last.WriteJSON(&object); err != nil || !json.Valid(object.Bytes()) {
		t.Error(err)
	}
	if text := formatText(t, last, 79); !strings.Contains(text, "n3") || strings.Contains(text, "\x1b") {
		t.Error(text)
	}
}

func TestReplayNeverGoesBackInTime(t *testing.T) {
	all := replayIncident(t, 500)
	for i := 1; i < len(all); i++ {
		if all[i].At.Before(all[i-1].At) {
			t.Errorf("snapshot %d is earlier than the previous one", i)
		}
	}
}

func TestReplayShowsGapWithoutRates(t *testing.T) {
	hasGap := false
	for _, s := range replayIncident(t, 500) {
		for _, i := range s.Instances {
			hasGap = hasGap || i.HasGap
			if i.HasGap && !math.IsNaN(i.Rates.Offered) {
				t.Errorf("a rate of %v over a gap", i.Rates.Offered)
			}
		}
	}
	if !hasGap {
		t.Error("the gap is not shown")
	}
}

// formatText returns what WriteText writes.
func formatText(t *testing.T, s *Snapshot, width int) string {
	t.Helper()
	var b strings.Builder
	if err := s.WriteText(&b, width); err != nil {
		t.Fatal(err)
	}
	return b.String()
}
