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
	maxClasses           = 64
	maxServers           = 4096
	maxOpenCalls         = 1 << 18 // calls whose final answer is awaited
	maxBinsOfStart       = 512     // of one start
	maxBins              = 8192    // of all starts together; at least two for each start
	maxStarts            = 4096    // those that come after share one account
	maxEvents            = 4096    // of each list: gaps, drains, cold starts, pressure
	maxSlowest           = 20
	maxUnanswered        = 100
	initialBinWidth      = time.Second
	drainGrace           = 2 * time.Second  // BRIEF: nothing new goes to a server longer than this after news
	defaultAnswerTimeout = 60 * time.Second // for an answer, where no class tells a deadline
)

// A Ref names a record.
type Ref struct {
	Instance string `json:"instance"`
	Boot     string `json:"boot"`
	Seq      uint64 `json:"seq"`
}

// A Start is one run of an instance's program.
type Start struct {
	Boot            uint64
	Program         string
	From, To        Time // of its records, by its own clock
	Clean           bool // it ended in good order
	Stopping        Time // when SIGTERM came, 0: it did not
	Offset          Offset
	Steps           []ClockStep
	wallClockOffset time.Duration // the system's clock against ours when last told
	hasWallClock    bool
	series          series
}

// A ClockStep is a jump of the system's clock, which the instance's own does not follow.
type ClockStep struct {
	At Time
	By time.Duration
}

// A Gap is a range of records that are lost.
type Gap struct {
	From, To   uint64 // 0: the number is not known
	Cause      string
	Since      Time // last that is known before it
	Until      Time
	startIndex int
}

// A Drain is news that a server drains or is gone, with what the instance sent there after.
type Drain struct {
	Server, Phase string
	At            Time
	Sent          uint64        // after the news
	SentLate      uint64        // of these, more than 2 s after it
	LastSend      time.Duration // the last, after the news
	Ref           Ref
	startIndex    int
}

// A ColdStart is a server that had just started when the instance heard of it.
type ColdStart struct {
	Server      string
	Pool        int
	Started     Time
	NoticedAt   Time
	Sent        uint64    // until it was warm
	SentByFifth [5]uint64 // of these, by fifths of the time it was cold
	Period      time.Duration
	Ref         Ref
	startIndex  int
}

// A OverloadPeriod is a time in which an instance held a server for slow.
type OverloadPeriod struct {
	Server     string
	From, To   Time // To 0: it was not over at the end of the records
	MinRate    float64
	Ref, End   Ref
	startIndex int
}

// A SlowSetup is a call that took long to stand.
type SlowSetup struct {
	Call, Class, Server string
	At                  Time
	SetupTime           time.Duration
	Attempts            int
	Ref                 Ref
	startIndex          int
}

// An UnansweredCall is a set-up without a final answer in the records.
type UnansweredCall struct {
	Call, Class string
	At          Time
	Reason      string
	Ref         Ref
	startIndex  int
}

// Why a set-up has no final answer in the records.
const (
	ReasonKilled     = "the instance ended without a word"
	ReasonGap        = "records are lost behind it"
	ReasonRecordsEnd = "the records end"
	ReasonUnknown    = "no answer though no record is lost"
)

// openCall is a call whose answer is awaited.
type openCall struct {
	class     string
	offeredAt Time
	seq       uint64
}

// A Part is what one store tells. Its zero value is not ready; use NewPart.
type Part struct {
	Instance            string
	Store               uint64
	Records             uint64
	Lost                uint64 // numbers that are lost for sure
	UnknownLosses       uint64 // losses of unknown size
	Total               Tally
	Starts              []Start
	Gaps                []Gap
	Drains              []Drain
	ColdStarts          []ColdStart
	OverloadPeriods     []OverloadPeriod
	Slowest             []SlowSetup // the slowest first
	Unanswered          []UnansweredCall
	NoAnswer            map[string]uint64 // how many, by why
	AnswersWithoutSetup uint64            // answers to set-ups that are not in the records
	Limits              map[string]uint64
	AttemptEnds         map[string]uint64 // attempts by how they ended
	Reasons             map[string]uint64 // orders that turned a call down, by the module's reason
	Tallies             map[string]uint64 // the core's own counters, of all starts
	OmittedEntries      uint64            // list entries past a bound
	MergedStarts        uint64            // starts past the bound, which share the account of the last
	Unfinished          bool              // the last start has no orderly end: it runs, or was killed

	From, To Time // calls are counted within these by the instance's clock; 0: no bound

	classes         boundedTallies
	servers         boundedTallies
	binWidth        time.Duration
	binCount        int
	objectives      map[string]time.Duration
	longestDeadline time.Duration
	slowStartPeriod time.Duration
	open            map[string]openCall
	openOrder       []string // open calls in the order they came
	lastGapEnd      Time     // the last gap ended
	openDrains      map[string]int
	openColdStarts  map[string]int
	openOverloads   map[string]int
	lastCounters    map[string]uint64 // the core's counters in this start
}

// NewPart begins the account of one store.
func NewPart() *Part {
	return &Part{classes: boundedTallies{maxNames: maxClasses}, servers: boundedTallies{maxNames: maxServers}, binWidth: initialBinWidth, slowStartPeriod: time.Second,
		objectives: make(map[string]time.Duration), open: make(map[string]openCall), NoAnswer: make(map[string]uint64), Limits: make(map[string]uint64),
		AttemptEnds: make(map[string]uint64), Reasons: make(map[string]uint64), Tallies: make(map[string]uint64),
		openDrains: make(map[string]int), openColdStarts: make(map[string]int), openOverloads: make(map[string]int), lastCounters: make(map[string]uint64)}
}

// addBounded counts under a name, so many at the most.
func addBounded(m map[string]uint64, name string, n uint64) {
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
		p.beginStart(h, r)
	}
	s := &p.Starts[len(p.Starts)-1]
	s.To = max(s.To, r.At)
	ref := Ref{p.Instance, fmt.Sprintf("%016x", h.Boot), r.Seq}
	if !p.isCounted(r) {
		return
	}
	if r.Kind != record.KindGap {
		p.currentBin(r.At) // it was alive then, whether it had calls or not
	}
	switch r.Kind {
	case record.KindGap:
		p.Records-- // it stands for others
		p.addGap(Gap{From: r.From, To: r.Seq, Cause: record.GapCause(r.Code).String(), Since: r.Since, Until: r.At})
		p.Lost += r.Lost()
	case record.KindStart:
		p.noteStart(r)
	case record.KindStopping:
		s.Stopping = r.At
	case record.KindEnd:
		s.Clean = true
	case record.KindSetUp:
		p.addSetup(r)
	case record.KindOrder:
		if m := record.Move(r.Code); r.Text != "" && m != record.Try && m != record.Hold {
			addBounded(p.Reasons, r.Text, 1)
		}
	case record.KindTry:
		p.addAttempt(r)
	case record.KindTryEnd:
		addBounded(p.AttemptEnds, r.End, 1)
	case record.KindAnswer:
		p.addAnswer(r, ref)
	case record.KindRelease:
		p.addRelease(r)
	case record.KindServer:
		p.addServerUpdate(r, ref)
	case record.KindCeiling:
		p.addRateLimit(r, ref)
	case record.KindConfig:
		p.addConfig(r)
	case record.KindLimit:
		addBounded(p.Limits, r.By, r.Count)
	case record.KindClock:
		p.addClockReading(s, r)
	case record.KindTally:
		p.addCounter(r)
	}
	p.expireOpenCalls(r.At)
}

// isCounted tells whether a record isCounted: outside of From and To only what tells of the state of
// things does.
func (p *Part) isCounted(r *record.Record) bool {
	if (p.From == 0 || r.At >= p.From) && (p.To == 0 || r.At <= p.To) {
		return true
	}
	switch r.Kind {
	case record.KindSetUp, record.KindOrder, record.KindTry, record.KindTryEnd, record.KindAnswer, record.KindRelease, record.KindLimit, record.KindTally:
		return false
	}
	return true
}

// beginStart opens the account of another start.
func (p *Part) beginStart(h *record.Header, r *record.Record) {
	if n := len(p.Starts); n > 0 {
		p.endStart(n - 1)
		if n >= maxStarts { // a program that crashes in a loop
			s := &p.Starts[n-1]
			s.Boot, s.Clean, s.Stopping, s.Offset, s.hasWallClock = h.Boot, false, 0, Offset{}, false
			p.MergedStarts++
			return
		}
	}
	p.Starts = append(p.Starts, Start{Boot: h.Boot, Program: h.Program, From: r.At, To: r.At})
}

// endStart ends the account of a start that another follows: what it did not answer it never will.
func (p *Part) endStart(n int) {
	s := &p.Starts[n]
	why := ReasonKilled
	if s.Clean {
		why = ReasonUnknown
	}
	p.giveUpOpenCalls(why)
	p.closeOngoing(s.To)
	if !s.Clean {
		// What was still on its way to the disk is gone, and nobody knows how much that was.
		p.UnknownLosses++
		p.addGap(Gap{Cause: "killed", Since: s.To, Until: s.To})
	}
}

// closeOngoing closes what a start held for true.
func (p *Part) closeOngoing(at Time) {
	for _, i := range p.openOverloads {
		if p.OverloadPeriods[i].To == 0 {
			p.OverloadPeriods[i].To = at
		}
	}
	clear(p.openOverloads)
	clear(p.openDrains)
	clear(p.openColdStarts)
	clear(p.lastCounters)
}

// Close ends the account; the Part is ready for Combine.
func (p *Part) Close() {
	p.Unfinished = len(p.Starts) > 0 && !p.Starts[len(p.Starts)-1].Clean
	if n := len(p.Starts); n > 0 {
		why := ReasonRecordsEnd
		if p.Starts[n-1].Clean {
			why = ReasonUnknown
		}
		p.giveUpOpenCalls(why)
	}
}

func (p *Part) noteStart(r *record.Record) {
	if n := len(p.Starts); n < 2 && !r.Flag {
		// The start before this one is not in the records, but it did not end in good order.
		p.UnknownLosses++
	}
}

// giveUpOpenCalls ends the wait for all open calls.
func (p *Part) giveUpOpenCalls(why string) {
	for _, id := range p.openOrder {
		if o, ok := p.open[id]; ok {
			p.recordUnanswered(id, o, why)
		}
	}
	clear(p.open)
	p.openOrder = p.openOrder[:0]
}

func (p *Part) recordUnanswered(id string, o openCall, why string) {
	if p.lastGapEnd >= o.offeredAt {
		why = ReasonGap
	}
	p.NoAnswer[why]++
	if len(p.Unanswered) >= maxUnanswered {
		p.OmittedEntries++
		return
	}
	s := len(p.Starts) - 1
	p.Unanswered = append(p.Unanswered, UnansweredCall{Call: id, Class: o.class, At: o.offeredAt, Reason: why,
		Ref: Ref{p.Instance, fmt.Sprintf("%016x", p.Starts[s].Boot), o.seq}, startIndex: s})
}

// expireOpenCalls ends the wait for calls that are open for longer than any may be.
func (p *Part) expireOpenCalls(now Time) {
	limit := defaultAnswerTimeout
	if p.longestDeadline > 0 {
		limit = 2*p.longestDeadline + time.Second
	}
	for len(p.openOrder) > 0 {
		id := p.openOrder[0]
		o, ok := p.open[id]
		if ok && now-o.offeredAt < limit && len(p.open) < maxOpenCalls {
			return
		}
		p.openOrder = p.openOrder[1:]
		if ok {
			delete(p.open, id)
			p.recordUnanswered(id, o, ReasonUnknown)
		}
	}
}

// currentBin finds the currentBin of a time in the start at hand; all bins become wider when they are too
// many.
func (p *Part) currentBin(at Time) *bin { return p.binOfStart(len(p.Starts)-1, at) }

func (p *Part) binOfStart(start int, at Time) *bin {
	for {
		s := &p.Starts[start].series
		before := len(s.bins)
		b := s.get(floorDiv(int64(at), int64(p.binWidth)), maxBinsOfStart)
		if p.binCount += len(s.bins) - before; b != nil && p.binCount <= maxBins {
			return b
		}
		p.widenBins()
	}
}

func (p *Part) widenBins() {
	p.binWidth *= 2
	p.binCount = 0
	for i := range p.Starts {
		p.Starts[i].series.fold()
		p.binCount += len(p.Starts[i].series.bins)
	}
}

func (p *Part) addGap(g Gap) {
	g.startIndex = len(p.Starts) - 1
	p.lastGapEnd = g.Until
	if g.startIndex > 0 && g.Since < p.Starts[g.startIndex].From { // it began in the start before
		before := &p.Starts[g.startIndex-1]
		p.binOfStart(g.startIndex-1, before.To).hasGap = true
	}
	for at := max(g.Since, p.Starts[g.startIndex].From); ; at += p.binWidth {
		if p.currentBin(min(at, g.Until)).hasGap = true; at >= g.Until {
			break
		}
	}
	if len(p.Gaps) >= maxEvents {
		p.OmittedEntries++
		return
	}
	p.Gaps = append(p.Gaps, g)
}

func (p *Part) addSetup(r *record.Record) {
	p.Total.Offered++
	p.classes.get(r.Class).Offered++
	p.currentBin(r.At).Offered++
	if _, ok := p.open[r.Call]; !ok {
		p.openOrder = append(p.openOrder, r.Call)
	}
	p.open[r.Call] = openCall{class: r.Class, offeredAt: r.At, seq: r.Seq}
}

func (p *Part) addAttempt(r *record.Record) {
	b, k := p.currentBin(r.At), p.servers.get(r.Server)
	retried := uint64(0)
	if r.Attempt > 0 {
		retried = 1
	}
	name := UnknownClass
	if o, ok := p.open[r.Call]; ok {
		name = o.class
	}
	class := p.classes.get(name)
	for _, c := range [...]*Counts{&p.Total.Counts, &class.Counts, &k.Counts, &b.Counts} {
		c.Attempts++
		c.Retries += retried
	}
	if i, ok := p.openDrains[r.Server]; ok {
		d := &p.Drains[i]
		d.Sent++
		if d.LastSend = max(d.LastSend, r.At-d.At); r.At-d.At > drainGrace {
			d.SentLate++
		}
	}
	if i, ok := p.openColdStarts[r.Server]; ok {
		c := &p.ColdStarts[i]
		if age := r.At - c.Started; age < c.Period {
			c.Sent++
			c.SentByFifth[min(max(int(5*age/c.Period), 0), 4)]++
		} else {
			delete(p.openColdStarts, r.Server)
		}
	}
}

// UnknownClass is the class of attempts and answers whose set-up is not in the records.
const UnknownClass = "(set-up not recorded)"

func (p *Part) addAnswer(r *record.Record, ref Ref) {
	o, known := p.open[r.Call]
	if !known {
		p.AnswersWithoutSetup++
	} else {
		delete(p.open, r.Call)
	}
	outcome := min(int(r.Code), record.Outcomes-1)
	b, class := p.currentBin(r.At), p.classes.get(r.Class)
	counts := [4]*Counts{&p.Total.Counts, &class.Counts, &b.Counts}
	n := 3
	if outcome == int(record.Stood) && r.Server != "" {
		counts[n] = &p.servers.get(r.Server).Counts
		n++
	}
	aim, wanted := p.objectives[r.Class]
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
	p.Total.recordSetupTime(r.Took)
	class.recordSetupTime(r.Took)
	p.servers.get(r.Server).recordSetupTime(r.Took)
	b.setupTimeSum += r.Took
	b.maxSetupTime = max(b.maxSetupTime, r.Took)
	if n := len(p.Slowest); n < maxSlowest || r.Took > p.Slowest[n-1].SetupTime {
		at := r.At - r.Took
		if known {
			at = o.offeredAt
		}
		s := SlowSetup{Call: r.Call, Class: r.Class, Server: r.Server, At: at, SetupTime: r.Took, Attempts: r.Attempt, Ref: ref, startIndex: len(p.Starts) - 1}
		i, _ := slices.BinarySearchFunc(p.Slowest, s, compareSlowest)
		p.Slowest = slices.Insert(p.Slowest, i, s)
		p.Slowest = p.Slowest[:min(len(p.Slowest), maxSlowest)]
	}
}

// compareSlowest sorts the slowest first, and those that took as long by their place.
func compareSlowest(a, b SlowSetup) int {
	switch {
	case a.SetupTime > b.SetupTime:
		return -1
	case a.SetupTime < b.SetupTime:
		return 1
	case a.At != b.At:
		return int(min(max(a.At-b.At, -1), 1))
	}
	return strings.Compare(a.Ref.Instance+a.Call, b.Ref.Instance+b.Call)
}

func (p *Part) addRelease(r *record.Record) {
	cut := uint64(0)
	if r.End == "cut" || r.End == "exchange_lost" {
		cut = 1
	}
	for _, c := range [...]*Counts{&p.Total.Counts, &p.classes.get(r.Class).Counts, &p.servers.get(r.Server).Counts, &p.currentBin(r.At).Counts} {
		c.Released++
		c.Dropped += cut
	}
}

func (p *Part) addServerUpdate(r *record.Record, ref Ref) {
	start := len(p.Starts) - 1
	if record.Phase(r.Code) == record.Listed {
		delete(p.openDrains, r.Server)
		if _, there := p.openColdStarts[r.Server]; r.Flag && !there {
			if len(p.ColdStarts) >= maxEvents {
				p.OmittedEntries++
				return
			}
			p.openColdStarts[r.Server] = len(p.ColdStarts)
			p.ColdStarts = append(p.ColdStarts, ColdStart{Server: r.Server, Pool: r.Pool, Started: r.Since, NoticedAt: r.At, Period: p.slowStartPeriod, Ref: ref, startIndex: start})
		}
		return
	}
	if i, ok := p.openDrains[r.Server]; ok {
		p.Drains[i].Phase = record.Phase(r.Code).String() // the news began with the first
		return
	}
	if len(p.Drains) >= maxEvents {
		p.OmittedEntries++
		return
	}
	p.openDrains[r.Server] = len(p.Drains)
	p.Drains = append(p.Drains, Drain{Server: r.Server, Phase: record.Phase(r.Code).String(), At: r.At, Ref: ref, startIndex: start})
}

func (p *Part) addRateLimit(r *record.Record, ref Ref) {
	i, on := p.openOverloads[r.Server]
	switch none := math.IsInf(r.Value, 1); {
	case none && on:
		p.OverloadPeriods[i].To, p.OverloadPeriods[i].End = r.At, ref
		delete(p.openOverloads, r.Server)
	case none:
	case on:
		p.OverloadPeriods[i].MinRate = min(p.OverloadPeriods[i].MinRate, r.Value)
	case len(p.OverloadPeriods) >= maxEvents:
		p.OmittedEntries++
	default:
		p.openOverloads[r.Server] = len(p.OverloadPeriods)
		p.OverloadPeriods = append(p.OverloadPeriods, OverloadPeriod{Server: r.Server, From: r.At, MinRate: r.Value, Ref: ref, startIndex: len(p.Starts) - 1})
	}
}

func (p *Part) addConfig(r *record.Record) {
	switch {
	case r.By == "class" && len(p.objectives) < maxClasses:
		p.objectives[r.Class] = r.Wait
		p.longestDeadline = max(p.longestDeadline, r.Took)
	case r.By == "cold" && r.Wait > 0:
		p.slowStartPeriod = r.Wait
	}
}

func (p *Part) addClockReading(s *Start, r *record.Record) {
	if r.By != "" {
		s.Offset.addExchange(r.By, r.T)
		return
	}
	ahead := time.Duration(r.T[0] - r.T[1])
	if by := ahead - s.wallClockOffset; s.hasWallClock && len(s.Steps) < maxEvents {
		s.Steps = append(s.Steps, ClockStep{At: r.At, By: by})
	}
	s.wallClockOffset, s.hasWallClock = ahead, true
}

// addCounter sums the core's counters over starts; within one they only grow.
func (p *Part) addCounter(r *record.Record) {
	old := p.lastCounters[r.By]
	p.lastCounters[r.By] = r.Count
	addBounded(p.Tallies, r.By, r.Count-min(old, r.Count))
}

// sortedKeys are the keys of a map in order.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
