package incident

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// A Report is what many stores tell together.
type Report struct {
	From, To            Time // of the records, by the reference's clock as well as it is known
	Reference           string
	Instances           []Instance
	Total               Tally
	Classes             []NamedTally
	Servers             []NamedTally
	Width               time.Duration
	Windows             []Window
	Findings            []Finding
	Gaps                []PlacedGap
	Slowest             []PlacedSlowSetup
	Unanswered          []PlacedUnanswered
	NoAnswer            map[string]uint64 // set-ups without a final answer, by why
	AnswersWithoutSetup uint64
	Limits              map[string]uint64
	AttemptEnds         map[string]uint64
	Reasons             map[string]uint64
	Incomplete          bool // records are lost that any total may miss
	Records             uint64
	Lost                uint64
	OmittedEntries      uint64 // entries of lists past their bounds
	Truncated           bool   // not all windows could be placed
}

// NamedTally is a Tally under a name.
type NamedTally struct {
	Name string
	*Tally
}

// An Instance is what one store tells.
type Instance struct {
	Name                string
	Store               uint64
	Starts              []Run
	Total               *Tally
	Records             uint64
	Lost                uint64
	UnknownLosses       uint64
	Incomplete          bool
	Tallies             map[string]uint64
	Live                bool // no orderly end: it runs, or was killed
	Sources             []int
	Unanswered          uint64 // set-ups without an answer
	AnswersWithoutSetup uint64
	Reasons             map[string]uint64
	OverloadPeriods     int
}

// A Run is one start of an instance.
type Run struct {
	Boot     string
	Program  string
	From, To Moment
	Clean    bool
	Stopping Time
	Offset   Offset
	Steps    []ClockStep
}

// A Window is a stretch of time.
type Window struct {
	At      Time
	Gap     bool // records of that time are lost: counts are at least, and there is no rate
	Sources int  // instances with records of that time
	Counts
	MeanSetupTime, MaxSetupTime time.Duration // that calls took to stand
}

// A PlacedGap is a gap with its place.
type PlacedGap struct {
	Instance string
	Gap
	Begin, End Moment
}

// A PlacedSlowSetup is one of the slowest, with its place.
type PlacedSlowSetup struct {
	SlowSetup
	Moment Moment
}

// A PlacedUnanswered is a set-up without an answer, with its place.
type PlacedUnanswered struct {
	UnansweredCall
	Moment Moment
}

// Bounds of a Report.
const (
	maxWindows       = 512
	maxFindings      = 500
	maxClockDistance = 366 * 24 * time.Hour // an instance that is further away than this has a wrong clock
)

// A Fleet collects parts. What is only needed in sum is taken off a part as soon as it is
// added, so that of hundreds of stores only those being read hold all of theirs. The zero
// value is ready; one goroutine at a time may use it.
type Fleet struct {
	parts            []*Part
	total            Tally
	classes, servers boundedTallies
}

// Add takes a part that is closed, and uses it up.
func (f *Fleet) Add(p *Part) {
	if f.classes.maxNames == 0 {
		f.classes.maxNames, f.servers.maxNames = maxClasses, maxServers
	}
	f.total.merge(&p.Total)
	f.classes.merge(&p.classes)
	f.servers.merge(&p.servers)
	p.classes, p.servers, p.open, p.openOrder = boundedTallies{}, boundedTallies{}, nil, nil
	f.parts = append(f.parts, p)
}

// Combine makes the report of parts that are closed, and uses them up.
func Combine(parts []*Part) *Report {
	var f Fleet
	for _, p := range parts {
		f.Add(p)
	}
	return f.Report()
}

// Report makes the report of all parts. The Fleet is used up.
func (f *Fleet) Report() *Report {
	parts := f.parts
	slices.SortStableFunc(parts, func(a, b *Part) int {
		return cmp.Or(strings.Compare(a.Instance, b.Instance), cmp.Compare(a.Store, b.Store))
	})
	r := &Report{Width: initialBinWidth, NoAnswer: make(map[string]uint64), Limits: make(map[string]uint64), AttemptEnds: make(map[string]uint64), Reasons: make(map[string]uint64)}
	r.Total = f.total
	peers := make(map[string]int)
	source := 0
	for _, p := range parts {
		r.Width = max(r.Width, p.binWidth)
		i := Instance{Name: p.Instance, Store: p.Store, Total: &p.Total, Records: p.Records, Lost: p.Lost, UnknownLosses: p.UnknownLosses, Tallies: p.Tallies,
			Live: p.Unfinished, Incomplete: p.Lost > 0 || p.UnknownLosses > 0 || p.Unfinished, AnswersWithoutSetup: p.AnswersWithoutSetup, Reasons: p.Reasons, OverloadPeriods: len(p.OverloadPeriods)}
		for n := range p.Starts {
			s := &p.Starts[n]
			i.Sources = append(i.Sources, source)
			i.Starts = append(i.Starts, Run{Boot: fmt.Sprintf("%016x", s.Boot), Program: s.Program, Clean: s.Clean, Stopping: s.Stopping, Offset: s.Offset,
				Steps: s.Steps, From: s.Offset.moment(source, s.From), To: s.Offset.moment(source, s.To)})
			if s.Offset.Known {
				peers[s.Offset.Peer]++
			}
			source++
		}
		for _, n := range p.NoAnswer {
			i.Unanswered += n
		}
		for from, to := range map[*map[string]uint64]map[string]uint64{&p.NoAnswer: r.NoAnswer, &p.Limits: r.Limits, &p.AttemptEnds: r.AttemptEnds, &p.Reasons: r.Reasons} {
			for name, n := range *from {
				to[name] += n
			}
		}
		r.AnswersWithoutSetup += p.AnswersWithoutSetup
		r.Records += p.Records
		r.Lost += p.Lost
		r.OmittedEntries += p.OmittedEntries
		r.Incomplete = r.Incomplete || i.Incomplete
		r.Instances = append(r.Instances, i)
	}
	for _, name := range sortedKeys(f.classes.byName) {
		r.Classes = append(r.Classes, NamedTally{name, f.classes.byName[name]})
	}
	for _, name := range sortedKeys(f.servers.byName) {
		r.Servers = append(r.Servers, NamedTally{name, f.servers.byName[name]})
	}
	for _, name := range sortedKeys(peers) {
		if r.Reference == "" || peers[name] > peers[r.Reference] {
			r.Reference = name
		}
	}
	r.placeLists(parts)
	r.layWindows(parts)
	r.findAll(parts)
	return r
}

// moment places something that a part saw.
func (r *Report) moment(part, start int, own Time) Moment {
	i := &r.Instances[part]
	return i.Starts[start].Offset.moment(i.Sources[start], own)
}

func (r *Report) placeLists(parts []*Part) {
	for n, p := range parts {
		for _, g := range p.Gaps {
			r.Gaps = append(r.Gaps, PlacedGap{p.Instance, g, r.moment(n, g.startIndex, g.Since), r.moment(n, g.startIndex, g.Until)})
		}
		for _, s := range p.Slowest {
			r.Slowest = append(r.Slowest, PlacedSlowSetup{s, r.moment(n, s.startIndex, s.At)})
		}
		for _, u := range p.Unanswered {
			r.Unanswered = append(r.Unanswered, PlacedUnanswered{u, r.moment(n, u.startIndex, u.At)})
		}
	}
	slices.SortStableFunc(r.Gaps, func(a, b PlacedGap) int { return cmp.Compare(a.Begin.Mid(), b.Begin.Mid()) })
	slices.SortStableFunc(r.Slowest, func(a, b PlacedSlowSetup) int { return compareSlowest(a.SlowSetup, b.SlowSetup) })
	slices.SortStableFunc(r.Unanswered, func(a, b PlacedUnanswered) int { return cmp.Compare(a.Moment.Mid(), b.Moment.Mid()) })
	r.Slowest = r.Slowest[:min(len(r.Slowest), maxSlowest)]
	if n := len(r.Unanswered) - maxUnanswered; n > 0 {
		r.OmittedEntries += uint64(n)
		r.Unanswered = r.Unanswered[:maxUnanswered]
	}
}

// layWindows lays the bins of all starts on one time line. A bin is moved by the middle of its
// start's offset and stays whole: counts are never split, their place is good to a width.
func (r *Report) layWindows(parts []*Part) {
	var middle []Time
	for _, i := range r.Instances {
		for _, s := range i.Starts {
			middle = append(middle, s.From.Mid())
		}
	}
	if len(middle) == 0 {
		return
	}
	slices.Sort(middle)
	median := middle[len(middle)/2]
	for _, p := range parts {
		for p.binWidth < r.Width {
			p.widenBins()
		}
	}
	// The last fold leaves room for the shift of each start by its offset.
	for {
		line := series{}
		runs := make(map[int64]int)
		fits := r.placeBins(parts, median, &line, runs)
		if fits {
			for i := range line.bins {
				r.addWindow(&line.bins[i], Time(line.first+int64(i))*r.Width, runs[line.first+int64(i)])
			}
			return
		}
		for _, p := range parts {
			p.widenBins()
		}
		r.Width *= 2
	}
}

func (r *Report) placeBins(parts []*Part, median Time, line *series, runs map[int64]int) bool {
	r.Truncated = false
	for n, p := range parts {
		for k := range p.Starts {
			s := &p.Starts[k]
			from := s.Offset.moment(0, s.From).Mid()
			if from-median > maxClockDistance || median-from > maxClockDistance {
				r.Truncated = true // a clock that is years away must not stretch the line
				continue
			}
			for i := range s.series.bins {
				own := Time(s.series.first+int64(i)) * r.Width
				at := floorDiv(int64(own+r.Width/2-s.Offset.at(own).Mid()), int64(r.Width))
				b := line.get(at, maxWindows)
				if b == nil {
					return false
				}
				b.add(&s.series.bins[i])
				runs[at]++
			}
			if r.From == 0 || from < r.From {
				r.From = from
			}
			r.To = max(r.To, r.moment(n, k, s.To).Mid())
		}
	}
	return true
}

func (r *Report) addWindow(b *bin, at Time, runs int) {
	w := Window{At: at, Gap: b.hasGap, Sources: runs, Counts: b.Counts, MaxSetupTime: b.maxSetupTime}
	if n := b.Established(); n > 0 {
		w.MeanSetupTime = b.setupTimeSum / time.Duration(n)
	}
	r.Windows = append(r.Windows, w)
}

// sumWithin sums the windows that touch a stretch of time; gap tells that some are not complete.
func (r *Report) sumWithin(from, to Time) (c Counts, gap bool) {
	for i := range r.Windows {
		if w := &r.Windows[i]; w.At+r.Width > from && w.At <= to {
			c.add(&w.Counts)
			gap = gap || w.Gap
		}
	}
	return c, gap
}
