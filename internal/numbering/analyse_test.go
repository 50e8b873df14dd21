package numbering

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func TestAnalyse(t *testing.T) {
	table := compileText(t, testRules)
	night := Time(time.Date(2026, 12, 1, 3, 0, 0, 0, time.UTC).UnixNano())
	routing, _ := ParseDigits("56221")
	for _, c := range []struct {
		q    Query
		want string
	}{
		{Query{Number: "+56 2 2123-4567"}, "routed 56221234567 centre [2 4]"},
		{Query{Number: "0056 (2) 2123/4567", At: night}, "routed 56221234567 centre [4]"},
		{Query{Number: "0 2 2123 4567"}, "routed 56221234567 centre [2 4]"},
		{Query{Number: "7"}, "routed 56221234567 centre [2 4]"},
		{Query{Number: "+5623999"}, "routed 5623999 santiago"},
		{Query{Number: "+5641249"}, "routed 5641249 centre [2 4]"},
		{Query{Number: "+5641250"}, "routed 5641250 rest [6]"},
		{Query{Number: "133"}, "emergency routed 133 alarm [0]"},
		{Query{Number: "+133"}, "routed 133 rest [6]"},
		{Query{Number: "+56900123"}, "refused 21"},
		{Query{Number: "+569123", Class: "alarm"}, "refused 17"},
		{Query{Number: "+569123"}, "ask"},
		{Query{Number: "+569123", Ported: PortingResult{State: NotPorted}}, "routed 569123 mobile [5]"},
		{Query{Number: "+569123", Ported: PortingResult{State: PortingUnknown}}, "routed 569123 mobile [5]"},
		{Query{Number: "+569123", Ported: PortingResult{State: Ported, Routing: routing}}, "routed 569123 centre [2 4]"},
		{Query{Number: "+4912345"}, "routed 4912345 rest [6]"},
		{Query{Number: "abc"}, "refused 1"},
		{Query{Number: ""}, "refused 1"},
		{Query{Number: "+1234567890123456"}, "refused 1"},
		{Query{Number: strings.Repeat("1", 100)}, "refused 1"},
	} {
		if c.q.At == 0 {
			c.q.At = now
		}
		if got := describeDecision(table.Analyse(&c.q)); !strings.HasPrefix(got, c.want) {
			t.Errorf("%q: %s, want %s", c.q.Number, got, c.want)
		}
	}
}

// Over many calls, pools are chosen in proportion to their weights. The same call always gets the same pools.
func TestChoiceByWeight(t *testing.T) {
	table := compileText(t, testRules)
	callsByPool := make(map[int]int)
	for i := range 4000 {
		q := Query{Number: "+5623", At: now, Seed: Seed(fmt.Sprint(i))}
		first, second := table.Analyse(&q), table.Analyse(&q)
		if first != second || len(first.Pools()) != 3 || first.Pools()[2] != 3 {
			t.Fatal(first, second)
		}
		callsByPool[first.Pools()[0]]++
	}
	if callsByPool[1] < 2800 || callsByPool[1] > 3200 || callsByPool[1]+callsByPool[2] != 4000 {
		t.Errorf("calls by pool, weights 3 to 1: %v", callsByPool)
	}
}

func TestAnalyseDoesNotAllocate(t *testing.T) {
	table := compileText(t, testRules)
	for _, number := range []string{"7", "0 2 2123 4567", "+5641249", "+56900123", "133", "abc"} {
		q := Query{Number: number, At: now}
		if n := testing.AllocsPerRun(100, func() { table.Analyse(&q) }); n > 0 {
			t.Errorf("%q: %v allocations", number, n)
		}
	}
}

func FuzzNumber(f *testing.F) {
	table := compileText(f, testRules)
	for _, s := range []string{"+56 2 2123", "0056", "133", "7", "", "+", strings.Repeat("9", 30)} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, number string) {
		q := Query{Number: number, At: now}
		d := table.Analyse(&q)
		if explained, steps := table.Explain(&q); explained != d || len(steps) == 0 {
			t.Fatalf("%q: %v, explained %v", number, d, explained)
		}
		if d.Verdict == Routed && len(d.Pools()) == 0 {
			t.Fatalf("%q is routed without a pool", number)
		}
	})
}
