package admission

import "testing"

// A counter covers the current period and fewer full periods than its limit, also after the ring buffer wraps.
func TestSlidingCounter(t *testing.T) {
	const limit = 4
	var counter slidingCounter
	for period := range 3 * maxWindowPeriods {
		for range period % 3 {
			counter.add()
		}
		want := 0
		for covered := max(0, period-limit+1); covered <= period; covered++ {
			want += covered % 3
		}
		if counter.sum != want {
			t.Fatalf("period %d: the counter holds %d events, want %d", period, counter.sum, want)
		}
		counter.roll(limit)
	}
}

// A shorter limit immediately drops the oldest periods.
func TestSlidingCounterShortens(t *testing.T) {
	var counter slidingCounter
	for range 10 {
		counter.add()
		counter.roll(100)
	}
	counter.roll(3)
	if counter.sum != 1 || counter.periods != 2 {
		t.Errorf("%d events in %d full periods, want 1 in 2", counter.sum, counter.periods)
	}
}
