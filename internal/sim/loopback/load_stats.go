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

// LoadStats holds the outcomes of the calls of a LoadGenerator.
type LoadStats struct {
	Sent        int
	NotSent     int // scheduled but not sent, because of MaxOpen or Pause
	Established int
	Rejected    int // rejected with cause 34, no circuit available
	Failed      int // ended for another reason before they were established
	Abandoned   int // no final answer within CallerTimeout
	Lost        int // their connection failed or closed before the final answer
	Released    int // ended normally after they were established
	Dropped     int // ended for another reason after they were established
	// SetUpTimes is the histogram of set-up times, in microseconds.
	SetUpTimes *hdrhistogram.Histogram
}

// NewLoadStats returns empty statistics.
func NewLoadStats() LoadStats {
	return LoadStats{SetUpTimes: hdrhistogram.New(1, maxRecordedTime.Microseconds(), histogramSignificance)}
}

// Add adds other statistics.
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
	s.SetUpTimes.Merge(o.SetUpTimes)
}

// Stats returns the statistics of all addresses so far.
func (l *LoadGenerator) Stats() LoadStats {
	all := NewLoadStats()
	for i := range l.Addrs {
		all.Add(l.StatsOf(i))
	}
	return all
}

// StatsOf returns the statistics of an address so far.
func (l *LoadGenerator) StatsOf(address int) LoadStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	if address >= len(l.stats) {
		return NewLoadStats()
	}
	s := l.stats[address]
	s.SetUpTimes = hdrhistogram.Import(s.SetUpTimes.Export())
	return s
}
