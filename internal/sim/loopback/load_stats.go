package loopback

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histogram of set-up times.
const (
	maxRecordedTime       = 2 * time.Minute
	histogramSignificance = 3 // decimal digits
)

// LoadStats are what callers got.
type LoadStats struct {
	Sent        int
	NotSent     int // calls that were due and not sent
	Established int // established
	Rejected    int // rejected for want of circuits
	Failed      int // ended otherwise before they were established
	Abandoned   int // abandoned by the caller
	Lost        int // lost with their connection
	Released    int // ended normally
	Dropped     int // ended otherwise after they were established
	// Took has the times until calls were established, in microseconds.
	Took *hdrhistogram.Histogram
}

// NewLoadStats returns stats without calls.
func NewLoadStats() LoadStats {
	return LoadStats{Took: hdrhistogram.New(1, maxRecordedTime.Microseconds(), histogramSignificance)}
}

// Add adds what other callers got.
func (s *LoadStats) Add(o LoadStats) {
	s.Sent += o.Sent
	s.NotSent += o.NotSent
	s.Established += o.Established
	s.Rejected += o.Rejected
	s.Failed += o.Failed
	s.Abandoned += o.Abandoned
	s.Lost += o.Lost
	s.Released += o.Released
	s.Dropped += o.Dropped
	s.Took.Merge(o.Took)
}

// Stats returns what callers of all addresses got until now.
func (l *Load) Stats() LoadStats {
	all := NewLoadStats()
	for i := range l.Addrs {
		all.Add(l.StatsOf(i))
	}
	return all
}

// StatsOf returns what callers of one address got until now.
func (l *Load) StatsOf(address int) LoadStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	if address >= len(l.stats) {
		return NewLoadStats()
	}
	s := l.stats[address]
	s.Took = hdrhistogram.Import(s.Took.Export())
	return s
}
