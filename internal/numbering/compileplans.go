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
			c.addError(name, "country, international and national must be digits")
		}
		maxDigits := c.table.maxDigits
		if p.MinDigits < 0 || p.MaxDigits < p.MinDigits || len(p.Country)+p.MaxDigits > maxDigits {
			c.addError(name, "national numbers of %d to %d digits with the country code do not fit into %d digits",
				p.MinDigits, p.MaxDigits, maxDigits)
		}
		if p.International != "" && p.International == p.National {
			c.addError(name, "the national and the international prefix are equal")
		}
	}
	if len(c.rules.Plan) > 1 {
		c.addError("plan 2", "a table can have only one plan")
	}
	c.table.plans = slices.Clone(c.rules.Plan)
}

func isDigitsOrEmpty(s string) bool { return s == "" || isDigits(s) }

func (c *compiler) compileTranslations() {
	translations := slices.Clone(c.rules.Translate)
	ordinals := make(map[string]int)
	for i, x := range translations {
		name := entryName("translate", i, x.Match)
		isStripValid := x.Strip >= 0 && x.Strip <= len(x.Match)
		if !isDigits(x.Match) || !isDigitsOrEmpty(x.Add) || !isStripValid {
			c.addError(name, "match and add must be digits, and strip at most the length of match")
		}
		key := fmt.Sprint(x.Match, x.Exact)
		if first, exists := ordinals[key]; exists {
			c.addError(name, "unreachable: translate %d matches the same numbers", first)
		}
		ordinals[key] = i + 1
	}
	for i := range translations {
		if loop := findLoop(translations, i); loop != nil {
			c.addError(entryName("translate", i, translations[i].Match), "translation loop through entries %v", loop)
		}
	}
	slices.SortStableFunc(translations, compareTranslations)
	c.table.translations = translations
}

// findLoop returns the ordinals of a loop of translations that begins with the one at index start, or nil. In a loop,
// the result of each translation is matched by the next one, and the number does not become shorter.
func findLoop(translations []Translation, start int) []int {
	growth, current := 0, start
	var ordinals []int
	for range len(translations) + 1 {
		ordinals = append(ordinals, current+1)
		x := translations[current]
		growth += len(x.Add) - x.Strip
		isAtStart := len(ordinals) > 1 && current == start
		if isAtStart && growth >= 0 {
			return ordinals
		}
		next := slices.IndexFunc(translations, x.leadsTo)
		if next < 0 || isAtStart {
			return nil
		}
		current = next
	}
	return nil
}

// leadsTo reports whether next matches the result of t.
func (t Translation) leadsTo(next Translation) bool {
	result := t.Add + t.Match[min(max(t.Strip, 0), len(t.Match)):]
	if !strings.HasPrefix(result, next.Match) {
		return false
	}
	return !next.Exact || t.Exact && result == next.Match
}

// compareTranslations orders translations as they are tried: exact ones first, then by descending length of Match.
func compareTranslations(a, b Translation) int {
	if a.Exact != b.Exact {
		if a.Exact {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(len(b.Match), len(a.Match)), strings.Compare(a.Match, b.Match))
}
