package result

import (
	"errors"
	"math"
	"testing"
	"time"

	"olivedale/internal/sim/scenario"
)

func oneClass() *scenario.Scenario {
	sc := scenario.Default()
	sc.Class = []scenario.Class{{
		Name: "a", Share: 1, Holding: scenario.Duration(time.Second), LatencyObjective: scenario.Duration(time.Second),
		Deadline: scenario.Duration(9 * time.Second), Weight: 2, LateShare: 0.25,
	}}
	sc.Fleet.Controllers = 2
	return &sc
}

// A call earns its weight if it is established in time, a share of it if late, and nothing if it is dropped.
func TestService(t *testing.T) {
	tally := NewTally(oneClass())
	inTime := tally.Offered(0, 0, 0)
	late := tally.Offered(0, 0, 0)
	dropped := tally.Offered(time.Second, 0, 1)
	tally.Offered(time.Second, 0, 1) // never established
	tally.Established(inTime, 500*time.Millisecond, false)
	tally.Established(late, 2*time.Second, true)
	tally.Established(dropped, 500*time.Millisecond, false)
	tally.Dropped(dropped)
	r := tally.Result(2 * time.Second)
	if want := (1 + 0.25) / 4; r.Service != want || r.WorstClass != want {
		t.Errorf("service %v, worst class %v, want %v", r.Service, r.WorstClass, want)
	}
	if want := (Class{Name: "a", Offered: 4, InTime: 1, Late: 1, Dropped: 1, Service: r.Service}); r.Classes[0] != want {
		t.Errorf("class %+v, want %+v", r.Classes[0], want)
	}
	if r.NonPreferredShare != 1.0/3 || r.Established != 3 || r.Dropped != 1 {
		t.Errorf("%v outside of the preferred pool, %d established, %d dropped", r.NonPreferredShare, r.Established, r.Dropped)
	}
	if len(r.Seconds) != 2 || r.Seconds[0] != 0.625 || r.Seconds[1] != 0 {
		t.Errorf("seconds %v", r.Seconds)
	}
	if r.Fairness != 0.5 { // one of two controllers provides all of the service
		t.Errorf("fairness %v, want 0.5", r.Fairness)
	}
}

func TestWorst(t *testing.T) {
	seconds := []service{{offered: 1, earned: 1}, {offered: 1}, {offered: 1}, {offered: 1, earned: 1}}
	for window, want := range map[int]float64{1: 0, 2: 0, 3: 1.0 / 3, 4: 0.5, 5: 1} {
		if got := worst(seconds, window); math.Abs(got-want) > 1e-12 {
			t.Errorf("window of %d: %v, want %v", window, got, want)
		}
	}
}

// The recovery time counts from the fault to the first of three seconds that are near the baseline.
func TestRecovery(t *testing.T) {
	secondsOf := func(ratios ...float64) []service {
		var seconds []service
		for _, ratio := range ratios {
			seconds = append(seconds, service{offered: 1, earned: ratio})
		}
		return seconds
	}
	for name, c := range map[string]struct {
		seconds []service
		want    Recovery
	}{
		"recovers": {secondsOf(1, 1, 1, 0.5, 1, 0.9, 1, 1, 1), Recovery{At: 2, Lowest: 0.5, TimeToRecover: 2, TimeToDegrade: 1}},
		"stays":    {secondsOf(1, 1, 0.5, 0.5, 0.5), Recovery{At: 2, Lowest: 0.5, TimeToRecover: notReached, TimeToDegrade: 0}},
		"no fall":  {secondsOf(1, 1, 0.96, 1), Recovery{At: 2, Lowest: 0.96, TimeToRecover: 0, TimeToDegrade: notReached}},
	} {
		t.Run(name, func(t *testing.T) {
			r := Recovery{At: 2}
			if r.measure(c.seconds); r != c.want {
				t.Errorf("%+v, want %+v", r, c.want)
			}
		})
	}
}

func TestFigureNamed(t *testing.T) {
	for _, f := range Figures {
		if got, err := FigureNamed(f.Name); err != nil || got.Name != f.Name || got.LowerIsBetter != f.LowerIsBetter {
			t.Errorf("%s: %+v, %v", f.Name, got, err)
		}
	}
	var unknown *UnknownFigureError
	if _, err := FigureNamed("nonesuch"); !errors.As(err, &unknown) || unknown.Name != "nonesuch" {
		t.Errorf("error %v, want an UnknownFigureError", err)
	}
}
