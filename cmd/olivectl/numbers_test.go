package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const exampleRules = "../../deploy/numbers.example.toml"

// The example file is valid, and all errors of an invalid file are reported together, with their entries.
func TestNumbers(t *testing.T) {
	if out, err := run(t, "numbers", "check", exampleRules); err != nil || !strings.Contains(out, "good; digest") {
		t.Errorf("%v: %s", err, out)
	}
	out, err := run(t, "numbers", "show", "--file", exampleRules, "--explain", "--at", "2026-12-25 15:00", "9")
	if err != nil || !strings.Contains(out, "translated by 9") ||
		!strings.Contains(out, "pool 0 is closed by day") || !strings.Contains(out, "pools    2\n") {
		t.Errorf("%v:\n%s", err, out)
	}
	out, err = run(t, "numbers", "show", "--file", exampleRules, "--json", "--moved", "56225550101", "+56 9 1234 5678")
	if err != nil || !strings.Contains(out, `"route": "house"`) {
		t.Errorf("%v:\n%s", err, out)
	}
	text, err := os.ReadFile(exampleRules)
	if err != nil {
		t.Fatal(err)
	}
	next := filepath.Join(t.TempDir(), "next.toml")
	changed := strings.Replace(string(text), "cause = 17", "cause = 18", 1)
	if err := os.WriteFile(next, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err = run(t, "numbers", "diff", exampleRules, next)
	if err != nil || !strings.Contains(out, "5690") || strings.Count(out, "\n") != 2 {
		t.Errorf("%v:\n%s", err, out)
	}
	invalid := strings.Replace(string(text), "default = \"city\"", "default = \"nowhere\"", 1)
	invalid = strings.Replace(invalid, "prefix = \"562\"", "prefix = \"566001\"", 1)
	if err := os.WriteFile(next, []byte(invalid), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err = run(t, "numbers", "check", next); err == nil ||
		!strings.Contains(err.Error(), "unreachable: barred 1") ||
		!strings.Contains(err.Error(), `there is no route "nowhere"`) {
		t.Error(err)
	}
}
