package numbering

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

func prefixesOf(changes []Change) []string {
	var prefixes []string
	for _, c := range changes {
		prefixes = append(prefixes, c.Prefix)
	}
	return prefixes
}

func TestDiff(t *testing.T) {
	before := compileText(t, testRules)
	if changes, _ := Diff(before, before); len(changes) > 0 {
		t.Errorf("%+v", changes)
	}
	changed := parseRules(t, testRules)
	changed.Prefix[1].Prefix = "5623"   // 5622 now has the route of 562, and 5623 has route "centre"
	changed.Barred = changed.Barred[:1] // 569 is no longer barred for class "alarm"
	changed.Route[0].Name = "renamed"   // not a change of destinations
	changed.Prefix[0].Route = "renamed"
	after, err := Compile(changed, testDeployment)
	if err != nil {
		t.Fatal(err)
	}
	changes, isTruncated := Diff(before, after)
	prefixes := prefixesOf(changes)
	if fmt.Sprint(prefixes) != "[5622 5623 569]" || isTruncated {
		t.Errorf("%+v", changes)
	}
	checkChangedNumbers(t, before, after, prefixes)
}

// checkChangedNumbers checks that each number with different decisions in two tables begins with one of the prefixes.
func checkChangedNumbers(t *testing.T, before, after *Table, prefixes []string) {
	t.Helper()
	for n := range 10000 {
		number := fmt.Sprintf("56%04d", n)
		q := Query{Number: "+" + number, Class: "alarm", At: now, Ported: PortingResult{State: NotPorted}}
		x, y := before.Analyse(&q), after.Analyse(&q)
		isChanged := fmt.Sprint(x.Verdict, x.Cause, x.Pools()) != fmt.Sprint(y.Verdict, y.Cause, y.Pools())
		isListed := slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(number, prefix) })
		if isChanged && !isListed {
			t.Errorf("%s: %s before, %s after, but not listed as a change", number, describeDecision(x), describeDecision(y))
		}
	}
}

// A different holiday is a change, even if the number of holidays is the same.
func TestDiffOfHolidays(t *testing.T) {
	before := compileText(t, testRules)
	after, err := Compile(parseRules(t, strings.Replace(testRules, "2026-12-25", "2026-12-24", 1)), testDeployment)
	if err != nil {
		t.Error(err)
	} else if changes, _ := Diff(before, after); len(changes) != 8 { // 5622 and the seven prefixes of the range
		t.Errorf("different holiday: %+v", changes)
	}
}
