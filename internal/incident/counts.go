package incident

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"olivedale/internal/record"
)

// Counts are the counts of a group of calls: of all, or of a class, a server, an instance or a window. Each is a plain
// count of records, so that it can be verified by counting. The JSON keys are a public interface and keep the older
// terms.
type Counts struct {
	Offered  uint64                      `json:"offered"`  // calls offered
	Outcomes [record.OutcomeCount]uint64 `json:"-"`        // final answers
	Late     uint64                      `json:"late"`     // established after more than their latency objective
	Dropped  uint64                      `json:"cut"`      // established and ended by a fault
	Released uint64                      `json:"released"` // established and ended, the dropped ones included
	Attempts uint64                      `json:"tries"`    // attempts at servers
	Retries  uint64                      `json:"retried"`  // attempts after a call's first
}

// add adds other counts.
func (c *Counts) add(o *Counts) {
	c.Offered += o.Offered
	for i, n := range o.Outcomes {
		c.Outcomes[i] += n
	}
	c.Late += o.Late
	c.Dropped += o.Dropped
	c.Released += o.Released
	c.Attempts += o.Attempts
	c.Retries += o.Retries
}

// Outcome returns the number of calls with an outcome.
func (c *Counts) Outcome(o record.Outcome) uint64 { return c.Outcomes[o] }

// Established returns the number of calls that were established.
func (c *Counts) Established() uint64 { return c.Outcomes[record.OutcomeEstablished] }

// Rejected returns the number of calls that were rejected by the decision module, over a limit or at shutdown.
func (c *Counts) Rejected() uint64 {
	return c.Outcomes[record.OutcomeRejected] + c.Outcomes[record.OutcomeOverLimit] +
		c.Outcomes[record.OutcomeShuttingDown]
}

// Answered returns the number of calls with any outcome.
func (c *Counts) Answered() (n uint64) {
	for _, v := range c.Outcomes {
		n += v
	}
	return n
}

// A Tally is Counts with the distribution of set-up times.
type Tally struct {
	Counts
	setupTimes *hdrhistogram.Histogram
}

// Bounds of a histogram, in units of 10 µs. Longer times count as the maximum.
const (
	histogramUnit     = 10 * time.Microsecond
	minHistogramValue = 1
	maxHistogramValue = int64(2 * time.Minute / histogramUnit)
	histogramDigits   = 2 // significant decimal digits; a histogram takes about 16 KiB
)

func (t *Tally) recordSetupTime(took time.Duration) {
	if t.setupTimes == nil {
		t.setupTimes = hdrhistogram.New(minHistogramValue, maxHistogramValue, histogramDigits)
	}
	value := min(max(int64(took/histogramUnit), minHistogramValue), maxHistogramValue)
	_ = t.setupTimes.RecordValue(value) // within the bounds it returns no error
}

func (t *Tally) merge(o *Tally) {
	t.add(&o.Counts)
	if o.setupTimes == nil {
		return
	}
	if t.setupTimes == nil {
		t.setupTimes = hdrhistogram.New(minHistogramValue, maxHistogramValue, histogramDigits)
	}
	t.setupTimes.Merge(o.setupTimes)
}

// Percentile returns the set-up time that p percent of the established calls did not exceed, to about one percent; 0 if
// none was established.
func (t *Tally) Percentile(p float64) time.Duration {
	if t.setupTimes == nil {
		return 0
	}
	return time.Duration(t.setupTimes.ValueAtQuantile(p)) * histogramUnit
}

// boundedTallies holds up to maxNames Tallies by name. Further names share one Tally under Other.
type boundedTallies struct {
	maxNames int
	byName   map[string]*Tally
}

func (t *boundedTallies) get(name string) *Tally {
	if k := t.byName[name]; k != nil {
		return k
	}
	if t.byName == nil {
		t.byName = make(map[string]*Tally)
	}
	if len(t.byName) >= t.maxNames {
		if name = Other; t.byName[name] != nil {
			return t.byName[name]
		}
	}
	k := &Tally{}
	t.byName[name] = k
	return k
}

func (t *boundedTallies) merge(o *boundedTallies) {
	for _, name := range sortedKeys(o.byName) {
		t.get(name).merge(o.byName[name])
	}
}

// sorted returns the tallies in the order of their names.
func (t *boundedTallies) sorted() (all []NamedTally) {
	for _, name := range sortedKeys(t.byName) {
		all = append(all, NamedTally{name, t.byName[name]})
	}
	return all
}
