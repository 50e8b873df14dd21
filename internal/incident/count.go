package incident

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"olivedale/internal/record"
)

// Counts are what is counted of calls, over all, a class, a server, an instance or a window.
// All of them are plain counts of records, so that anybody can check them.
type Counts struct {
	Offered  uint64                  `json:"offered"`  // set-ups taken
	Outcomes [record.Outcomes]uint64 `json:"-"`        // final answers
	Late     uint64                  `json:"late"`     // stood, but later than the class wants
	Dropped  uint64                  `json:"cut"`      // stood and ended by a fault
	Released uint64                  `json:"released"` // stood and ended, the cut ones included
	Attempts uint64                  `json:"tries"`    // attempts at servers
	Retries  uint64                  `json:"retried"`  // attempts beyond a call's first
}

// add sums up.
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

// Outcome is how many came to an outcome.
func (c *Counts) Outcome(o record.Outcome) uint64 { return c.Outcomes[o] }

// Established is how many calls stood.
func (c *Counts) Established() uint64 { return c.Outcomes[record.Stood] }

// Rejected is how many were refused, by the module or past a limit.
func (c *Counts) Rejected() uint64 {
	return c.Outcomes[record.Refused] + c.Outcomes[record.Crowded] + c.Outcomes[record.Stopped]
}

// Answered is how many came to any end.
func (c *Counts) Answered() (n uint64) {
	for _, v := range c.Outcomes {
		n += v
	}
	return n
}

// A Tally is Counts with how long calls took to stand.
type Tally struct {
	Counts
	setupTimes *hdrhistogram.Histogram
}

// Bounds of a histogram, in units of 10 µs: what is longer counts as the most.
const (
	histogramUnit     = 10 * time.Microsecond
	minHistogramValue = 1
	maxHistogramValue = int64(2 * time.Minute / histogramUnit)
	histogramDigits   = 2 // significant; a histogram takes some 16 KiB
)

func (t *Tally) recordSetupTime(took time.Duration) {
	if t.setupTimes == nil {
		t.setupTimes = hdrhistogram.New(minHistogramValue, maxHistogramValue, histogramDigits)
	}
	_ = t.setupTimes.RecordValue(min(max(int64(took/histogramUnit), minHistogramValue), maxHistogramValue)) // within its bounds, so never an error
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

// Percentile is the time within which a share (in percent) of the calls that stood did so,
// to about one percent; 0 where none stood.
func (t *Tally) Percentile(p float64) time.Duration {
	if t.setupTimes == nil {
		return 0
	}
	return time.Duration(t.setupTimes.ValueAtQuantile(p)) * histogramUnit
}

// boundedTallies are Tallies by name, so many at the most: what comes after shares one.
type boundedTallies struct {
	maxNames int
	byName   map[string]*Tally
}

// Other is where names past the bound are counted.
const Other = "(others)"

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

// A bin is what happened in one stretch of time of one start of an instance.
type bin struct {
	Counts
	setupTimeSum time.Duration // sum over those that stood
	maxSetupTime time.Duration
	hasGap       bool // records of that time are lost
}

func (b *bin) add(o *bin) {
	b.Counts.add(&o.Counts)
	b.setupTimeSum += o.setupTimeSum
	b.maxSetupTime = max(b.maxSetupTime, o.maxSetupTime)
	b.hasGap = b.hasGap || o.hasGap
}

// A series is bins of one width from a first on.
type series struct {
	first int64 // number of bins[0]: since 1970, or since the start it belongs to
	bins  []bin
}

// get finds or makes the bin of a number; nil if the series would become too long.
func (s *series) get(n int64, most int) *bin {
	if len(s.bins) == 0 {
		s.first, s.bins = n, append(s.bins, bin{})
		return &s.bins[0]
	}
	if n < s.first {
		if s.first-n+int64(len(s.bins)) > int64(most) {
			return nil
		}
		s.bins = append(make([]bin, s.first-n), s.bins...)
		s.first = n
	}
	if n-s.first >= int64(most) {
		return nil
	}
	for int64(len(s.bins)) <= n-s.first {
		s.bins = append(s.bins, bin{})
	}
	return &s.bins[n-s.first]
}

// fold doubles the width of all bins.
func (s *series) fold() {
	if len(s.bins) == 0 {
		return
	}
	old := *s
	*s = series{}
	for i := range old.bins {
		s.get(floorDiv(old.first+int64(i), 2), len(old.bins)+1).add(&old.bins[i])
	}
}

func floorDiv(a, b int64) int64 {
	if q := a / b; a%b < 0 {
		return q - 1
	} else {
		return q
	}
}
