package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"olivedale/internal/sim/experiment"
)

const quietScenario = "../../deploy/sim/quiet.toml"

// execute runs a command and returns what it wrote to standard output.
func execute(c *cobra.Command, args ...string) (string, error) {
	var stdout bytes.Buffer
	c.SilenceUsage = true
	c.SilenceErrors = true
	c.SetOut(&stdout)
	c.SetErr(&bytes.Buffer{})
	c.SetArgs(args)
	err := c.Execute()
	return stdout.String(), err
}

// An invalid value of a flag is an error that names the flag.
func TestFlagErrors(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		command *cobra.Command
		args    []string
		want    string
	}{
		"days":         {runCommand(), []string{quietScenario, "--days", "0"}, "--days 0"},
		"mode":         {runCommand(), []string{quietScenario, "--floor", "paper"}, "--floor is virtual or sockets"},
		"call":         {runCommand(), []string{quietScenario, "--call", "c1"}, "--days 1"},
		"shrink mode":  {shrinkCommand(), []string{quietScenario, "--floor", "paper"}, "--floor is virtual or sockets"},
		"faults":       {runCommand(), []string{quietScenario, "--floor", "sockets", "--faults", "65"}, "--faults is 0 to 64"},
		"tries":        {shrinkCommand(), []string{quietScenario, "--floor", "sockets", "--tries", "0"}, "--tries is 1 to 20"},
		"schedule":     {shrinkCommand(), []string{quietScenario, "--floor", "sockets"}, "-o names the file"},
		"sweep values": {sweepCommand(), []string{quietScenario, "--vary", "callers.load"}, "--values"},
		"sweep pair": {
			sweepCommand(),
			[]string{quietScenario, "--vary", "callers.load", "--values", "1", "--beside", "fleet.zones"},
			"--beside and --besides",
		},
		"figure":      {sweepCommand(), []string{quietScenario, "--figure", "beauty"}, `"beauty"`},
		"report":      {reportCommand(), []string{"x.json"}, "-o names the file"},
		"curve":       {curveCommand(), nil, "-o names the file"},
		"base":        {compareCommand(), []string{quietScenario}, "--base"},
		"exchanges":   {serveCommand(), []string{"--exchanges", "257"}, "--exchanges is 1 to 256"},
		"load target": {loadCommand(), nil, "--to"},
		"load rate":   {loadCommand(), []string{"--to", "127.0.0.1:1", "--rate", "0"}, "--rate"},
		"load length": {loadCommand(), []string{"--to", "127.0.0.1:1", "--for", "2h"}, "--for"},
		"demo rate":   {demoCommand(), []string{"--rate", "1001"}, "--rate"},
		"hold":        {holdCommand(), []string{"pipe", "1"}, "process id"},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := execute(c.command, c.args...); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v, want one with %q", err, c.want)
			}
		})
	}
}

// A sweep over two keys prints a row for each pair of values, and its results file can be rendered as a page.
func TestSweepAndReport(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	short := filepath.Join(dir, "short.toml")
	if err := os.WriteFile(short, []byte("name = \"short\"\nlength = \"2s\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	results := filepath.Join(dir, "results.json")
	table, err := execute(sweepCommand(), short, "--vary", "callers.load", "--values", "0.5, 1",
		"--beside", "fleet.controllers", "--besides", "2,3", "--days", "2", "-o", results)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(table), "\n")
	if len(lines) != 5 || !strings.HasPrefix(lines[0], "CALLERS.LOAD  FLEET.CONTROLLERS  SCORE") {
		t.Errorf("table:\n%s", table)
	}
	stored, err := experiment.Load(results)
	if err != nil {
		t.Fatal(err)
	}
	if len(stored.Points) != 4 || stored.Points[3].Value != "1" || stored.Points[3].Beside != "3" {
		t.Errorf("%d points, the last for %+v", len(stored.Points), stored.Points[len(stored.Points)-1])
	}
	page := filepath.Join(dir, "page.html")
	if _, err := execute(reportCommand(), results, "-o", page); err != nil {
		t.Fatal(err)
	}
	html, err := os.ReadFile(page)
	if err != nil || !bytes.Contains(html, []byte("by fleet.controllers")) {
		t.Errorf("page of %d bytes, %v", len(html), err)
	}
}

// The JSON of load has the keys that scripts read.
func TestLoadSummaryKeys(t *testing.T) {
	t.Parallel()
	text, err := json.Marshal(loadSummary{Sent: 1})
	if err != nil {
		t.Fatal(err)
	}
	want := `{"Sent":1,"Stood":0,"Refused":0,"Failed":0,"GaveUp":0,"Lost":0,"NotSent":0,"P50":"","P99":"","P999":""}`
	if string(text) != want {
		t.Errorf("%s, want %s", text, want)
	}
}
