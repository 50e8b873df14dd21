package numbering

import (
	"strings"
	"testing"
)

// Rules with an unknown zone or an invalid strip are reported, also where a route or the search for loops uses them.
func TestCompileReportsInvalidEntriesInUse(t *testing.T) {
	const route = "default = \"r\"\n[[route]]\nname = \"r\"\n[[route.target]]\npool = 1\n"
	for name, c := range map[string]struct{ text, want string }{
		"unknown zone of a target": {
			route + "when = \"w\"\n[[when]]\nname = \"w\"\nzone = \"Mars/Olympus\"\n",
			`when 1 (w): zone "Mars/Olympus" is not known`,
		},
		"negative strip": {
			route + "[[translate]]\nmatch = \"1\"\nstrip = -1\n",
			"translate 1 (1): match and add are digits, and strip no more than match has",
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Make([]byte(c.text), env)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
}

func TestAnalyseDoesNotAllocate(t *testing.T) {
	table := compileText(t, rules)
	for _, number := range []string{"7", "0 2 2123 4567", "+5641249", "+56900123", "133", "abc"} {
		q := Query{Number: number, At: now}
		if n := testing.AllocsPerRun(100, func() { table.Analyse(&q) }); n > 0 {
			t.Errorf("%q: %v allocations", number, n)
		}
	}
}
