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

// BenchmarkFloors compares runs in virtual time with a run of real processes on sockets, on the same scenario: twelve
// controllers, twelve exchanges, and no caller dials a second time. To run it:
//
//	go test -run '^$' -bench Floors -benchtime 1x ./internal/sim/cluster
func BenchmarkFloors(b *testing.B) {
	bin, err := buildPrograms()
	if err != nil {
		b.Fatal(err)
	}
	for range b.N {
		for _, load := range []float64{0.6, 0.9, 1.2} {
			compareFloors(b, bin, load)
		}
	}
}

// comparisonScenario returns a scenario that uses only what virtual time and sockets model alike.
func comparisonScenario(load float64) scenario.Scenario {
	sc := scenario.Default()
	sc.Length = scenario.Duration(30 * time.Second)
	sc.Fleet = scenario.Fleet{Controllers: 12, Exchanges: 12, Zones: 1, Clients: 1}
	sc.Callers.Load = load
	sc.Callers.PreferredWeight = 1
	sc.Callers.PreferenceInterval = scenario.DurationRange{}
	sc.Callers.MaxRedials = 0
	sc.Callers.Patience = [2]float64{1.0 / 3, 1.0 / 3}
	// Latencies as on loopback.
	near := scenario.DurationRange{scenario.Duration(50 * time.Microsecond), scenario.Duration(150 * time.Microsecond)}
	sc.Network.Near = near
	sc.Network.Far = near
	sc.Network.Client = scenario.Duration(100 * time.Microsecond)
	return sc
}

// compareFloors logs the metrics of 12 runs in virtual time and of one run on sockets.
func compareFloors(b *testing.B, bin string, load float64) {
	b.Helper()
	sc := comparisonScenario(load)
	results, err := experiment.RunSeeds(b.Context(), &sc, experiment.Seeds(1, 12), virtualtime.Options{})
	if err != nil {
		b.Fatal(err)
	}
	res, err := Play(b.Context(), Options{
		Bin:          bin,
		Dir:          b.TempDir(),
		Topology:     Topology{Controllers: 12, Exchanges: 12, Zones: 1},
		Scenario:     &sc,
		Schedule:     &Schedule{Seed: 1},
		CallDuration: sc.Length.D(),
	})
	if err != nil {
		b.Fatal(err)
	}
	zone := res.Zones[0]
	fraction := func(n, of int) float64 { return float64(n) / float64(max(of, 1)) }
	for _, metric := range []struct {
		name    string
		of      func(r *result.Result) float64
		sockets float64
	}{
		{"stood", func(r *result.Result) float64 { return fraction(r.Established, r.Offered) }, fraction(zone.Established, zone.Sent)},
		{"refused", func(r *result.Result) float64 { return fraction(r.Rejected, r.Offered) }, fraction(zone.Rejected, zone.Sent)},
		{"p50 ms", func(r *result.Result) float64 { return r.P50 }, zone.P50},
		{"p99 ms", func(r *result.Result) float64 { return r.P99 }, zone.P99},
	} {
		var values []float64
		for _, r := range results {
			values = append(values, metric.of(r))
		}
		b.Logf("load %v, %s: virtual time: mean %.3f, range %.3f to %.3f; sockets %.3f, rules violated %d times", load, metric.name,
			experiment.Bootstrap(values, false).Mean, slices.Min(values), slices.Max(values), metric.sockets, res.ViolationCount)
	}
}
