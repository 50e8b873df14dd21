package console

import (
	"fmt"
	"testing"
	"time"

	"olivedale/internal/record"
)

// trackerAt is the time at which the records of these tests begin.
const trackerAt = record.Time(time.Hour)

// applyAll applies records of one run of n0, a millisecond apart.
func applyAll(t *tracker, runID uint64, records ...record.Record) {
	h := &record.Header{Name: "n0", RunID: runID}
	for _, r := range records {
		r.At = max(t.latest, trackerAt) + time.Millisecond
		t.apply(h, &r)
	}
}

func TestTrackerCountsCalls(t *testing.T) {
	tracker := newTracker()
	applyAll(tracker, 1,
		record.Record{Kind: record.KindConfig, By: "class", Class: "voice", Wait: time.Second},
		record.Record{Kind: record.KindCallOffered, Call: "a", Class: "voice"},
		record.Record{Kind: record.KindAttemptStarted, Call: "a", Server: "s"},
		record.Record{Kind: record.KindCallOffered, Call: "b", Class: "voice"},
		record.Record{
			Kind: record.KindAnswer, Call: "a", Class: "voice", Server: "s",
			Code: uint8(record.OutcomeEstablished), Took: 2 * time.Second,
		},
		record.Record{Kind: record.KindRelease, Call: "a", Class: "voice", Server: "s", End: "cut"},
		record.Record{Kind: record.KindAnswer, Call: "c", Class: "voice", Code: uint8(record.OutcomeByPolicy)},
		record.Record{Kind: record.KindAnswer, Call: "d", Class: "voice", Code: uint8(record.OutcomeAbandoned)},
		record.Record{Kind: record.KindAnswer, Call: "e", Class: "voice", Code: uint8(record.OutcomeFailed)},
	)
	i := tracker.snapshot().Instances[0]
	want := Counts{
		Offered: 2, Established: 1, Late: 1, Rejected: 1, Failed: 1, Abandoned: 1, Dropped: 1, Attempts: 1,
	}
	if i.Total != want || i.Classes[0].Counts != want {
		t.Errorf("total %+v, class %+v, want %+v", i.Total, i.Classes[0].Counts, want)
	}
	if i.OpenCalls != 1 || i.EstablishedCalls != 0 {
		t.Errorf("%d open and %d established calls, want 1 and 0", i.OpenCalls, i.EstablishedCalls)
	}
	if s := i.Servers[0]; s.Attempts != 1 || s.Established != 1 || s.Dropped != 1 {
		t.Errorf("%+v", s)
	}
}

func TestTrackerRestartWithoutEndIsCrash(t *testing.T) {
	tracker := newTracker()
	applyAll(tracker, 1, record.Record{Kind: record.KindCallOffered, Call: "a", Class: "voice"})
	applyAll(tracker, 2, record.Record{Kind: record.KindEnd})
	applyAll(tracker, 3, record.Record{Kind: record.KindStart})
	s := tracker.snapshot()
	if i := s.Instances[0]; i.Starts != 3 || i.Total.Offered != 0 || i.OpenCalls != 0 || i.State != StateRunning {
		t.Errorf("%+v", i)
	}
	crashes := 0
	for _, e := range s.Events {
		if e.Kind == EventCrashed {
			crashes++
		}
	}
	if crashes != 1 {
		t.Errorf("%d crashes, want 1: %+v", crashes, s.Events)
	}
}

func TestTrackerKeepsLatestCallsAndEvents(t *testing.T) {
	tracker := newTracker()
	for i := range maxCalls + 1 {
		applyAll(tracker, 1,
			record.Record{Kind: record.KindCallOffered, Call: fmt.Sprint(i)},
			record.Record{Kind: record.KindLimitReached, By: "memory", Count: uint64(i)})
	}
	s := tracker.snapshot()
	if len(s.Calls) != maxCalls || s.Calls[0].ID != fmt.Sprint(maxCalls) || s.Calls[maxCalls-1].ID != "1" {
		t.Errorf("%d calls", len(s.Calls))
	}
	if len(s.Events) != maxEvents || s.Events[0].Text != fmt.Sprintf("memory: %d", maxCalls) {
		t.Errorf("%d events, the latest is %+v", len(s.Events), s.Events[0])
	}
}
