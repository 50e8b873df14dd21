package console

import (
	"math"
	"testing"
	"time"
)

func TestRates(t *testing.T) {
	var calculator rateCalculator
	at := time.Unix(1000, 0)
	offeredRate := func(offered uint64, starts int, elapsed time.Duration, hasGap bool) float64 {
		at = at.Add(elapsed)
		counts := Counts{Offered: offered, Attempts: offered, Established: offered}
		s := &Snapshot{Instances: []Instance{{Name: "n0", Seen: at, Starts: starts, HasGap: hasGap, Total: counts}}}
		calculator.apply(s)
		return s.Instances[0].Rates.Offered
	}
	if v := offeredRate(10, 1, 0, false); !math.IsNaN(v) {
		t.Errorf("the first snapshot: %v", v)
	}
	if v := offeredRate(30, 1, 2*time.Second, false); v != 10 {
		t.Errorf("20 in 2 s: %v", v)
	}
	if v := offeredRate(30, 1, 0, false); v != 10 {
		t.Errorf("no new data: %v", v)
	}
	if v := offeredRate(5, 2, time.Second, false); !math.IsNaN(v) {
		t.Errorf("after a restart: %v", v)
	}
	if v := offeredRate(15, 2, time.Second, true); !math.IsNaN(v) {
		t.Errorf("after a gap: %v", v)
	}
}
