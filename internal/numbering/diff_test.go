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
	before := compileText(t, rules)
	if changes, _ := Diff(before, before); len(changes) > 0 {
		t.Errorf("%+v", changes)
	}
	changed := parseRules(t, rules)
	changed.Prefix[1].Prefix = "5623"   // 5622 goes with 562 now, 5623 to the centre
	changed.Barred = changed.Barred[:1] // 569 is not barred for alarms any more
	changed.Route[0].Name = "renamed"   // no change
	changed.Prefix[0].Route = "renamed"
	after, err := Compile(changed, env)
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

// checkChangedNumbers checks that each number that two tables decide differently begins with one of the prefixes.
func checkChangedNumbers(t *testing.T, before, after *Table, prefixes []string) {
	t.Helper()
	for n := range 10000 {
		number := fmt.Sprintf("56%04d", n)
		q := Query{Number: "+" + number, Class: "alarm", At: now, Ported: PortingResult{State: NotPorted}}
		x, y := before.Analyse(&q), after.Analyse(&q)
		isChanged := fmt.Sprint(x.Verdict, x.Cause, x.Pools()) != fmt.Sprint(y.Verdict, y.Cause, y.Pools())
		isListed := slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(number, prefix) })
		if isChanged && !isListed {
			t.Errorf("%s: %s, then %s, and not listed", number, describeDecision(x), describeDecision(y))
		}
	}
}

// Another holiday is a change, although the number of holidays is the same.
func TestDiffOfHolidays(t *testing.T) {
	before := compileText(t, rules)
	after, err := Compile(parseRules(t, strings.Replace(rules, "2026-12-25", "2026-12-24", 1)), env)
	if err != nil {
		t.Error(err)
	} else if changes, _ := Diff(before, after); len(changes) != 8 { // 5622 and the seven prefixes of the range
		t.Errorf("another holiday: %+v", changes)
	}
}
