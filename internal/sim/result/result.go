// Package result counts what callers got in a run, and says it in figures that runs can be compared
// by. Its service is counted as the operators count theirs; the figures of the two are not the same,
// since exchanges and callers are this project's own.
package result

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"olivedale/internal/sim/exchange"
	"olivedale/internal/sim/invariant"
	"olivedale/internal/sim/scenario"
)

// A Time is the time since the start of the run.
type Time = time.Duration

// A Call is what became of one caller's call, with all tries. Its fields are the Tally's.
type Call struct {
	class  int
	node   int
	bin    int
	earned float64
}

// A bin is a second of the run, by when calls were offered first.
type bin struct{ offered, earned float64 }

// A Tally counts a run. It is for one goroutine.
type Tally struct {
	sc      *scenario.Scenario
	bins    []bin
	classes []Class
	nodes   []bin
	took    *hdrhistogram.Histogram
	faults  []Recovery
	r       Result
	second  float64
}

// A Class is what calls of one kind got.
type Class struct {
	Name    string  `json:"name"`
	Offered int     `json:"offered"`
	InTime  int     `json:"in_time"`
	Late    int     `json:"late"`
	Cut     int     `json:"cut"`
	Service float64 `json:"service"`
}

// A Recovery is how long after a fault calls were served as before it again.
type Recovery struct {
	Fault   string  `json:"fault"`
	At      float64 `json:"at_s"`
	Lowest  float64 `json:"lowest"`    // service of the worst second from then on
	Took    float64 `json:"took_s"`    // until service was back at nearly what it was; -1: not within the run
	Noticed float64 `json:"noticed_s"` // until service first fell; -1: it did not
}

// Exchanges is what all exchanges counted.
type Exchanges struct {
	exchange.Counters
	WorkSeconds   float64 `json:"work_s"`
	WastedSeconds float64 `json:"wasted_s"`
}

// Add adds an exchange's.
func (e *Exchanges) Add(c *exchange.Counters) {
	e.SetUps += c.SetUps
	e.Repeats += c.Repeats
	e.Rejected += c.Rejected
	e.NoLines += c.NoLines
	e.GivenUp += c.GivenUp
	e.Stood += c.Stood
	e.Ended += c.Ended
	e.Cut += c.Cut
	e.Work += c.Work
	e.Wasted += c.Wasted
	e.Waited += c.Waited
	e.Served += c.Served
	e.WorkSeconds, e.WastedSeconds = e.Work.Seconds(), e.Wasted.Seconds()
}

// Cold is what a cold exchange was sent, second by second, over what it could do.
type Cold struct {
	Exchange string    `json:"exchange"`
	Born     float64   `json:"born_s"`
	Fell     bool      `json:"fell"`
	Sends    []float64 `json:"sends"`
}

// A Result is a run's.
type Result struct {
	Scenario string  `json:"scenario"`
	Seed     uint64  `json:"seed"`
	Length   float64 `json:"length_s"`

	Score      float64 `json:"score"`       // Service less the deductions, of a mix of whole, worst and class
	Service    float64 `json:"service"`     // worth of calls that stood in time and were not cut, over that offered
	Worst      float64 `json:"worst_10s"`   // the same of the worst 10 s
	WorstClass float64 `json:"worst_class"` // the same of the worst class
	Second     float64 `json:"second"`      // share of calls that stood at another than their first choice
	Waste      float64 `json:"waste"`       // processors' work on what did not stand, over that on what did
	Fairness   float64 `json:"fairness"`    // Jain's index of the controllers' service

	Offered int `json:"offered"`
	Tries   int `json:"tries"`
	Sends   int `json:"sends"` // set-ups to exchanges
	Stood   int `json:"stood"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	GaveUp  int `json:"gave_up"`
	Cut     int `json:"cut"`

	Datagrams int `json:"datagrams,omitempty"` // between controllers, by who was meant
	Told      int `json:"told_bytes,omitempty"`

	P50 float64 `json:"setup_p50_ms"`
	P95 float64 `json:"setup_p95_ms"`
	P99 float64 `json:"setup_p99_ms"`

	Classes    []Class             `json:"classes"`
	Seconds    []float64           `json:"seconds"` // service of each second, -1: nothing was offered
	Recoveries []Recovery          `json:"recoveries,omitempty"`
	Exchanges  Exchanges           `json:"exchanges"`
	Cold       []Cold              `json:"cold,omitempty"`
	Broken     map[string]int      `json:"broken,omitempty"`
	Breaches   []*invariant.Breach `json:"-"`
	Events     uint64              `json:"events"`
}

// NewTally counts a scenario's run.
func NewTally(sc *scenario.Scenario) *Tally {
	t := &Tally{sc: sc, nodes: make([]bin, sc.Fleet.Controllers), took: hdrhistogram.New(10, 100_000_000, 3)}
	for _, k := range sc.Class {
		t.classes = append(t.classes, Class{Name: k.Name})
	}
	return t
}

func (t *Tally) bin(at Time) int {
	i := int(at / time.Second)
	for len(t.bins) <= i {
		t.bins = append(t.bins, bin{})
	}
	return i
}

// Offered takes a call of a class, which comes to a controller first.
func (t *Tally) Offered(at Time, class, node int) *Call {
	c := &Call{class: class, node: node, bin: t.bin(at)}
	worth := t.sc.Class[class].Worth
	t.r.Offered++
	t.classes[class].Offered++
	t.bins[c.bin].offered += worth
	t.nodes[node].offered += worth
	return c
}

// Try takes a set-up of a caller to a controller.
func (t *Tally) Try() { t.r.Tries++ }

// Told takes a datagram of a controller to another.
func (t *Tally) Told(bytes int) {
	t.r.Datagrams++
	t.r.Told += bytes
}

// Sent takes a set-up of a controller to an exchange.
func (t *Tally) Sent() { t.r.Sends++ }

// Refused takes a caller's news that the call does not stand.
func (t *Tally) Refused(refused bool) {
	if refused {
		t.r.Refused++
	} else {
		t.r.Failed++
	}
}

// GaveUp takes that a caller gave a try up.
func (t *Tally) GaveUp() { t.r.GaveUp++ }

// Stood takes that a call stands, so long after its caller first asked, at the exchange of its first
// choice or at another.
func (t *Tally) Stood(c *Call, took time.Duration, second bool) {
	k := &t.sc.Class[c.class]
	t.r.Stood++
	_ = t.took.RecordValue(max(took.Microseconds(), 1))
	if second {
		t.second++
	}
	if c.earned = k.Worth; took <= k.Aim.D() {
		t.classes[c.class].InTime++
	} else {
		c.earned *= k.Late
		t.classes[c.class].Late++
	}
	t.bins[c.bin].earned += c.earned
	t.nodes[c.node].earned += c.earned
}

// Cut takes that a call that stood was cut: it has earned nothing.
func (t *Tally) Cut(c *Call) {
	t.r.Cut++
	t.classes[c.class].Cut++
	t.bins[c.bin].earned -= c.earned
	t.nodes[c.node].earned -= c.earned
	if c.earned == t.sc.Class[c.class].Worth {
		t.classes[c.class].InTime--
	} else {
		t.classes[c.class].Late--
	}
	c.earned = 0
}

// Fault takes that something goes wrong.
func (t *Tally) Fault(at Time, f scenario.Fault) {
	t.faults = append(t.faults, Recovery{Fault: f.String(), At: at.Seconds()})
}

func over(a, b float64) float64 {
	if b <= 0 {
		return 1
	}
	return a / b
}

// Result is what came of it all.
func (t *Tally) Result(length Time) *Result {
	r := &t.r
	r.Length = length.Seconds()
	var all bin
	for _, b := range t.bins {
		all.offered += b.offered
		all.earned += b.earned
		if b.offered > 0 {
			r.Seconds = append(r.Seconds, over(b.earned, b.offered))
		} else {
			r.Seconds = append(r.Seconds, -1)
		}
	}
	r.Service, r.Worst, r.WorstClass = over(all.earned, all.offered), t.worst(10), 1
	for i := range t.classes {
		k := &t.classes[i]
		late := t.sc.Class[i].Late
		k.Service = over(float64(k.InTime)+late*float64(k.Late), float64(k.Offered))
		r.WorstClass = min(r.WorstClass, k.Service)
	}
	r.Classes = t.classes
	r.Second = over(t.second, float64(r.Stood))
	if r.Stood == 0 {
		r.Second = 0
	}
	r.Fairness = t.jain()
	r.P50, r.P95, r.P99 = float64(t.took.ValueAtQuantile(50))/1000, float64(t.took.ValueAtQuantile(95))/1000, float64(t.took.ValueAtQuantile(99))/1000
	for i := range t.faults {
		t.recover(&t.faults[i])
	}
	r.Recoveries = t.faults
	return r
}

// Finish adds the deductions, which need the exchanges' accounts.
func (r *Result) Finish() {
	if good := r.Exchanges.Work - r.Exchanges.Wasted; good > 0 {
		r.Waste = float64(r.Exchanges.Wasted) / float64(good)
	}
	r.Score = 0.5*r.Service + 0.15*r.Worst + 0.35*r.WorstClass - 0.05*r.Second - 0.019*min(r.Waste, 1)
}

// worst is the service of the worst so many seconds on end.
func (t *Tally) worst(width int) float64 {
	least := 1.0
	for i := 0; i+width <= len(t.bins); i++ {
		var b bin
		for _, x := range t.bins[i : i+width] {
			b.offered += x.offered
			b.earned += x.earned
		}
		least = min(least, over(b.earned, b.offered))
	}
	return least
}

// jain is Jain's index of the controllers' service: 1 where all serve alike (Jain, Chiu and Hawe, 1984).
func (t *Tally) jain() float64 {
	var sum, squares, n float64
	for _, b := range t.nodes {
		if b.offered > 0 {
			v := over(b.earned, b.offered)
			sum, squares, n = sum+v, squares+v*v, n+1
		}
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (n * squares)
}

// recover finds in the seconds when service fell after a fault, and when three seconds on end were
// within a twentieth of the ten before it again.
func (t *Tally) recover(f *Recovery) {
	from := int(f.At)
	mean := func(a, b int) float64 {
		var sum bin
		for _, x := range t.bins[max(a, 0):min(max(b, 0), len(t.bins))] {
			sum.offered += x.offered
			sum.earned += x.earned
		}
		return over(sum.earned, sum.offered)
	}
	before := mean(from-10, from)
	f.Lowest, f.Took, f.Noticed = 1, -1, -1
	for i := from; i < len(t.bins); i++ {
		if t.bins[i].offered > 0 {
			f.Lowest = min(f.Lowest, over(t.bins[i].earned, t.bins[i].offered))
		}
		if f.Noticed < 0 && mean(i, i+1) < before-0.05 {
			f.Noticed = float64(i - from)
		}
		if f.Noticed >= 0 && f.Took < 0 && float64(i-from) > f.Noticed && i+3 <= len(t.bins) && mean(i, i+3) >= before-0.05 {
			f.Took = float64(i - from)
		}
	}
	if f.Noticed < 0 {
		f.Took = 0
	}
}

// Breached counts how often rules were broken.
func (r *Result) Breached() (n int) {
	for _, times := range r.Broken {
		n += times
	}
	return n
}

// WriteJSON writes it as one object.
func (r *Result) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	if err := enc.Encode(r); err != nil {
		return fmt.Errorf("result: %w", err)
	}
	return nil
}

// A Figure is a number of a result that experiments are about.
type Figure struct {
	Name string
	Of   func(*Result) float64
	Less bool // less is better
}

// Figures are those that results are compared by.
var Figures = []Figure{
	{"score", func(r *Result) float64 { return r.Score }, false},
	{"service", func(r *Result) float64 { return r.Service }, false},
	{"worst_10s", func(r *Result) float64 { return r.Worst }, false},
	{"worst_class", func(r *Result) float64 { return r.WorstClass }, false},
	{"refused", func(r *Result) float64 { return perCall(r.Refused, r.Offered) }, true},
	{"failed", func(r *Result) float64 { return perCall(r.Failed, r.Offered) }, true},
	{"sends", func(r *Result) float64 { return perCall(r.Sends, r.Offered) }, true},
	{"waste", func(r *Result) float64 { return r.Waste }, true},
	{"second", func(r *Result) float64 { return r.Second }, true},
	{"setup_p50_ms", func(r *Result) float64 { return r.P50 }, true},
	{"setup_p99_ms", func(r *Result) float64 { return r.P99 }, true},
	{"fairness", func(r *Result) float64 { return r.Fairness }, false},
	{"cold_sends", func(r *Result) float64 { return r.ColdSends() }, true},
}

// FigureNamed finds one.
func FigureNamed(name string) (Figure, error) {
	i := slices.IndexFunc(Figures, func(f Figure) bool { return f.Name == name })
	if i < 0 {
		return Figure{}, fmt.Errorf("no figure is named %q", name)
	}
	return Figures[i], nil
}

func perCall(n, calls int) float64 {
	if calls == 0 {
		return 0
	}
	return float64(n) / float64(calls)
}

// ColdSends is the most that any cold exchange was sent in a second, over what it could do.
func (r *Result) ColdSends() float64 {
	most := 0.0
	for _, c := range r.Cold {
		for _, v := range c.Sends {
			most = math.Max(most, v)
		}
	}
	return most
}
