package incident

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Bounds of a Report.
const (
	maxWindows  = 512
	maxFindings = 500
	// maxClockDistance is how far an instance's clock may be from the median before it is considered wrong.
	maxClockDistance = 366 * 24 * time.Hour
)

// A Report is the combined analysis of several stores. Its lists are bounded; OmittedEntries counts the entries that
// were left out.
type Report struct {
	From, To            Time   // of the records, by the reference clock as far as it is known
	Reference           string // the peer that most clocks were compared with; "" if none was
	Instances           []Instance
	Total               Tally
	Classes             []NamedTally
	Servers             []NamedTally
	Width               time.Duration // of the windows
	Windows             []Window
	Findings            []Finding
	Gaps                []PlacedGap
	Slowest             []PlacedSlowSetup
	Unanswered          []PlacedUnanswered
	NoAnswer            map[string]uint64 // set-ups without a final answer, by reason
	AnswersWithoutSetup uint64
	Limits              map[string]uint64
	AttemptEnds         map[string]uint64
	Reasons             map[string]uint64
	Incomplete          bool // records are lost: totals are lower bounds
	Records             uint64
	Lost                uint64
	OmittedEntries      uint64
	Truncated           bool // some starts could not be placed on the time line
}

// A NamedTally is the Tally of a class or server.
type NamedTally struct {
	Name string
	*Tally
}

// An Instance is the analysis of one store.
type Instance struct {
	Name                string
	Store               uint64
	Starts              []Run
	Total               *Tally
	Records             uint64
	Lost                uint64
	UnknownLosses       uint64
	Incomplete          bool
	Counters            map[string]uint64
	Unfinished          bool  // no end record: it is still running, or was killed
	Sources             []int // Moment.Source of each start
	Unanswered          uint64
	AnswersWithoutSetup uint64
	Reasons             map[string]uint64
	OverloadPeriods     int
}

// A Run is a Start placed on the time line.
type Run struct {
	RunID    string
	Program  string
	From, To Moment
	Clean    bool
	Stopping Time
	Offset   Offset
	Steps    []ClockStep
}

// A Window is one interval of the time line.
type Window struct {
	At      Time
	Gap     bool // records of that time are lost: counts are lower bounds, and there is no rate
	Sources int  // starts with records of that time
	Counts
	MeanSetupTime, MaxSetupTime time.Duration
}

// A PlacedGap is a Gap placed on the time line.
type PlacedGap struct {
	Instance string
	Gap
	Begin, End Moment
}

// A PlacedSlowSetup is a SlowSetup placed on the time line.
type PlacedSlowSetup struct {
	SlowSetup
	Moment Moment
}

// A PlacedUnanswered is an UnansweredCall placed on the time line.
type PlacedUnanswered struct {
	UnansweredCall
	Moment Moment
}

// A Fleet collects parts. It merges data that is only needed in sum as soon as a part is added, and frees it in the
// part, so that of hundreds of stores only those being read hold all of their data. The zero value is ready to use. A
// Fleet is not safe for concurrent use.
type Fleet struct {
	parts            []*Part
	total            Tally
	classes, servers boundedTallies
}

// Add adds a closed part, which must not be used afterwards.
func (f *Fleet) Add(p *Part) {
	if f.classes.maxNames == 0 {
		f.classes.maxNames, f.servers.maxNames = maxClasses, maxServers
	}
	f.total.merge(&p.Total)
	f.classes.merge(&p.classes)
	f.servers.merge(&p.servers)
	p.classes, p.servers, p.open = boundedTallies{}, boundedTallies{}, openCalls{}
	f.parts = append(f.parts, p)
}

// Combine returns the report of closed parts, which must not be used afterwards.
func Combine(parts []*Part) *Report {
	var f Fleet
	for _, p := range parts {
		f.Add(p)
	}
	return f.Report()
}

// Report returns the report of all parts. The Fleet must not be used afterwards.
func (f *Fleet) Report() *Report {
	parts := f.parts
	slices.SortStableFunc(parts, func(a, b *Part) int {
		return cmp.Or(strings.Compare(a.Instance, b.Instance), cmp.Compare(a.Store, b.Store))
	})
	r := &Report{
		Total:       f.total,
		Classes:     f.classes.sorted(),
		Servers:     f.servers.sorted(),
		Width:       initialBinWidth,
		NoAnswer:    make(map[string]uint64),
		Limits:      make(map[string]uint64),
		AttemptEnds: make(map[string]uint64),
		Reasons:     make(map[string]uint64),
	}
	source := 0
	for _, p := range parts {
		r.addInstance(p, source)
		source += len(p.Starts)
	}
	r.Reference = r.mostUsedReference()
	r.placeLists(parts)
	r.buildWindows(parts)
	r.findAll(parts)
	return r
}

// addInstance adds the analysis of a store. Its starts are numbered from source on.
func (r *Report) addInstance(p *Part, source int) {
	i := Instance{
		Name:                p.Instance,
		Store:               p.Store,
		Total:               &p.Total,
		Records:             p.Records,
		Lost:                p.Lost,
		UnknownLosses:       p.UnknownLosses,
		Counters:            p.Counters,
		Unfinished:          p.Unfinished,
		Incomplete:          p.Lost > 0 || p.UnknownLosses > 0 || p.Unfinished,
		AnswersWithoutSetup: p.AnswersWithoutSetup,
		Reasons:             p.Reasons,
		OverloadPeriods:     len(p.OverloadPeriods),
	}
	for n := range p.Starts {
		i.Sources = append(i.Sources, source+n)
		i.Starts = append(i.Starts, newRun(&p.Starts[n], source+n))
	}
	for _, n := range p.NoAnswer {
		i.Unanswered += n
	}
	addCounts(r.NoAnswer, p.NoAnswer)
	addCounts(r.Limits, p.Limits)
	addCounts(r.AttemptEnds, p.AttemptEnds)
	addCounts(r.Reasons, p.Reasons)
	r.Width = max(r.Width, p.timeline.width)
	r.AnswersWithoutSetup += p.AnswersWithoutSetup
	r.Records += p.Records
	r.Lost += p.Lost
	r.OmittedEntries += p.OmittedEntries
	r.Incomplete = r.Incomplete || i.Incomplete
	r.Instances = append(r.Instances, i)
}

func newRun(s *Start, source int) Run {
	return Run{
		RunID:    fmt.Sprintf("%016x", s.RunID),
		Program:  s.Program,
		Clean:    s.Clean,
		Stopping: s.Stopping,
		Offset:   s.Offset,
		Steps:    s.Steps,
		From:     s.Offset.moment(source, s.From),
		To:       s.Offset.moment(source, s.To),
	}
}

func addCounts(sum, counts map[string]uint64) {
	for name, n := range counts {
		sum[name] += n
	}
}

// mostUsedReference returns the peer that most starts were compared with; of several, the first by name.
func (r *Report) mostUsedReference() (reference string) {
	starts := make(map[string]int)
	for _, i := range r.Instances {
		for _, s := range i.Starts {
			if s.Offset.Known {
				starts[s.Offset.Peer]++
			}
		}
	}
	for _, peer := range sortedKeys(starts) {
		if reference == "" || starts[peer] > starts[reference] {
			reference = peer
		}
	}
	return reference
}

// moment converts a time by the clock of a part's start into one by the reference's clock.
func (r *Report) moment(part, start int, own Time) Moment {
	i := &r.Instances[part]
	return i.Starts[start].Offset.moment(i.Sources[start], own)
}

// placeLists merges the lists of all parts, in the order of the time line.
func (r *Report) placeLists(parts []*Part) {
	for n, p := range parts {
		for _, g := range p.Gaps {
			begin, end := r.moment(n, g.startIndex, g.Since), r.moment(n, g.startIndex, g.Until)
			r.Gaps = append(r.Gaps, PlacedGap{p.Instance, g, begin, end})
		}
		for _, s := range p.Slowest {
			r.Slowest = append(r.Slowest, PlacedSlowSetup{s, r.moment(n, s.startIndex, s.At)})
		}
		for _, u := range p.Unanswered {
			r.Unanswered = append(r.Unanswered, PlacedUnanswered{u, r.moment(n, u.startIndex, u.At)})
		}
	}
	slices.SortStableFunc(r.Gaps, func(a, b PlacedGap) int { return compareMid(a.Begin, b.Begin) })
	slices.SortStableFunc(r.Slowest, func(a, b PlacedSlowSetup) int { return compareSlowest(a.SlowSetup, b.SlowSetup) })
	slices.SortStableFunc(r.Unanswered, func(a, b PlacedUnanswered) int { return compareMid(a.Moment, b.Moment) })
	r.Slowest = r.Slowest[:min(len(r.Slowest), maxSlowest)]
	if n := len(r.Unanswered) - maxUnanswered; n > 0 {
		r.OmittedEntries += uint64(n)
		r.Unanswered = r.Unanswered[:maxUnanswered]
	}
}
