package incident

import "time"

// A bin holds the counts of one interval of one start of an instance.
type bin struct {
	Counts
	setupTimeSum time.Duration // of established calls
	maxSetupTime time.Duration
	hasGap       bool // records of that time are lost
}

func (b *bin) add(o *bin) {
	b.Counts.add(&o.Counts)
	b.setupTimeSum += o.setupTimeSum
	b.maxSetupTime = max(b.maxSetupTime, o.maxSetupTime)
	b.hasGap = b.hasGap || o.hasGap
}

// A series is a sequence of bins of equal width.
type series struct {
	first int64 // number of bins[0]: its time divided by the width
	bins  []bin
}

// get returns the bin with a number and creates it if necessary; nil if the series would grow beyond maxLength.
func (s *series) get(n int64, maxLength int) *bin {
	if len(s.bins) == 0 {
		s.first, s.bins = n, append(s.bins, bin{})
		return &s.bins[0]
	}
	if n < s.first {
		if s.first-n+int64(len(s.bins)) > int64(maxLength) {
			return nil
		}
		s.bins = append(make([]bin, s.first-n), s.bins...)
		s.first = n
	}
	if n-s.first >= int64(maxLength) {
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

// floorDiv divides and rounds down, also for negative numbers.
func floorDiv(a, b int64) int64 {
	if a%b < 0 {
		return a/b - 1
	}
	return a / b
}

// A timeline holds the width that the bins of all starts share, and the number of bins.
type timeline struct {
	width time.Duration
	bins  int
}

// currentBin returns the bin of a time in the current start.
func (p *Part) currentBin(at Time) *bin { return p.binOfStart(len(p.Starts)-1, at) }

// binOfStart returns the bin of a time in a start. It widens all bins when there are too many.
func (p *Part) binOfStart(start int, at Time) *bin {
	for {
		s := &p.Starts[start].series
		before := len(s.bins)
		b := s.get(floorDiv(int64(at), int64(p.timeline.width)), maxBinsOfStart)
		p.timeline.bins += len(s.bins) - before
		if b != nil && p.timeline.bins <= maxBins {
			return b
		}
		p.widenBins()
	}
}

// widenBins doubles the width of the bins of all starts.
func (p *Part) widenBins() {
	p.timeline.width *= 2
	p.timeline.bins = 0
	for i := range p.Starts {
		p.Starts[i].series.fold()
		p.timeline.bins += len(p.Starts[i].series.bins)
	}
}

// addGap adds a gap to the list and marks the bins that it overlaps.
func (p *Part) addGap(g Gap) {
	g.startIndex = len(p.Starts) - 1
	p.lastGapEnd = g.Until
	beganInStartBefore := g.startIndex > 0 && g.Since < p.currentStart().From
	if beganInStartBefore {
		p.binOfStart(g.startIndex-1, p.Starts[g.startIndex-1].To).hasGap = true
	}
	for at := max(g.Since, p.currentStart().From); ; at += p.timeline.width {
		p.currentBin(min(at, g.Until)).hasGap = true
		if at >= g.Until {
			break
		}
	}
	if len(p.Gaps) >= maxEvents {
		p.OmittedEntries++
		return
	}
	p.Gaps = append(p.Gaps, g)
}
