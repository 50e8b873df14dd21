package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"olivedale/internal/sim/experiment"
	"olivedale/internal/sim/result"
	"olivedale/internal/sim/revision"
	"olivedale/internal/sim/revision/revisiontest"
)

// printsGolden is the source of a program that prints the golden results of a day, whatever its arguments.
const printsGolden = `package main

import (
	_ "embed"
	"os"
)

//go:embed results.json
var results []byte

func main() { os.Stdout.Write(results) }
`

// A commit with another module path is run with its own simulator, and its results are compared.
func TestCompareWithOtherModulePath(t *testing.T) {
	t.Parallel()
	repository, base := newRenamedRepository(t)
	c := compareCommand()
	var stdout, stderr bytes.Buffer
	c.SetOut(&stdout)
	c.SetErr(&stderr)
	c.SetArgs([]string{
		"../../deploy/sim/sever.toml", "--repository", repository, "--base", base, "--seed", "7", "--days", "1", "--json",
	})
	if err := c.Execute(); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(stderr.String(), "built with its own simulator") {
		t.Errorf("standard error does not say which simulator was built: %q", stderr.String())
	}
	var comparisons []comparison
	if err := json.Unmarshal(stdout.Bytes(), &comparisons); err != nil {
		t.Fatal(err)
	}
	if len(comparisons) != 1 || comparisons[0].Base != base || len(comparisons[0].Differences) != len(result.Figures) {
		t.Fatalf("comparisons: %+v", comparisons)
	}
	for _, d := range comparisons[0].Differences {
		if d.Verdict != experiment.Same || d.Base != d.Now {
			t.Errorf("%s: %v with the same program before, %v now: %s", d.Figure, d.Base, d.Now, d.Verdict)
		}
	}
}

// The decision module of a commit with another module path is rejected with an error that names the commit and
// both paths.
func TestCompareModuleOfOtherModulePath(t *testing.T) {
	t.Parallel()
	repository, base := newRenamedRepository(t)
	c := compareCommand()
	c.SilenceUsage = true
	c.SetErr(&bytes.Buffer{})
	c.SetArgs([]string{"../../deploy/sim/sever.toml", "--repository", repository, "--base", base, "--module"})
	err := c.Execute()
	var pathError *revision.ModulePathError
	if !errors.As(err, &pathError) {
		t.Fatalf("error %v, want a ModulePathError", err)
	}
	if pathError.Path != "formerly" || pathError.Current != "fixture" || pathError.Commit != base {
		t.Errorf("error names %+v", pathError)
	}
}

// newRenamedRepository creates a repository whose module path changed after a commit, and returns its directory
// and that commit. The commit's program prints the results of the golden day "sever".
func newRenamedRepository(t *testing.T) (directory, base string) {
	t.Helper()
	golden, err := os.ReadFile(filepath.Join("testdata", "golden", "sever.json"))
	if err != nil {
		t.Fatal(err)
	}
	repository := revisiontest.New(t)
	base = repository.Commit(map[string]string{
		"go.mod":                    "module formerly\n\ngo 1.26.0\n",
		"cmd/olivelab/main.go":      printsGolden,
		"cmd/olivelab/results.json": string(golden),
	})
	repository.Commit(map[string]string{"go.mod": "module fixture\n\ngo 1.26.0\n"})
	return repository.Dir, base
}
