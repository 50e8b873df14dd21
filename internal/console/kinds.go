package console

import (
	"fmt"
	"strings"
	"time"

	"olivedale/internal/record"
)

// Values of By in a KindConfig record: the part of the configuration that it is about.
const (
	configClass     = "class"
	configNumbering = "numbers"
)

// Values of End in a KindRelease record that mean that an established call was dropped.
const (
	endDropped        = "cut"
	endConnectionLost = "exchange_lost"
)

// applyKind updates an instance by one record. Kinds that the console does not show are ignored.
func (t *tracker) applyKind(i *trackedInstance, r *record.Record) {
	switch r.Kind {
	case record.KindGap:
		t.applyGap(i, r)
	case record.KindStart:
		t.addEvent(i, r, Event{Kind: EventStarted, Text: r.Text})
	case record.KindStopping:
		i.State = StateStopping
		t.addEvent(i, r, Event{Kind: EventStopping, Text: "SIGTERM"})
	case record.KindEnd:
		i.State = StateEnded
		t.addEvent(i, r, Event{Kind: EventEnded, Text: "orderly shutdown"})
	case record.KindConfig:
		t.applyConfig(i, r)
	case record.KindCallOffered:
		i.applyOffer(r)
	case record.KindAttemptStarted:
		i.applyAttempt(r)
	case record.KindAnswer:
		i.applyAnswer(r)
	case record.KindRelease:
		i.applyRelease(r)
	case record.KindServer:
		t.applyServer(i, r)
	case record.KindRateLimit:
		t.applyRateLimit(i, r)
	case record.KindLimitReached:
		t.addEvent(i, r, Event{Kind: EventLimitReached, Text: fmt.Sprintf("%s: %d", r.By, r.Count)})
	case record.KindClock:
		t.applyClock(i, r)
	default:
	}
}

func (t *tracker) applyGap(i *trackedInstance, r *record.Record) {
	i.LostRecords += r.Lost()
	i.gapAt = r.At
	text := fmt.Sprintf("%d to %d: %v", r.From, r.Seq, record.GapCause(r.Code))
	t.addEvent(i, r, Event{Kind: EventRecordsLost, Text: text, IsFault: true})
}

func (t *tracker) applyConfig(i *trackedInstance, r *record.Record) {
	switch r.By {
	case configClass:
		if len(i.objectives) < maxClasses {
			i.objectives[r.Class] = r.Wait
		}
	case configNumbering:
		digest, _, _ := strings.Cut(r.Text, " ")
		if i.NumberingDigest != "" && i.NumberingDigest != digest {
			t.addEvent(i, r, Event{Kind: EventNumberingChanged, Text: numberingText(digest)})
		}
		i.NumberingDigest = digest
	}
}

func (i *trackedInstance) applyOffer(r *record.Record) {
	if len(i.run.openCalls) < maxOpenCalls {
		i.run.openCalls[r.Call] = r.Class
	}
	i.Total.Offered++
	i.class(r.Class).Offered++
}

func (i *trackedInstance) applyAttempt(r *record.Record) {
	i.Total.Attempts++
	if class, isOpen := i.run.openCalls[r.Call]; isOpen {
		i.class(class).Attempts++
	}
	i.server(r.Server).Attempts++
}

func (i *trackedInstance) applyAnswer(r *record.Record) {
	delete(i.run.openCalls, r.Call)
	answered := i.countAnswer(r)
	i.Total.add(answered)
	i.class(r.Class).add(answered)
	if answered.Established > 0 {
		i.server(r.Server).Established++
		i.EstablishedCalls++
	}
}

// countAnswer returns the counts that one final answer adds.
func (i *trackedInstance) countAnswer(r *record.Record) Counts {
	switch record.Outcome(r.Code) {
	case record.OutcomeEstablished:
		objective, hasObjective := i.objectives[r.Class]
		if hasObjective && r.Took > objective {
			return Counts{Established: 1, Late: 1}
		}
		return Counts{Established: 1}
	case record.OutcomeRejected, record.OutcomeOverLimit, record.OutcomeShuttingDown, record.OutcomeByPolicy:
		return Counts{Rejected: 1}
	case record.OutcomeAbandoned:
		return Counts{Abandoned: 1}
	default:
		return Counts{Failed: 1}
	}
}

func (i *trackedInstance) applyRelease(r *record.Record) {
	i.EstablishedCalls = max(i.EstablishedCalls-1, 0)
	if r.End != endDropped && r.End != endConnectionLost {
		return
	}
	i.Total.Dropped++
	i.class(r.Class).Dropped++
	i.server(r.Server).Dropped++
}

func (t *tracker) applyServer(i *trackedInstance, r *record.Record) {
	s := i.server(r.Server)
	phase := Phase(record.ServerState(r.Code).String())
	isFirstListing := s.Phase == "" && phase == phaseActive
	if s.Phase != phase && !isFirstListing {
		t.addEvent(i, r, Event{Server: r.Server, Kind: EventKind(phase)})
	}
	s.Phase = phase
	s.Pool = r.Pool
	s.InSlowStart = r.Flag
	if s.InSlowStart {
		t.addEvent(i, r, Event{Server: r.Server, Kind: EventSlowStart})
	}
}

func (t *tracker) applyRateLimit(i *trackedInstance, r *record.Record) {
	s := i.server(r.Server)
	wasLimited := s.isLimited()
	s.RateLimit = r.Value
	switch isLimited := s.isLimited(); {
	case isLimited && !wasLimited:
		text := fmt.Sprintf("ceiling %.1f/s (%s)", r.Value, r.Text)
		t.addEvent(i, r, Event{Server: r.Server, Kind: EventOverloadStarted, Text: text, IsFault: true})
	case wasLimited && !isLimited:
		t.addEvent(i, r, Event{Server: r.Server, Kind: EventOverloadEnded, Text: r.Text})
	}
}

// applyClock adds an event if the wall clock of an instance was set. Comparisons with the clocks of peers are ignored.
func (t *tracker) applyClock(i *trackedInstance, r *record.Record) {
	isOwnClock := r.By == "" && r.T[1] != 0
	if !isOwnClock {
		return
	}
	deviation := time.Duration(r.T[0] - r.T[1])
	if deviation.Abs() > maxClockDeviation {
		text := deviation.Round(time.Millisecond).String()
		t.addEvent(i, r, Event{Kind: EventClockSet, Text: text, IsFault: true})
	}
}
