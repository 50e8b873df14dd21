package numbering

import (
	"crypto/sha256"
	"fmt"
	"slices"
)

// ruleLines holds one line of text for each entry of the rules. The digest is computed from the lines, so their format
// must not change: stored versions are found by their digests.
type ruleLines []string

func (l *ruleLines) add(format string, args ...any) { *l = append(*l, fmt.Sprintf(format, args...)) }

// digestRules returns the digest of rules, which does not depend on the order of their entries. maxLength is the
// greatest number of digits of a number.
func digestRules(r *Rules, maxLength int) [sha256.Size]byte {
	lines := make(ruleLines, 0, len(r.Prefix)+len(r.Range)+len(r.Barred)+16)
	lines.add("max %d default %q", maxLength, r.Default)
	lines.addPlans(r)
	lines.addNumbers(r)
	lines.addRoutes(r)
	slices.Sort(lines)
	h := sha256.New()
	for _, line := range lines {
		_, _ = h.Write([]byte(line))
		_, _ = h.Write([]byte{'\n'})
	}
	return [sha256.Size]byte(h.Sum(nil))
}

func (l *ruleLines) addPlans(r *Rules) {
	for _, x := range r.Plan {
		l.add("plan %q %q %q %q %d %d", x.Name, x.Country, x.International, x.National, x.MinDigits, x.MaxDigits)
	}
	for _, x := range r.Translate {
		l.add("translate %q %v %d %q", x.Match, x.Exact, x.Strip, x.Add)
	}
	for _, x := range r.Emergency {
		l.add("emergency %q %q", x.Number, x.Route)
	}
}

func (l *ruleLines) addNumbers(r *Rules) {
	for _, x := range r.Barred {
		l.add("barred %q %d %q", x.Prefix, x.causeOrDefault(), sorted(x.Classes))
	}
	for _, x := range r.Prefix {
		l.add("prefix %q %q %v", x.Prefix, x.Route, x.Ported)
	}
	for _, x := range r.Range {
		l.add("range %q %q %q %v", x.First, x.Last, x.Route, x.Ported)
	}
}

func (l *ruleLines) addRoutes(r *Rules) {
	for _, x := range r.Route {
		for _, tgt := range x.Target {
			l.add("route %q %d %d %d %q", x.Name, tgt.Step, tgt.Pool, max(tgt.Weight, defaultWeight), tgt.When)
		}
	}
	for _, x := range r.When {
		l.add("when %q %q %q %q %q %q %v", x.Name, x.Zone,
			sorted(x.Weekdays), sorted(x.Hours), sorted(x.Dates), sorted(x.Holidays), x.Not)
	}
}

func sorted(s []string) []string { return slices.Sorted(slices.Values(s)) }
