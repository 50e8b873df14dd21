package numbering

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

func parseRules(t testing.TB, text string) *Rules {
	t.Helper()
	r, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// shuffled returns a copy of rules with the entries in a random order.
func shuffled(r *Rules, rng *rand.Rand) *Rules {
	s := *r
	s.Prefix = slices.Clone(r.Prefix)
	s.Barred = slices.Clone(r.Barred)
	s.Route = slices.Clone(r.Route)
	rng.Shuffle(len(s.Prefix), func(i, j int) { s.Prefix[i], s.Prefix[j] = s.Prefix[j], s.Prefix[i] })
	rng.Shuffle(len(s.Barred), func(i, j int) { s.Barred[i], s.Barred[j] = s.Barred[j], s.Barred[i] })
	rng.Shuffle(len(s.Route), func(i, j int) { s.Route[i], s.Route[j] = s.Route[j], s.Route[i] })
	return &s
}

// The order of rules affects neither the digest nor decisions, and the last step of an explanation is the decision.
func TestDigestAndExplain(t *testing.T) {
	r := parseRules(t, testRules)
	base := compileText(t, testRules)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		other, err := Compile(shuffled(r, rng), testDeployment)
		if err != nil || other.Digest() != base.Digest() {
			t.Fatalf("%v: %s, want %s", err, other.Digest(), base.Digest())
		}
		for range 50 {
			q := Query{
				Number: fmt.Sprintf("+56%d", rng.IntN(100000)),
				Class:  []string{"voice", "alarm"}[rng.IntN(2)],
				At:     now + Time(rng.Int64N(int64(48*time.Hour))),
				Seed:   rng.Uint64(),
				Ported: PortingResult{State: PortingState(rng.IntN(2))},
			}
			d := base.Analyse(&q)
			explained, steps := other.Explain(&q)
			if describeDecision(d) != describeDecision(explained) {
				t.Fatalf("%s: %s, shuffled %s", q.Number, describeDecision(d), describeDecision(explained))
			}
			checkLastStep(t, &d, steps[len(steps)-1])
		}
	}
}

// checkLastStep checks that the last step of an explanation contains the pools or the cause of the decision.
func checkLastStep(t *testing.T, d *Decision, last string) {
	t.Helper()
	switch d.Verdict {
	case Routed:
		if last != "pools "+strings.Trim(fmt.Sprint(d.Pools()), "[]") {
			t.Fatalf("%q does not contain pools %v", last, d.Pools())
		}
	case Rejected:
		if !strings.Contains(last, fmt.Sprintf("cause %d", d.Cause)) {
			t.Fatalf("%q does not contain cause %d", last, d.Cause)
		}
	case LookUpRequired:
	}
}

func TestDigestOfChangedRules(t *testing.T) {
	changed := parseRules(t, testRules)
	changed.Prefix[0].Route = "centre"
	changed.Default = "santiago"
	changed.Route = slices.DeleteFunc(changed.Route, func(x Route) bool { return x.Name == "rest" })
	base := compileText(t, testRules)
	if other, err := Compile(changed, testDeployment); err != nil || other.Digest() == base.Digest() {
		t.Errorf("changed rules have the same digest or do not compile: %v", err)
	}
}
