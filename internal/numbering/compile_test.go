package numbering

import (
	"strings"
	"testing"
)

const (
	oneRoute     = "[[route]]\nname = \"r\"\n[[route.target]]\npool = 1\n"
	defaultRoute = "default = \"r\"\n" + oneRoute
)

// Each error in rules names the entry that contains it.
func TestCompileErrors(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"unused route": {oneRoute, "route 1 (r): unused: no entry refers to this route"},
		"duplicate prefix": {
			oneRoute + "[[prefix]]\nprefix = \"1\"\nroute = \"r\"\n[[prefix]]\nprefix = \"1\"\nroute = \"r\"\n",
			"prefix 2 (1): duplicate prefix 1, first defined by prefix 1 (1)",
		},
		"unknown route": {
			oneRoute + "[[prefix]]\nprefix = \"1\"\nroute = \"x\"\n",
			`prefix 1 (1): there is no route "x"`,
		},
		"barred prefix": {
			oneRoute + "[[prefix]]\nprefix = \"12\"\nroute = \"r\"\n[[barred]]\nprefix = \"1\"\n",
			"prefix 1 (12): unreachable: barred 1 rejects its numbers",
		},
		"overlapping ranges": {
			oneRoute + "[[range]]\nfirst = \"10\"\nlast = \"30\"\nroute = \"r\"\n" +
				"[[range]]\nfirst = \"25\"\nlast = \"40\"\nroute = \"r\"\n",
			"range 2 (25 to 40): overlaps range 1",
		},
		"prefix across the end of a range": {
			oneRoute + "[[prefix]]\nprefix = \"12\"\nroute = \"r\"\n" +
				"[[range]]\nfirst = \"1000\"\nlast = \"1499\"\nroute = \"r\"\n",
			"prefix 1 (12): overlaps range 1 (1000 to 1499)",
		},
		"range of two lengths": {
			oneRoute + "[[range]]\nfirst = \"10\"\nlast = \"300\"\nroute = \"r\"\n",
			"range 1 (10 to 300): first and last must be digits of equal length",
		},
		"translation loop": {
			defaultRoute + "[[translate]]\nmatch = \"1\"\nstrip = 1\nadd = \"2\"\n" +
				"[[translate]]\nmatch = \"2\"\nstrip = 1\nadd = \"1\"\n",
			"translate 1 (1): translation loop through entries [1 2 1]",
		},
		"duplicate translation": {
			defaultRoute + "[[translate]]\nmatch = \"1\"\n[[translate]]\nmatch = \"1\"\n",
			"translate 2 (1): unreachable: translate 1 matches the same numbers",
		},
		"negative strip": {
			defaultRoute + "[[translate]]\nmatch = \"1\"\nstrip = -1\n",
			"translate 1 (1): match and add must be digits, and strip at most the length of match",
		},
		"time without a target": {
			defaultRoute + "when = \"w\"\n[[when]]\nname = \"w\"\nhours = [\"08:00-18:00\"]\n",
			"route 1 (r): no target is open at some times",
		},
		"unknown zone": {
			defaultRoute + "[[when]]\nname = \"w\"\nzone = \"Mars/Olympus\"\n",
			`when 1 (w): zone "Mars/Olympus" is not known`,
		},
		"unknown zone of a target": {
			defaultRoute + "when = \"w\"\n[[when]]\nname = \"w\"\nzone = \"Mars/Olympus\"\n",
			`when 1 (w): zone "Mars/Olympus" is not known`,
		},
		"invalid hours": {
			defaultRoute + "[[when]]\nname = \"w\"\nhours = [\"25:00-26:00\"]\n",
			`when 1 (w): hours "25:00-26:00" are not`,
		},
		"negative pool":   {strings.Replace(defaultRoute, "pool = 1", "pool = -1", 1), "pool -1"},
		"too many digits": {"max_digits = 99", "max_digits: 99 is not between"},
		"emergency number with a letter": {
			"[[emergency]]\nnumber = \"1x\"\nroute = \"r\"\n" + oneRoute,
			"emergency 1 (1x): the number must consist of digits",
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, err := Parse([]byte(c.text))
			if err != nil {
				t.Fatalf("%q: %v", c.text, err)
			}
			if _, err = Compile(r, testDeployment); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%q:\nwant %s\ngot  %v", c.text, c.want, err)
			}
		})
	}
}

func TestCompileChecksPoolsOfClasses(t *testing.T) {
	narrow := Deployment{Classes: []Class{{Name: "voice", Pools: []int{2}}}, Now: now}
	r := parseRules(t, defaultRoute)
	if _, err := Compile(r, narrow); err == nil || !strings.Contains(err.Error(), "pool 1: no class can use it") {
		t.Error(err)
	}
}

func TestParseErrors(t *testing.T) {
	for _, text := range []string{"odd = 1", "[[prefix]]\nprefix = 3", "[[prefix"} {
		if _, err := Parse([]byte(text)); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}

func FuzzRules(f *testing.F) {
	f.Add(testRules)
	f.Fuzz(func(_ *testing.T, text string) {
		r, err := Parse([]byte(text))
		if err != nil || len(r.Range) >= 50 {
			return
		}
		if table, err := Compile(r, testDeployment); err == nil {
			table.Analyse(&Query{Number: "+562", At: now})
		}
	})
}
