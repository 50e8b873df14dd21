package incident

import (
	"slices"
	"time"
)

// buildWindows merges the bins of all starts into the windows of one time line. A bin is moved as a whole by the middle
// of its start's clock offset: counts are never split, and their position is accurate to one width.
func (r *Report) buildWindows(parts []*Part) {
	median, ok := r.medianStart()
	if !ok {
		return
	}
	for _, p := range parts {
		for p.timeline.width < r.Width {
			p.widenBins()
		}
	}
	for {
		line := series{}
		sources := make(map[int64]int)
		if r.placeBins(parts, median, &line, sources) {
			for i := range line.bins {
				n := line.first + int64(i)
				r.addWindow(&line.bins[i], Time(n)*r.Width, sources[n])
			}
			return
		}
		for _, p := range parts {
			p.widenBins()
		}
		r.Width *= 2
	}
}

// medianStart returns the median time at which the starts began; ok is false if there are none.
func (r *Report) medianStart() (median Time, ok bool) {
	var all []Time
	for _, i := range r.Instances {
		for _, s := range i.Starts {
			all = append(all, s.From.Mid())
		}
	}
	if len(all) == 0 {
		return 0, false
	}
	slices.Sort(all)
	return all[len(all)/2], true
}

// placeBins adds the bins of all starts to a time line and counts the starts by bin. It returns false if the line
// would become too long.
func (r *Report) placeBins(parts []*Part, median Time, line *series, sources map[int64]int) bool {
	r.Truncated = false
	for n, p := range parts {
		for k := range p.Starts {
			s := &p.Starts[k]
			from := s.Offset.moment(0, s.From).Mid()
			if from-median > maxClockDistance || median-from > maxClockDistance {
				r.Truncated = true // a clock that is years off must not stretch the time line
				continue
			}
			if !r.placeStart(s, line, sources) {
				return false
			}
			if r.From == 0 || from < r.From {
				r.From = from
			}
			r.To = max(r.To, r.moment(n, k, s.To).Mid())
		}
	}
	return true
}

// placeStart adds the bins of one start to a time line. It returns false if the line would become too long.
func (r *Report) placeStart(s *Start, line *series, sources map[int64]int) bool {
	for i := range s.series.bins {
		own := Time(s.series.first+int64(i)) * r.Width
		middle := own + r.Width/2
		n := floorDiv(int64(middle-s.Offset.at(own).Mid()), int64(r.Width))
		b := line.get(n, maxWindows)
		if b == nil {
			return false
		}
		b.add(&s.series.bins[i])
		sources[n]++
	}
	return true
}

func (r *Report) addWindow(b *bin, at Time, sources int) {
	w := Window{At: at, Gap: b.hasGap, Sources: sources, Counts: b.Counts, MaxSetupTime: b.maxSetupTime}
	if n := b.Established(); n > 0 {
		w.MeanSetupTime = b.setupTimeSum / time.Duration(n)
	}
	r.Windows = append(r.Windows, w)
}

// sumWithin sums the windows that overlap an interval; incomplete reports whether records of one of them are lost.
func (r *Report) sumWithin(from, to Time) (sum Counts, incomplete bool) {
	for i := range r.Windows {
		w := &r.Windows[i]
		if w.At+r.Width > from && w.At <= to {
			sum.add(&w.Counts)
			incomplete = incomplete || w.Gap
		}
	}
	return sum, incomplete
}
