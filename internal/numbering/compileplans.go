package numbering

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

func (c *compiler) compilePlans() {
	for i, p := range c.rules.Plan {
		name := entryName("plan", i, p.Name)
		if !isDigitsOrEmpty(p.Country) || !isDigitsOrEmpty(p.International) || !isDigitsOrEmpty(p.National) {
			c.addError(name, "country, international and national are digits")
		}
		maxDigits := c.table.maxDigits
		if p.MinDigits < 0 || p.MaxDigits < p.MinDigits || len(p.Country)+p.MaxDigits > maxDigits {
			c.addError(name, "national numbers of %d to %d digits do not fit %d in all",
				p.MinDigits, p.MaxDigits, maxDigits)
		}
		if p.International != "" && p.International == p.National {
			c.addError(name, "the national and the international prefix are the same")
		}
	}
	if len(c.rules.Plan) > 1 {
		c.addError("plan 2", "one table has one plan; a second needs a table of its own")
	}
	c.table.plans = slices.Clone(c.rules.Plan)
}

func isDigitsOrEmpty(s string) bool { return s == "" || isDigits(s) }

func (c *compiler) compileTranslations() {
	translations := slices.Clone(c.rules.Translate)
	lines := make(map[string]int)
	for i, x := range translations {
		name := entryName("translate", i, x.Match)
		isStripValid := x.Strip >= 0 && x.Strip <= len(x.Match)
		if !isDigits(x.Match) || !isDigitsOrEmpty(x.Add) || !isStripValid {
			c.addError(name, "match and add are digits, and strip no more than match has")
		}
		key := fmt.Sprint(x.Match, x.Exact)
		if first, exists := lines[key]; exists {
			c.addError(name, "unreachable: translate %d matches the same", first)
		}
		lines[key] = i + 1
	}
	for i := range translations {
		if loop := findLoop(translations, i); loop != nil {
			c.addError(entryName("translate", i, translations[i].Match), "a loop, by way of entries %v", loop)
		}
	}
	slices.SortStableFunc(translations, compareTranslations)
	c.table.translations = translations
}

// findLoop returns the line numbers of a loop of translations that begins with the one at start, nil if there is none.
// In a loop each translation makes a number that the next one matches, and the number does not get shorter.
func findLoop(translations []Translation, start int) []int {
	growth, current := 0, start
	var lines []int
	for range len(translations) + 1 {
		lines = append(lines, current+1)
		x := translations[current]
		growth += len(x.Add) - x.Strip
		isBack := len(lines) > 1 && current == start
		if isBack && growth >= 0 {
			return lines
		}
		next := slices.IndexFunc(translations, x.leadsTo)
		if next < 0 || isBack {
			return nil
		}
		current = next
	}
	return nil
}

// leadsTo reports whether the result of t is matched by next.
func (t Translation) leadsTo(next Translation) bool {
	result := t.Add + t.Match[min(max(t.Strip, 0), len(t.Match)):]
	if !strings.HasPrefix(result, next.Match) {
		return false
	}
	return !next.Exact || t.Exact && result == next.Match
}

// compareTranslations orders translations as they are tried: exact ones first, then longer matches before shorter ones.
func compareTranslations(a, b Translation) int {
	if a.Exact != b.Exact {
		if a.Exact {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(len(b.Match), len(a.Match)), strings.Compare(a.Match, b.Match))
}
