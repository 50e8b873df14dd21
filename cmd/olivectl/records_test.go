package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/cobra"
)

// incidentDir contains the record stores of an incident.
const incidentDir = "../../internal/report/testdata/incident"

// run executes a command line and returns its output.
func run(t *testing.T, args ...string) (string, error) {
	t.Helper()
	c := newRootCommand()
	var out bytes.Buffer
	c.SetOut(&out)
	c.SetErr(&out)
	c.SetArgs(args)
	err := c.Execute()
	return out.String(), err
}

func TestRecords(t *testing.T) {
	all, err := run(t, "records", "cat", "--json", "--kind", "answer,gap", "--instance", "n0", incidentDir)
	if err != nil || strings.Count(all, "\n") != 18 || strings.Count(all, `"kind":"gap"`) != 1 {
		t.Errorf("%d lines, %v", strings.Count(all, "\n"), err)
	}
	for _, line := range strings.Split(strings.TrimSpace(all), "\n") {
		if !json.Valid([]byte(line)) {
			t.Errorf("invalid JSON: %s", line)
		}
	}
	if out, err := run(t, "records", "verify", incidentDir); err == nil ||
		!strings.Contains(out, "records 78 to 164 are lost") || err.Error() != "damaged places found: 1" {
		t.Errorf("%v:\n%s", err, out)
	}
	if out, err := run(t, "records", "verify", filepath.Join(incidentDir, "n1")); err != nil {
		t.Errorf("%v:\n%s", err, out)
	}
	if out, err := run(t, "records", "ls", "--json", incidentDir); err != nil || strings.Count(out, `"instance"`) != 4 {
		t.Errorf("%v:\n%s", err, out)
	}
	if out, err := run(t, "records", "cat", "--from", "soon", incidentDir); err == nil || !strings.Contains(err.Error(), "no time") {
		t.Errorf("%v:\n%s", err, out)
	}
	// A flipped bit is reported with the offset of the damage.
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(filepath.Join(incidentDir, "n2"))); err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob(filepath.Join(dir, "*.rec"))
	if err != nil || len(files) != 1 {
		t.Fatal(files, err)
	}
	b, err := os.ReadFile(files[0])
	if err != nil {
		t.Fatal(err)
	}
	b[600] ^= 4
	if err := os.WriteFile(files[0], b, 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := run(t, "records", "verify", dir); err == nil ||
		!strings.Contains(out, " at byte 5") || !strings.Contains(out, "damaged") {
		t.Errorf("%v:\n%s", err, out)
	}
}

func TestReport(t *testing.T) {
	dir := t.TempDir()
	page, obj := filepath.Join(dir, "r.html"), filepath.Join(dir, "r.json")
	if out, err := run(t, "report", incidentDir, "-o", page, "--json", obj); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	if b, err := os.ReadFile(page); err != nil || !bytes.Contains(b, []byte("</html>")) {
		t.Error(err)
	}
	if b, err := os.ReadFile(obj); err != nil || !json.Valid(b) {
		t.Error(err)
	}
	if _, err := run(t, "report", incidentDir); err == nil {
		t.Error("report succeeded without an output file")
	}
	if _, err := run(t, "report", t.TempDir(), "-o", page); err == nil || !strings.Contains(err.Error(), "no records") {
		t.Error(err)
	}
}

// Every command has a short description and an example.
func TestEveryCommandHasHelp(t *testing.T) {
	var check func(c *cobra.Command)
	check = func(c *cobra.Command) {
		if c.Short == "" || c.Example == "" {
			t.Errorf("%s has no short description or no example", c.CommandPath())
		}
		for _, subcommand := range c.Commands() {
			check(subcommand)
		}
	}
	check(newRootCommand())
}
