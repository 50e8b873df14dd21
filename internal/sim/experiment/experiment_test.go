package experiment

import (
	"context"
	"math"
	"math/rand/v2"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"olivedale/internal/admission"
	"olivedale/internal/call"
	"olivedale/internal/sim/result"
	"olivedale/internal/sim/scenario"
	"olivedale/internal/sim/virtualtime"
)

// About 95% of the bootstrap intervals include the true mean.
func TestBootstrapCovers(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	covering := 0
	for range 300 {
		v := make([]float64, 30)
		for i := range v {
			v[i] = rng.NormFloat64()
		}
		if iv := Bootstrap(v, false); iv.Low <= 0 && iv.High >= 0 {
			covering++
		}
	}
	if share := float64(covering) / 300; share < 0.89 || share > 0.99 {
		t.Errorf("%.3f of the intervals include the mean", share)
	}
}

// resultsOf returns a result for each score, with consecutive seeds.
func resultsOf(scores ...float64) []*result.Result {
	var results []*result.Result
	for i, score := range scores {
		results = append(results, &result.Result{Scenario: "s", Seed: uint64(i), Score: score})
	}
	return results
}

// Paired runs show a difference that is small against the spread between runs; three runs are too few to show it.
func TestCompare(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	var base, better, same []float64
	for range 20 {
		score := 0.5 + 0.4*rng.Float64() // runs differ by far more than the programs
		base = append(base, score)
		better = append(better, score+0.01+0.005*rng.NormFloat64())
		same = append(same, score+0.01*rng.NormFloat64())
	}
	for want, now := range map[Verdict][]float64{Better: better, Same: same} {
		d, err := Compare(resultsOf(base...), resultsOf(now...))
		if err != nil {
			t.Fatal(err)
		}
		if d[0].Figure != "score" || d[0].Verdict != want {
			t.Errorf("%+v, want %s", d[0], want)
		}
	}
	if d, err := Compare(resultsOf(better...), resultsOf(base...)); err != nil || d[0].Verdict != Worse {
		t.Errorf("base and now swapped: %+v, %v", d, err)
	}
	if d, err := Compare(resultsOf(base[:3]...), resultsOf(better[:3]...)); err != nil || d[0].Verdict != Same {
		t.Errorf("three runs: %+v, %v", d, err)
	}
	if _, err := Compare(resultsOf(base...), resultsOf(better[1:]...)); err == nil {
		t.Error("results with different seeds were accepted")
	}
}

func TestSpearman(t *testing.T) {
	for _, c := range []struct {
		a, b []float64
		want float64
	}{
		{[]float64{1, 2, 3, 4}, []float64{10, 20, 25, 100}, 1},
		{[]float64{1, 2, 3, 4}, []float64{4, 3, 2, 1}, -1},
		{[]float64{1, 2, 2, 3}, []float64{1, 2, 2, 3}, 1},
	} {
		if got, err := Spearman(c.a, c.b); err != nil || math.Abs(got-c.want) > 1e-9 {
			t.Errorf("correlation of %v and %v: %v, %v", c.a, c.b, got, err)
		}
	}
	if _, err := Spearman([]float64{1}, []float64{2}); err == nil {
		t.Error("a correlation of a single pair was accepted")
	}
}

func TestSetAndFiles(t *testing.T) {
	sc := scenario.Default()
	out, err := Set(&sc, "callers.load", "1.5")
	if err != nil || out.Callers.Load != 1.5 || sc.Callers.Load == 1.5 {
		t.Errorf("%v, %v, %v", out, sc.Callers.Load, err)
	}
	for key, value := range map[string]string{"callers.lod": "1", "callers.load": "much", "fleet.controllers": "0"} {
		if _, err := Set(&sc, key, value); err == nil {
			t.Errorf("%s = %s was accepted", key, value)
		}
	}
	sc.Fault = []scenario.Fault{{Kind: scenario.DropCalls, Share: 0.1}, {Kind: scenario.Slow, Factor: 2}}
	if out, err = Set(&sc, "fault.2.factor", "8"); err != nil || out.Fault[1].Factor != 8 || sc.Fault[1].Factor != 2 {
		t.Errorf("%+v, %+v, %v", out, sc.Fault, err)
	}
	for _, key := range []string{"fault.3.factor", "fault.0.factor", "fault.factor", "fault.1.fac", "fault.x.share"} {
		if _, err := Set(&sc, key, "1"); err == nil {
			t.Errorf("%s was accepted", key)
		}
	}
	sc.Fault = nil
	sc.Length = scenario.Duration(3 * time.Second)
	all, err := RunSeeds(context.Background(), &sc, Seeds(1, 3), virtualtime.Options{})
	if err != nil {
		t.Fatal(err)
	}
	f := &File{Scenario: &sc, Commit: "c", Machine: Machine(), Points: []Point{{Results: all}}}
	path := filepath.Join(t.TempDir(), "f.json")
	if err := f.Save(path); err != nil {
		t.Fatal(err)
	}
	loaded, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(loaded.Points[0].Results[2].Seconds, all[2].Seconds) || loaded.Scenario.Length != sc.Length {
		t.Errorf("the loaded file %v differs from the saved one", loaded)
	}
}

// earlyResender is a faulty decider: it resends a call without the retry guard after its connection was lost.
type earlyResender struct{ call.Decider }

func (r earlyResender) Report(now call.Time, p admission.AttemptReport) admission.Decision {
	decision := r.Decider.Report(now, p)
	if p.Kind == admission.ReportEnded && !p.Final && p.Result == admission.ResultConnectionLost {
		return admission.Decision{CallID: p.CallID, Kind: admission.DecisionSend, Server: p.Server, Wait: time.Second}
	}
	return decision
}

// Of four faults Shrink keeps only the one that causes the violation, and it ends the run after the violation.
func TestShrink(t *testing.T) {
	sc := scenario.Default()
	sc.Length = scenario.Duration(20 * time.Second)
	seconds := func(n float64) scenario.Duration { return scenario.Duration(n * float64(time.Second)) }
	sc.Fault = []scenario.Fault{
		{Kind: scenario.Slow, At: seconds(2), For: seconds(3), Share: 0.3, Factor: 2},
		{Kind: scenario.Reset, At: seconds(8), Share: 1},
		{Kind: scenario.Burst, At: seconds(4), For: seconds(2), Factor: 1.5},
		{Kind: scenario.DiscoveryDelay, At: seconds(1), For: seconds(5), By: seconds(1)},
	}
	options := virtualtime.Options{WrapDecider: func(_ string, d call.Decider) call.Decider { return earlyResender{d} }}
	small := Shrink(context.Background(), &sc, 4, options)
	if small == nil || len(small.Fault) != 1 || small.Fault[0].Kind != scenario.Reset || small.Length.D() > 11*time.Second {
		t.Errorf("%+v", small)
	}
	if Shrink(context.Background(), &sc, 4, virtualtime.Options{}) != nil {
		t.Error("a run without a violation was shrunk")
	}
}
