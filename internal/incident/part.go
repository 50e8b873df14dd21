package incident

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"olivedale/internal/record"
)

// Bounds of a Part, whatever its records say.
const (
	mostClasses  = 64
	mostServers  = 4096
	mostOpen     = 1 << 18 // calls whose final answer is awaited
	mostBins     = 512     // of one start
	mostAllBins  = 8192    // of all starts together; at least two for each start
	mostStarts   = 4096    // those that come after share one account
	mostEvents   = 4096    // of each list: gaps, drains, cold starts, pressure
	mostSlowest  = 20
	mostUnanswer = 100
	firstWidth   = time.Second
	news         = 2 * time.Second  // BRIEF: nothing new goes to a server longer than this after news
	patience     = 60 * time.Second // for an answer, where no class tells a deadline
)

// A Ref names a record.
type Ref struct {
	Instance string `json:"instance"`
	Boot     string `json:"boot"`
	Seq      uint64 `json:"seq"`
}

// A Start is one run of an instance's program.
type Start struct {
	Boot     uint64
	Program  string
	From, To Time // of its records, by its own clock
	Clean    bool // it ended in good order
	Stopping Time // when SIGTERM came, 0: it did not
	Offset   Offset
	Steps    []Step
	stepped  time.Duration // the system's clock against ours when last told
	told     bool
	series   series
}

// A Step is a jump of the system's clock, which the instance's own does not follow.
type Step struct {
	At Time
	By time.Duration
}

// A Gap is a range of records that are lost.
type Gap struct {
	From, To uint64 // 0: the number is not known
	Cause    string
	Since    Time // last that is known before it
	Until    Time
	start    int
}

// A Drain is news that a server drains or is gone, with what the instance sent there after.
type Drain struct {
	Server, Phase string
	At            Time
	Sent          uint64        // after the news
	Past          uint64        // of these, more than 2 s after it
	Last          time.Duration // the last, after the news
	Ref           Ref
	start         int
}

// A Cold is a server that had just started when the instance heard of it.
type Cold struct {
	Server  string
	Pool    int
	Started Time
	Heard   Time
	Sent    uint64    // until it was warm
	Steps   [5]uint64 // of these, by fifths of the time it was cold
	Warm    time.Duration
	Ref     Ref
	start   int
}

// A Pressure is a time in which an instance held a server for slow.
type Pressure struct {
	Server   string
	From, To Time // To 0: it was not over at the end of the records
	Least    float64
	Ref, End Ref
	start    int
}

// A Slow is a call that took long to stand.
type Slow struct {
	Call, Class, Server string
	At                  Time
	Took                time.Duration
	Attempts            int
	Ref                 Ref
	start               int
}

// An Unanswered is a set-up without a final answer in the records.
type Unanswered struct {
	Call, Class string
	At          Time
	Why         string
	Ref         Ref
	start       int
}

// Why a set-up has no final answer in the records.
const (
	WhyKilled = "the instance ended without a word"
	WhyGap    = "records are lost behind it"
	WhyEnd    = "the records end"
	WhyNone   = "no answer though no record is lost"
)

// open is a call whose answer is awaited.
type open struct {
	class string
	at    Time
	seq   uint64
}

// A Part is what one store tells. Its zero value is not ready; use NewPart.
type Part struct {
	Instance   string
	Store      uint64
	Records    uint64
	Lost       uint64 // numbers that are lost for sure
	Vague      uint64 // losses of unknown size
	Total      Tally
	Starts     []Start
	Gaps       []Gap
	Drains     []Drain
	Colds      []Cold
	Pressures  []Pressure
	Slowest    []Slow // the slowest first
	Unanswered []Unanswered
	NoAnswer   map[string]uint64 // how many, by why
	NoSetUp    uint64            // answers to set-ups that are not in the records
	Limits     map[string]uint64
	Ends       map[string]uint64 // attempts by how they ended
	Reasons    map[string]uint64 // orders that turned a call down, by the module's reason
	Tallies    map[string]uint64 // the core's own counters, of all starts
	Skipped    uint64            // list entries past a bound
	Merged     uint64            // starts past the bound, which share the account of the last
	Unfinished bool              // the last start has no orderly end: it runs, or was killed

	From, To Time // calls are counted within these by the instance's clock; 0: no bound

	classes  tallies
	servers  tallies
	width    time.Duration
	bins     int
	aims     map[string]time.Duration
	deadline time.Duration
	warm     time.Duration
	open     map[string]open
	queue    []string // open calls in the order they came
	lost     Time     // the last gap ended
	drains   map[string]int
	colds    map[string]int
	pressed  map[string]int
	counted  map[string]uint64 // the core's counters in this start
}

// NewPart begins the account of one store.
func NewPart() *Part {
	return &Part{classes: tallies{most: mostClasses}, servers: tallies{most: mostServers}, width: firstWidth, warm: time.Second,
		aims: make(map[string]time.Duration), open: make(map[string]open), NoAnswer: make(map[string]uint64), Limits: make(map[string]uint64),
		Ends: make(map[string]uint64), Reasons: make(map[string]uint64), Tallies: make(map[string]uint64),
		drains: make(map[string]int), colds: make(map[string]int), pressed: make(map[string]int), counted: make(map[string]uint64)}
}

// bump counts under a name, so many at the most.
func bump(m map[string]uint64, name string, n uint64) {
	if _, ok := m[name]; !ok && len(m) >= 256 {
		name = Other
	}
	m[name] += n
}

// Take takes the next record of the store, with the header of the segment it is in.
func (p *Part) Take(h *record.Header, r *record.Record) {
	if p.Instance == "" {
		p.Instance, p.Store = h.Name, h.Store
	}
	p.Records++
	if len(p.Starts) == 0 || p.Starts[len(p.Starts)-1].Boot != h.Boot {
		p.begin(h, r)
	}
	s := &p.Starts[len(p.Starts)-1]
	s.To = max(s.To, r.At)
	ref := Ref{p.Instance, fmt.Sprintf("%016x", h.Boot), r.Seq}
	if !p.counts(r) {
		return
	}
	if r.Kind != record.KindGap {
		p.bin(r.At) // it was alive then, whether it had calls or not
	}
	switch r.Kind {
	case record.KindGap:
		p.Records-- // it stands for others
		p.gap(Gap{From: r.From, To: r.Seq, Cause: record.GapCause(r.Code).String(), Since: r.Since, Until: r.At})
		p.Lost += r.Lost()
	case record.KindStart:
		p.started(r)
	case record.KindStopping:
		s.Stopping = r.At
	case record.KindEnd:
		s.Clean = true
	case record.KindSetUp:
		p.setUp(r)
	case record.KindOrder:
		if m := record.Move(r.Code); r.Text != "" && m != record.Try && m != record.Hold {
			bump(p.Reasons, r.Text, 1)
		}
	case record.KindTry:
		p.try(r)
	case record.KindTryEnd:
		bump(p.Ends, r.End, 1)
	case record.KindAnswer:
		p.answer(r, ref)
	case record.KindRelease:
		p.release(r)
	case record.KindServer:
		p.server(r, ref)
	case record.KindCeiling:
		p.ceiling(r, ref)
	case record.KindConfig:
		p.config(r)
	case record.KindLimit:
		bump(p.Limits, r.By, r.Count)
	case record.KindClock:
		p.clock(s, r)
	case record.KindTally:
		p.tally(r)
	}
	p.sweep(r.At)
}

// counts tells whether a record counts: outside of From and To only what tells of the state of
// things does.
func (p *Part) counts(r *record.Record) bool {
	if (p.From == 0 || r.At >= p.From) && (p.To == 0 || r.At <= p.To) {
		return true
	}
	switch r.Kind {
	case record.KindSetUp, record.KindOrder, record.KindTry, record.KindTryEnd, record.KindAnswer, record.KindRelease, record.KindLimit, record.KindTally:
		return false
	}
	return true
}

// begin opens the account of another start.
func (p *Part) begin(h *record.Header, r *record.Record) {
	if n := len(p.Starts); n > 0 {
		p.close(n - 1)
		if n >= mostStarts { // a program that crashes in a loop
			s := &p.Starts[n-1]
			s.Boot, s.Clean, s.Stopping, s.Offset, s.told = h.Boot, false, 0, Offset{}, false
			p.Merged++
			return
		}
	}
	p.Starts = append(p.Starts, Start{Boot: h.Boot, Program: h.Program, From: r.At, To: r.At})
}

// close ends the account of a start that another follows: what it did not answer it never will.
func (p *Part) close(n int) {
	s := &p.Starts[n]
	why := WhyKilled
	if s.Clean {
		why = WhyNone
	}
	p.unanswered(why)
	p.ended(s.To)
	if !s.Clean {
		// What was still on its way to the disk is gone, and nobody knows how much that was.
		p.Vague++
		p.gap(Gap{Cause: "killed", Since: s.To, Until: s.To})
	}
}

// ended closes what a start held for true.
func (p *Part) ended(at Time) {
	for _, i := range p.pressed {
		if p.Pressures[i].To == 0 {
			p.Pressures[i].To = at
		}
	}
	clear(p.pressed)
	clear(p.drains)
	clear(p.colds)
	clear(p.counted)
}

// Close ends the account; the Part is ready for Combine.
func (p *Part) Close() {
	p.Unfinished = len(p.Starts) > 0 && !p.Starts[len(p.Starts)-1].Clean
	if n := len(p.Starts); n > 0 {
		why := WhyEnd
		if p.Starts[n-1].Clean {
			why = WhyNone
		}
		p.unanswered(why)
	}
}

func (p *Part) started(r *record.Record) {
	if n := len(p.Starts); n < 2 && !r.Flag {
		// The start before this one is not in the records, but it did not end in good order.
		p.Vague++
	}
}

// unanswered ends the wait for all open calls.
func (p *Part) unanswered(why string) {
	for _, id := range p.queue {
		if o, ok := p.open[id]; ok {
			p.noAnswer(id, o, why)
		}
	}
	clear(p.open)
	p.queue = p.queue[:0]
}

func (p *Part) noAnswer(id string, o open, why string) {
	if p.lost >= o.at {
		why = WhyGap
	}
	p.NoAnswer[why]++
	if len(p.Unanswered) >= mostUnanswer {
		p.Skipped++
		return
	}
	s := len(p.Starts) - 1
	p.Unanswered = append(p.Unanswered, Unanswered{Call: id, Class: o.class, At: o.at, Why: why,
		Ref: Ref{p.Instance, fmt.Sprintf("%016x", p.Starts[s].Boot), o.seq}, start: s})
}

// sweep ends the wait for calls that are open for longer than any may be.
func (p *Part) sweep(now Time) {
	limit := patience
	if p.deadline > 0 {
		limit = 2*p.deadline + time.Second
	}
	for len(p.queue) > 0 {
		id := p.queue[0]
		o, ok := p.open[id]
		if ok && now-o.at < limit && len(p.open) < mostOpen {
			return
		}
		p.queue = p.queue[1:]
		if ok {
			delete(p.open, id)
			p.noAnswer(id, o, WhyNone)
		}
	}
}

// bin finds the bin of a time in the start at hand; all bins become wider when they are too
// many.
func (p *Part) bin(at Time) *bin { return p.binOf(len(p.Starts)-1, at) }

func (p *Part) binOf(start int, at Time) *bin {
	for {
		s := &p.Starts[start].series
		before := len(s.bins)
		b := s.at(floorDiv(int64(at), int64(p.width)), mostBins)
		if p.bins += len(s.bins) - before; b != nil && p.bins <= mostAllBins {
			return b
		}
		p.widen()
	}
}

func (p *Part) widen() {
	p.width *= 2
	p.bins = 0
	for i := range p.Starts {
		p.Starts[i].series.fold()
		p.bins += len(p.Starts[i].series.bins)
	}
}

func (p *Part) gap(g Gap) {
	g.start = len(p.Starts) - 1
	p.lost = g.Until
	if g.start > 0 && g.Since < p.Starts[g.start].From { // it began in the start before
		before := &p.Starts[g.start-1]
		p.binOf(g.start-1, before.To).gap = true
	}
	for at := max(g.Since, p.Starts[g.start].From); ; at += p.width {
		if p.bin(min(at, g.Until)).gap = true; at >= g.Until {
			break
		}
	}
	if len(p.Gaps) >= mostEvents {
		p.Skipped++
		return
	}
	p.Gaps = append(p.Gaps, g)
}

func (p *Part) setUp(r *record.Record) {
	p.Total.Offered++
	p.classes.of(r.Class).Offered++
	p.bin(r.At).Offered++
	if _, ok := p.open[r.Call]; !ok {
		p.queue = append(p.queue, r.Call)
	}
	p.open[r.Call] = open{class: r.Class, at: r.At, seq: r.Seq}
}

func (p *Part) try(r *record.Record) {
	b, k := p.bin(r.At), p.servers.of(r.Server)
	retried := uint64(0)
	if r.Attempt > 0 {
		retried = 1
	}
	name := Unseen
	if o, ok := p.open[r.Call]; ok {
		name = o.class
	}
	class := p.classes.of(name)
	for _, c := range [...]*Counts{&p.Total.Counts, &class.Counts, &k.Counts, &b.Counts} {
		c.Tries++
		c.Retried += retried
	}
	if i, ok := p.drains[r.Server]; ok {
		d := &p.Drains[i]
		d.Sent++
		if d.Last = max(d.Last, r.At-d.At); r.At-d.At > news {
			d.Past++
		}
	}
	if i, ok := p.colds[r.Server]; ok {
		c := &p.Colds[i]
		if age := r.At - c.Started; age < c.Warm {
			c.Sent++
			c.Steps[min(max(int(5*age/c.Warm), 0), 4)]++
		} else {
			delete(p.colds, r.Server)
		}
	}
}

// Unseen is the class of attempts and answers whose set-up is not in the records.
const Unseen = "(set-up not recorded)"

func (p *Part) answer(r *record.Record, ref Ref) {
	o, known := p.open[r.Call]
	if !known {
		p.NoSetUp++
	} else {
		delete(p.open, r.Call)
	}
	outcome := min(int(r.Code), record.Outcomes-1)
	b, class := p.bin(r.At), p.classes.of(r.Class)
	counts := [4]*Counts{&p.Total.Counts, &class.Counts, &b.Counts}
	n := 3
	if outcome == int(record.Stood) && r.Server != "" {
		counts[n] = &p.servers.of(r.Server).Counts
		n++
	}
	aim, wanted := p.aims[r.Class]
	late := outcome == int(record.Stood) && wanted && r.Took > aim
	for _, c := range counts[:n] {
		c.Outcomes[outcome]++
		if late {
			c.Late++
		}
	}
	if outcome != int(record.Stood) {
		return
	}
	p.Total.stood(r.Took)
	class.stood(r.Took)
	p.servers.of(r.Server).stood(r.Took)
	b.took += r.Took
	b.most = max(b.most, r.Took)
	if n := len(p.Slowest); n < mostSlowest || r.Took > p.Slowest[n-1].Took {
		at := r.At - r.Took
		if known {
			at = o.at
		}
		s := Slow{Call: r.Call, Class: r.Class, Server: r.Server, At: at, Took: r.Took, Attempts: r.Attempt, Ref: ref, start: len(p.Starts) - 1}
		i, _ := slices.BinarySearchFunc(p.Slowest, s, slower)
		p.Slowest = slices.Insert(p.Slowest, i, s)
		p.Slowest = p.Slowest[:min(len(p.Slowest), mostSlowest)]
	}
}

// slower sorts the slowest first, and those that took as long by their place.
func slower(a, b Slow) int {
	switch {
	case a.Took > b.Took:
		return -1
	case a.Took < b.Took:
		return 1
	case a.At != b.At:
		return int(min(max(a.At-b.At, -1), 1))
	}
	return strings.Compare(a.Ref.Instance+a.Call, b.Ref.Instance+b.Call)
}

func (p *Part) release(r *record.Record) {
	cut := uint64(0)
	if r.End == "cut" || r.End == "exchange_lost" {
		cut = 1
	}
	for _, c := range [...]*Counts{&p.Total.Counts, &p.classes.of(r.Class).Counts, &p.servers.of(r.Server).Counts, &p.bin(r.At).Counts} {
		c.Released++
		c.Cut += cut
	}
}

func (p *Part) server(r *record.Record, ref Ref) {
	start := len(p.Starts) - 1
	if record.Phase(r.Code) == record.Listed {
		delete(p.drains, r.Server)
		if _, there := p.colds[r.Server]; r.Flag && !there {
			if len(p.Colds) >= mostEvents {
				p.Skipped++
				return
			}
			p.colds[r.Server] = len(p.Colds)
			p.Colds = append(p.Colds, Cold{Server: r.Server, Pool: r.Pool, Started: r.Since, Heard: r.At, Warm: p.warm, Ref: ref, start: start})
		}
		return
	}
	if i, ok := p.drains[r.Server]; ok {
		p.Drains[i].Phase = record.Phase(r.Code).String() // the news began with the first
		return
	}
	if len(p.Drains) >= mostEvents {
		p.Skipped++
		return
	}
	p.drains[r.Server] = len(p.Drains)
	p.Drains = append(p.Drains, Drain{Server: r.Server, Phase: record.Phase(r.Code).String(), At: r.At, Ref: ref, start: start})
}

func (p *Part) ceiling(r *record.Record, ref Ref) {
	i, on := p.pressed[r.Server]
	switch none := math.IsInf(r.Value, 1); {
	case none && on:
		p.Pressures[i].To, p.Pressures[i].End = r.At, ref
		delete(p.pressed, r.Server)
	case none:
	case on:
		p.Pressures[i].Least = min(p.Pressures[i].Least, r.Value)
	case len(p.Pressures) >= mostEvents:
		p.Skipped++
	default:
		p.pressed[r.Server] = len(p.Pressures)
		p.Pressures = append(p.Pressures, Pressure{Server: r.Server, From: r.At, Least: r.Value, Ref: ref, start: len(p.Starts) - 1})
	}
}

func (p *Part) config(r *record.Record) {
	switch {
	case r.By == "class" && len(p.aims) < mostClasses:
		p.aims[r.Class] = r.Wait
		p.deadline = max(p.deadline, r.Took)
	case r.By == "cold" && r.Wait > 0:
		p.warm = r.Wait
	}
}

func (p *Part) clock(s *Start, r *record.Record) {
	if r.By != "" {
		s.Offset.exchanged(r.By, r.T)
		return
	}
	ahead := time.Duration(r.T[0] - r.T[1])
	if by := ahead - s.stepped; s.told && len(s.Steps) < mostEvents {
		s.Steps = append(s.Steps, Step{At: r.At, By: by})
	}
	s.stepped, s.told = ahead, true
}

// tally sums the core's counters over starts; within one they only grow.
func (p *Part) tally(r *record.Record) {
	old := p.counted[r.By]
	p.counted[r.By] = r.Count
	bump(p.Tallies, r.By, r.Count-min(old, r.Count))
}

// sorted are the keys of a map in order.
func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
