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

// Of intervals of 95% about as many hold the true mean.
func TestBootstrapCovers(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	held := 0
	for range 300 {
		v := make([]float64, 30)
		for i := range v {
			v[i] = rng.NormFloat64()
		}
		if iv := Bootstrap(v, false); iv.Low <= 0 && iv.High >= 0 {
			held++
		}
	}
	if share := float64(held) / 300; share < 0.89 || share > 0.99 {
		t.Errorf("%.3f of the intervals hold the mean", share)
	}
}

func days(score ...float64) (all []*result.Result) {
	for i, v := range score {
		all = append(all, &result.Result{Scenario: "s", Seed: uint64(i), Score: v})
	}
	return all
}

// A difference is told from noise by days in pairs, and what is too little to tell is not told.
func TestCompare(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	var base, better, same []float64
	for range 20 {
		day := 0.5 + 0.4*rng.Float64() // days differ by far more than the programs
		base = append(base, day)
		better = append(better, day+0.01+0.005*rng.NormFloat64())
		same = append(same, day+0.01*rng.NormFloat64())
	}
	for want, now := range map[string][]float64{Better: better, Same: same} {
		d, err := Compare(days(base...), days(now...))
		if err != nil {
			t.Fatal(err)
		}
		if d[0].Figure != "score" || d[0].Verdict != want {
			t.Errorf("%+v, want %s", d[0], want)
		}
	}
	if d, err := Compare(days(better...), days(base...)); err != nil || d[0].Verdict != Worse {
		t.Errorf("turned round: %+v, %v", d, err)
	}
	if d, err := Compare(days(base[:3]...), days(better[:3]...)); err != nil || d[0].Verdict != Same {
		t.Errorf("of three days: %+v, %v", d, err)
	}
	if _, err := Compare(days(base...), days(better[1:]...)); err == nil {
		t.Error("different days were compared")
	}
}

func TestSpearman(t *testing.T) {
	for _, c := range []struct {
		a, b []float64
		want float64
	}{{[]float64{1, 2, 3, 4}, []float64{10, 20, 25, 100}, 1}, {[]float64{1, 2, 3, 4}, []float64{4, 3, 2, 1}, -1}, {[]float64{1, 2, 2, 3}, []float64{1, 2, 2, 3}, 1}} {
		if got, err := Spearman(c.a, c.b); err != nil || math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%v and %v: %v, %v", c.a, c.b, got, err)
		}
	}
	if _, err := Spearman([]float64{1}, []float64{2}); err == nil {
		t.Error("of one figure each")
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
			t.Errorf("%s = %s was taken", key, value)
		}
	}
	sc.Fault = []scenario.Fault{{Kind: scenario.Cut, Share: 0.1}, {Kind: scenario.Slow, Factor: 2}}
	if out, err = Set(&sc, "fault.2.factor", "8"); err != nil || out.Fault[1].Factor != 8 || sc.Fault[1].Factor != 2 {
		t.Errorf("%+v, %+v, %v", out, sc.Fault, err)
	}
	for _, key := range []string{"fault.3.factor", "fault.0.factor", "fault.factor", "fault.1.fac", "fault.x.share"} {
		if _, err := Set(&sc, key, "1"); err == nil {
			t.Errorf("%s was taken", key)
		}
	}
	sc.Fault = nil
	sc.Length = scenario.Duration(3 * time.Second)
	all, err := Play(context.Background(), &sc, Seeds(1, 3), virtualtime.Options{})
	if err != nil {
		t.Fatal(err)
	}
	f := &File{Scenario: &sc, Commit: "c", Machine: Machine(), Points: []Point{{Results: all}}}
	path := filepath.Join(t.TempDir(), "f.json")
	if err := f.Save(path); err != nil {
		t.Fatal(err)
	}
	back, err := Load(path)
	if err != nil || !reflect.DeepEqual(back.Points[0].Results[2].Seconds, all[2].Seconds) || back.Scenario.Length != sc.Length {
		t.Errorf("%v, %v", back, err)
	}
}

// hasty sends again at once what a reset has ended.
type hasty struct{ call.Decider }

func (h hasty) Report(now call.Time, p admission.AttemptReport) admission.Decision {
	o := h.Decider.Report(now, p)
	if p.Kind == admission.ReportEnded && !p.Final && p.Result == admission.ConnectionLost {
		return admission.Decision{CallID: p.CallID, Kind: admission.Send, Server: p.Server, Wait: time.Second}
	}
	return o
}

// Of four faults the one is left that a breach hangs on, and the run ends behind it.
func TestShrink(t *testing.T) {
	sc := scenario.Default()
	sc.Length = scenario.Duration(20 * time.Second)
	at := func(s float64) scenario.Duration { return scenario.Duration(s * float64(time.Second)) }
	sc.Fault = []scenario.Fault{{Kind: scenario.Slow, At: at(2), For: at(3), Share: 0.3, Factor: 2}, {Kind: scenario.Reset, At: at(8), Share: 1},
		{Kind: scenario.Burst, At: at(4), For: at(2), Factor: 1.5}, {Kind: scenario.NamesLate, At: at(1), For: at(5), By: at(1)}}
	opt := virtualtime.Options{Module: func(_ string, d call.Decider) call.Decider { return hasty{d} }}
	small := Shrink(context.Background(), &sc, 4, opt)
	if small == nil || len(small.Fault) != 1 || small.Fault[0].Kind != scenario.Reset || small.Length.D() > 11*time.Second {
		t.Errorf("%+v", small)
	}
	if Shrink(context.Background(), &sc, 4, virtualtime.Options{}) != nil {
		t.Error("a healthy run was shrunk")
	}
}
