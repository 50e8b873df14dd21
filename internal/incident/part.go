package incident

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"olivedale/internal/record"
)

const (
	initialBinWidth      = time.Second
	initialSlowStart     = time.Second      // until a configuration record gives it
	drainGrace           = 2 * time.Second  // time after the announcement of a drain in which attempts are permitted
	defaultAnswerTimeout = 60 * time.Second // for a final answer, until a configuration record gives a deadline
)

// Other is the name under which names beyond a bound are counted together.
const Other = "(others)"

// A Part is the analysis of one store. Create it with NewPart, call AddRecord for each record in order, then Close. Its
// memory is bounded whatever the records contain.
type Part struct {
	Instance string
	Store    uint64

	Records        uint64
	Lost           uint64 // records that are known to be lost
	UnknownLosses  uint64 // losses of unknown size
	OmittedEntries uint64 // list entries past a bound
	MergedStarts   uint64 // starts past the bound, merged into the last
	Unfinished     bool   // the last start has no end record: it is still running, or was killed

	Total               Tally
	NoAnswer            map[string]uint64 // set-ups without a final answer, by reason
	AnswersWithoutSetup uint64            // answers to set-ups that are not in the records
	Limits              map[string]uint64 // limits that were reached, by name
	AttemptEnds         map[string]uint64 // attempts, by how they ended
	Reasons             map[string]uint64 // rejections and failures, by the decision module's reason
	Counters            map[string]uint64 // the call manager's own counters, summed over starts

	Starts          []Start
	Gaps            []Gap
	Drains          []Drain
	ColdStarts      []ColdStart
	OverloadPeriods []OverloadPeriod
	Slowest         []SlowSetup // the slowest first
	Unanswered      []UnansweredCall

	// From and To, if not 0, bound the calls that are counted, by the instance's clock.
	From, To Time

	classes  boundedTallies
	servers  boundedTallies
	timeline timeline
	settings recordedSettings
	open     openCalls
	ongoing  ongoingEvents

	lastGapEnd   Time
	lastCounters map[string]uint64 // the call manager's counters in the current start
}

// recordedSettings are the settings that configuration records give.
type recordedSettings struct {
	objectives      map[string]time.Duration // latency objective by class
	longestDeadline time.Duration
	slowStartPeriod time.Duration
}

// ongoingEvents are the list entries that later records may still change, as indexes by server.
type ongoingEvents struct {
	drains     map[string]int
	coldStarts map[string]int
	overloads  map[string]int
}

// NewPart returns the analysis of a store without records.
func NewPart() *Part {
	return &Part{
		NoAnswer:    make(map[string]uint64),
		Limits:      make(map[string]uint64),
		AttemptEnds: make(map[string]uint64),
		Reasons:     make(map[string]uint64),
		Counters:    make(map[string]uint64),
		classes:     boundedTallies{maxNames: maxClasses},
		servers:     boundedTallies{maxNames: maxServers},
		timeline:    timeline{width: initialBinWidth},
		settings: recordedSettings{
			objectives:      make(map[string]time.Duration),
			slowStartPeriod: initialSlowStart,
		},
		open: openCalls{byID: make(map[string]openCall)},
		ongoing: ongoingEvents{
			drains:     make(map[string]int),
			coldStarts: make(map[string]int),
			overloads:  make(map[string]int),
		},
		lastCounters: make(map[string]uint64),
	}
}

// AddRecord adds the next record of the store. h is the header of the segment that holds it.
func (p *Part) AddRecord(h *record.Header, r *record.Record) {
	if p.Instance == "" {
		p.Instance, p.Store = h.Name, h.Store
	}
	p.Records++
	if len(p.Starts) == 0 || p.currentStart().RunID != h.RunID {
		p.beginStart(h, r)
	}
	start := p.currentStart()
	start.To = max(start.To, r.At)
	if !p.isCounted(r) {
		return
	}
	if r.Kind != record.KindGap {
		p.currentBin(r.At) // the instance was running then, even if it had no calls
	}
	p.add(r, Ref{p.Instance, fmt.Sprintf("%016x", h.RunID), r.Seq})
	p.expireOpenCalls(r.At)
}

// add adds a record to the counts and lists that it belongs to.
func (p *Part) add(r *record.Record, ref Ref) {
	switch r.Kind {
	case record.KindGap:
		p.Records-- // a gap only stands for the records that are lost
		p.addGap(Gap{From: r.From, To: r.Seq, Cause: record.GapCause(r.Code).String(), Since: r.Since, Until: r.At})
		p.Lost += r.Lost()
	case record.KindStart:
		p.checkStart(r)
	case record.KindStopping:
		p.currentStart().Stopping = r.At
	case record.KindEnd:
		p.currentStart().Clean = true
	case record.KindCallOffered:
		p.addSetup(r)
	case record.KindDecision:
		p.addDecision(r)
	case record.KindAttemptStarted:
		p.addAttempt(r)
	case record.KindAttemptEnded:
		addBounded(p.AttemptEnds, r.End, 1)
	case record.KindAnswer:
		p.addAnswer(r, ref)
	case record.KindRelease:
		p.addRelease(r)
	case record.KindServer:
		p.addServerUpdate(r, ref)
	case record.KindRateLimit:
		p.addRateLimit(r, ref)
	case record.KindConfig:
		p.addConfig(r)
	case record.KindLimitReached:
		addBounded(p.Limits, r.By, r.Count)
	case record.KindClock:
		p.addClockReading(r)
	case record.KindCounter:
		p.addCounter(r)
	case record.KindNote, record.KindNone: // not analysed
	}
}

// Close ends the analysis, after which the Part may be passed to Combine or Fleet.Add.
func (p *Part) Close() {
	if len(p.Starts) == 0 {
		return
	}
	clean := p.currentStart().Clean
	p.Unfinished = !clean
	reason := ReasonRecordsEnd
	if clean {
		reason = ReasonUnknown
	}
	p.closeOpenCalls(reason)
}

// isCounted reports whether a record counts. Outside of From and To only records that are not about single calls or
// counts do, since the state of instances and servers depends on them.
func (p *Part) isCounted(r *record.Record) bool {
	if (p.From == 0 || r.At >= p.From) && (p.To == 0 || r.At <= p.To) {
		return true
	}
	switch r.Kind {
	case record.KindCallOffered, record.KindDecision, record.KindAttemptStarted, record.KindAttemptEnded,
		record.KindAnswer, record.KindRelease, record.KindLimitReached, record.KindCounter:
		return false
	default:
		return true
	}
}

// addConfig keeps the settings that the analysis needs.
func (p *Part) addConfig(r *record.Record) {
	s := &p.settings
	switch {
	case r.By == "class" && len(s.objectives) < maxClasses:
		s.objectives[r.Class] = r.Wait
		s.longestDeadline = max(s.longestDeadline, r.Took)
	case r.By == "cold" && r.Wait > 0:
		s.slowStartPeriod = r.Wait
	}
}

// addClockReading adds a comparison with the clock of a peer, or with that of the system if r.By is empty.
func (p *Part) addClockReading(r *record.Record) {
	s := p.currentStart()
	if r.By != "" {
		s.Offset.addExchange(r.By, r.T)
		return
	}
	offset := time.Duration(r.T[0] - r.T[1])
	if s.hasWallClock && len(s.Steps) < maxEvents {
		s.Steps = append(s.Steps, ClockStep{At: r.At, By: offset - s.wallClockOffset})
	}
	s.wallClockOffset, s.hasWallClock = offset, true
}

// addCounter sums the call manager's counters over all starts; within a start they never decrease.
func (p *Part) addCounter(r *record.Record) {
	old := p.lastCounters[r.By]
	p.lastCounters[r.By] = r.Count
	addBounded(p.Counters, r.By, r.Count-min(old, r.Count))
}

// addDecision counts the reason of a decision other than to send or wait.
func (p *Part) addDecision(r *record.Record) {
	decision := record.Decision(r.Code)
	if r.Text != "" && decision != record.DecisionSend && decision != record.DecisionNone {
		addBounded(p.Reasons, r.Text, 1)
	}
}

// addServerUpdate adds a change of the endpoint list.
func (p *Part) addServerUpdate(r *record.Record, ref Ref) {
	phase := record.ServerState(r.Code)
	if phase == record.ServerActive {
		delete(p.ongoing.drains, r.Server)
		_, isKnown := p.ongoing.coldStarts[r.Server]
		if r.Flag && !isKnown {
			p.addColdStart(r, ref)
		}
		return
	}
	if i, ok := p.ongoing.drains[r.Server]; ok {
		p.Drains[i].Phase = phase.String() // its start remains the first announcement
		return
	}
	if len(p.Drains) >= maxEvents {
		p.OmittedEntries++
		return
	}
	p.ongoing.drains[r.Server] = len(p.Drains)
	p.Drains = append(p.Drains, Drain{
		Server: r.Server, Phase: phase.String(), At: r.At, Ref: ref, startIndex: len(p.Starts) - 1,
	})
}

func (p *Part) addColdStart(r *record.Record, ref Ref) {
	if len(p.ColdStarts) >= maxEvents {
		p.OmittedEntries++
		return
	}
	p.ongoing.coldStarts[r.Server] = len(p.ColdStarts)
	p.ColdStarts = append(p.ColdStarts, ColdStart{
		Server: r.Server, Pool: r.Pool, Started: r.Since, NoticedAt: r.At, Period: p.settings.slowStartPeriod,
		Ref: ref, startIndex: len(p.Starts) - 1,
	})
}

// addRateLimit adds a change of a server's rate limit; an infinite one ends the overload period.
func (p *Part) addRateLimit(r *record.Record, ref Ref) {
	i, isOngoing := p.ongoing.overloads[r.Server]
	isLifted := math.IsInf(r.Value, 1)
	switch {
	case isLifted && isOngoing:
		p.OverloadPeriods[i].To, p.OverloadPeriods[i].End = r.At, ref
		delete(p.ongoing.overloads, r.Server)
	case isLifted:
	case isOngoing:
		p.OverloadPeriods[i].MinRate = min(p.OverloadPeriods[i].MinRate, r.Value)
	case len(p.OverloadPeriods) >= maxEvents:
		p.OmittedEntries++
	default:
		p.ongoing.overloads[r.Server] = len(p.OverloadPeriods)
		p.OverloadPeriods = append(p.OverloadPeriods, OverloadPeriod{
			Server: r.Server, From: r.At, MinRate: r.Value, Ref: ref, startIndex: len(p.Starts) - 1,
		})
	}
}

// addBounded adds to the count of a name; names beyond maxCounters are counted under Other.
func addBounded(m map[string]uint64, name string, n uint64) {
	if _, ok := m[name]; !ok && len(m) >= maxCounters {
		name = Other
	}
	m[name] += n
}

// sortedKeys returns the keys of a map in order.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
