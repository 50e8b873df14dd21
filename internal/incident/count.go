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
	Cut      uint64                  `json:"cut"`      // stood and ended by a fault
	Released uint64                  `json:"released"` // stood and ended, the cut ones included
	Tries    uint64                  `json:"tries"`    // attempts at servers
	Retried  uint64                  `json:"retried"`  // attempts beyond a call's first
}

// add sums up.
func (c *Counts) add(o *Counts) {
	c.Offered += o.Offered
	for i, n := range o.Outcomes {
		c.Outcomes[i] += n
	}
	c.Late += o.Late
	c.Cut += o.Cut
	c.Released += o.Released
	c.Tries += o.Tries
	c.Retried += o.Retried
}

// Of is how many came to an outcome.
func (c *Counts) Of(o record.Outcome) uint64 { return c.Outcomes[o] }

// Stood is how many calls stood.
func (c *Counts) Stood() uint64 { return c.Outcomes[record.Stood] }

// TurnedAway is how many were refused, by the module or past a limit.
func (c *Counts) TurnedAway() uint64 {
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
	took *hdrhistogram.Histogram
}

// Bounds of a histogram, in units of 10 µs: what is longer counts as the most.
const (
	unit     = 10 * time.Microsecond
	leastHDR = 1
	mostHDR  = int64(2 * time.Minute / unit)
	digits   = 2 // significant; a histogram takes some 16 KiB
)

func (t *Tally) stood(took time.Duration) {
	if t.took == nil {
		t.took = hdrhistogram.New(leastHDR, mostHDR, digits)
	}
	_ = t.took.RecordValue(min(max(int64(took/unit), leastHDR), mostHDR)) // within its bounds, so never an error
}

func (t *Tally) merge(o *Tally) {
	t.add(&o.Counts)
	if o.took == nil {
		return
	}
	if t.took == nil {
		t.took = hdrhistogram.New(leastHDR, mostHDR, digits)
	}
	t.took.Merge(o.took)
}

// Percentile is the time within which a share (in percent) of the calls that stood did so,
// to about one percent; 0 where none stood.
func (t *Tally) Percentile(p float64) time.Duration {
	if t.took == nil {
		return 0
	}
	return time.Duration(t.took.ValueAtQuantile(p)) * unit
}

// tallies are Tallies by name, so many at the most: what comes after shares one.
type tallies struct {
	most int
	by   map[string]*Tally
}

// Other is where names past the bound are counted.
const Other = "(others)"

func (t *tallies) of(name string) *Tally {
	if k := t.by[name]; k != nil {
		return k
	}
	if t.by == nil {
		t.by = make(map[string]*Tally)
	}
	if len(t.by) >= t.most {
		if name = Other; t.by[name] != nil {
			return t.by[name]
		}
	}
	k := &Tally{}
	t.by[name] = k
	return k
}

func (t *tallies) merge(o *tallies) {
	for _, name := range sorted(o.by) {
		t.of(name).merge(o.by[name])
	}
}

// A bin is what happened in one stretch of time of one start of an instance.
type bin struct {
	Counts
	took time.Duration // sum over those that stood
	most time.Duration
	gap  bool // records of that time are lost
}

func (b *bin) add(o *bin) {
	b.Counts.add(&o.Counts)
	b.took += o.took
	b.most = max(b.most, o.most)
	b.gap = b.gap || o.gap
}

// A series is bins of one width from a first on.
type series struct {
	first int64 // number of bins[0]: since 1970, or since the start it belongs to
	bins  []bin
}

// at finds or makes the bin of a number; nil if the series would become too long.
func (s *series) at(n int64, most int) *bin {
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
		s.at(floorDiv(old.first+int64(i), 2), len(old.bins)+1).add(&old.bins[i])
	}
}

func floorDiv(a, b int64) int64 {
	if q := a / b; a%b < 0 {
		return q - 1
	} else {
		return q
	}
}
