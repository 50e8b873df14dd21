package virtualtime

import (
	"fmt"
	"testing"
	"time"

	"olivedale/internal/sim/invariant"
	"olivedale/internal/sim/result"
	"olivedale/internal/sim/scenario"
)

// zonePair is the zone of a controller and the zone of an exchange.
type zonePair struct{ controller, exchange int }

// No set-up reaches an exchange across a network partition; set-ups reach it again after the partition ends.
func TestPartition(t *testing.T) {
	sc := scenario.Default()
	sc.Length, sc.Callers.Load = seconds(12), 0.4
	sc.Fault = []scenario.Fault{{Kind: scenario.Partition, At: seconds(3), For: seconds(4)}}
	during, after := make(map[zonePair]int), make(map[zonePair]int) // answers
	r := Run(&sc, 3, Options{Watch: func(e invariant.Event) {
		var controller, exchange int
		_, err := fmt.Sscanf(e.Controller+" "+e.Server, "n%d x%d", &controller, &exchange)
		if err != nil || e.Kind != invariant.AttemptAnswered {
			return
		}
		pair := zonePair{controller % 3, exchange % 3}
		switch {
		case e.At > 4*time.Second && e.At < 7*time.Second:
			during[pair]++
		case e.At > 8*time.Second:
			after[pair]++
		}
	}})
	if len(r.ViolationCounts) > 0 || len(during) != 5 || len(after) != 9 {
		t.Errorf("violations %v; answers by zone pair during the partition %v, want five pairs of nine; after it %v, want nine",
			r.ViolationCounts, during, after)
	}
}

// Lost set-ups and dead connections raise the number of set-ups per call. A rolling restart ends each controller once.
func TestLinkFaults(t *testing.T) {
	base := scenario.Default()
	base.Length, base.Callers.Load = seconds(12), 0.4
	setUpsPerCall := func(r *result.Result) float64 { return float64(r.Attempts) / float64(r.Offered) }
	undisturbed := Run(&base, 3, Options{})
	for _, kind := range []string{scenario.LoseSetUps, scenario.DeadConnections, scenario.RollingRestart} {
		t.Run(kind, func(t *testing.T) {
			sc := base
			sc.Fault = []scenario.Fault{{Kind: kind, At: seconds(3), For: seconds(5), Share: 0.4, By: seconds(0.3)}}
			ended := 0
			r := Run(&sc, 3, Options{Watch: func(e invariant.Event) {
				if e.Kind == invariant.ControllerEnded {
					ended++
				}
			}})
			isRoll := kind == scenario.RollingRestart
			hasMoreSetUps := setUpsPerCall(r) > setUpsPerCall(undisturbed)
			hasEffect := hasMoreSetUps
			if isRoll {
				hasEffect = ended == sc.Fleet.Controllers
			}
			if len(r.ViolationCounts) > 0 || !hasEffect {
				t.Errorf("violations %v, %d set-ups for %d calls, undisturbed %d for %d; %d controllers ended",
					r.ViolationCounts, r.Attempts, r.Offered, undisturbed.Attempts, undisturbed.Offered, ended)
			}
		})
	}
}
