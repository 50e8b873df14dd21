package cluster

import (
	"slices"
	"testing"
	"time"

	"olivedale/internal/sim/experiment"
	"olivedale/internal/sim/result"
	"olivedale/internal/sim/scenario"
	"olivedale/internal/sim/virtualtime"
)

// The same scenario on both floors: twelve controllers, twelve exchanges, nobody tries twice.
// go test -run '^$' -bench Floors -benchtime 1x ./internal/sim/cluster
func BenchmarkFloors(b *testing.B) {
	for range b.N {
		for _, load := range []float64{0.6, 0.9, 1.2} {
			bin, err := programs()
			if err != nil {
				b.Fatal(err)
			}
			sc := scenario.Default()
			sc.Length, sc.Fleet = scenario.Duration(30*time.Second), scenario.Fleet{Controllers: 12, Exchanges: 12, Zones: 1, Clients: 1}
			sc.Callers.Load, sc.Callers.Lean, sc.Callers.Shift, sc.Callers.Tries, sc.Callers.Patience = load, 1, scenario.Span{}, 0, [2]float64{1.0 / 3, 1.0 / 3}
			near := scenario.Span{scenario.Duration(50 * time.Microsecond), scenario.Duration(150 * time.Microsecond)} // as loopback has it
			sc.Wire.Near, sc.Wire.Far, sc.Wire.Client = near, near, scenario.Duration(100*time.Microsecond)
			days, err := experiment.Play(b.Context(), &sc, experiment.Seeds(1, 12), virtualtime.Options{})
			if err != nil {
				b.Fatal(err)
			}
			res, err := Play(b.Context(), Options{Bin: bin, Dir: b.TempDir(), Topology: Topology{Controllers: 12, Exchanges: 12, Zones: 1}, Scenario: &sc, Schedule: &Schedule{Seed: 1}, For: sc.Length.D()})
			if err != nil {
				b.Fatal(err)
			}
			z := res.Zones[0]
			share := func(n, of int) float64 { return float64(n) / float64(max(of, 1)) }
			for _, x := range []struct {
				name    string
				of      func(r *result.Result) float64
				sockets float64
			}{
				{"stood", func(r *result.Result) float64 { return share(r.Stood, r.Offered) }, share(z.Established, z.Sent)},
				{"refused", func(r *result.Result) float64 { return share(r.Refused, r.Offered) }, share(z.Rejected, z.Sent)},
				{"p50 ms", func(r *result.Result) float64 { return r.P50 }, z.P50},
				{"p99 ms", func(r *result.Result) float64 { return r.P99 }, z.P99},
			} {
				var v []float64
				for _, d := range days {
					v = append(v, x.of(d))
				}
				b.Logf("load %v, %s: virtual %.3f, days from %.3f to %.3f; sockets %.3f; rules broken %d", load, x.name, experiment.Bootstrap(v, false).Mean, slices.Min(v), slices.Max(v), x.sockets, res.Broken)
			}
		}
	}
}
