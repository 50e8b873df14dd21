package scenario

import (
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// The scenarios in deploy/sim are valid, have a description and are named like their file.
func TestDeployed(t *testing.T) {
	files, err := filepath.Glob("../../../deploy/sim/*.toml")
	if err != nil || len(files) < 6 {
		t.Fatal(files, err)
	}
	for _, path := range files {
		s, err := Load(path)
		if err != nil {
			t.Error(err)
			continue
		}
		if s.About == "" || s.Name != strings.TrimSuffix(filepath.Base(path), ".toml") {
			t.Errorf("%s: name %q, about %q", path, s.Name, s.About)
		}
	}
}

// Keys that a file leaves out have their default value; the error for an invalid value names its key.
func TestParse(t *testing.T) {
	s, err := Parse([]byte(`
[callers]
load = 1.5
[[class]]
name = "a"
share = 1.0
holding = "2s"
aim = "1s"
give_up = "5s"
worth = 2.0
`))
	if err != nil {
		t.Fatal(err)
	}
	if s.Callers.Load != 1.5 || len(s.Class) != 1 {
		t.Errorf("load %v and %d classes, want 1.5 and 1", s.Callers.Load, len(s.Class))
	}
	if s.Fleet.Controllers != Default().Fleet.Controllers || s.Exchange.SlowStartPeriod.D() != 15*time.Second {
		t.Errorf("%+v, want the default fleet and slow start", s)
	}
	for text, want := range map[string]string{
		"lenght = \"1s\"":                                   "lenght: unknown key",
		"length = \"1\"":                                    "invalid duration",
		"length = \"48h\"":                                  "length",
		"[fleet]\ncontrollers = 0":                          "fleet.controllers",
		"[callers]\nshape = \"square\"":                     "callers.shape",
		"[exchange]\nset_up = \"-1s\"":                      "set_up",
		"[[fault]]\nkind = \"flood\"\nat = \"1s\"":          "fault 1 (flood)",
		"[[fault]]\nkind = \"slow\"\nat = \"1s\"":           "factor is missing",
		"[[fault]]\nkind = \"cut\"\nat = \"1s\"\nshare=2.0": "between 0 and 1",
		"[[class]]\nname = \"a\"\nshare = 0.5\nholding = \"2s\"\naim = \"1s\"\ngive_up = \"5s\"": "shares add up to 0.5",
		"[callers\n": "line 2",
	} {
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want one with %q", text, err, want)
		}
	}
}

// The offered load follows a wave or a ramp over time.
func TestOffered(t *testing.T) {
	s := Default()
	s.Callers.Load, s.Callers.Shape, s.Callers.Swing, s.Callers.Period = 1, "wave", 0.5, milliseconds(40000)
	for at, want := range map[time.Duration]float64{0: 1, 10 * time.Second: 1.5, 30 * time.Second: 0.5} {
		if got := s.Offered(at); got < want-0.01 || got > want+0.01 {
			t.Errorf("wave at %v: load %v", at, got)
		}
	}
	s.Callers.Shape, s.Callers.Swing = "ramp", 3
	if a, b := s.Offered(0), s.Offered(s.Length.D()); a != 1 || b != 3 {
		t.Errorf("ramp from %v to %v, want from 1 to 3", a, b)
	}
}
