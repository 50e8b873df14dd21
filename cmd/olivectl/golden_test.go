package main

import (
	"os"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"olivedale/internal/goldentest"
)

// compileTime matches the only part of the output that varies between runs.
var compileTime = regexp.MustCompile(`compiled in \S+`)

// workOnCopies changes to a directory with copies of the test data, so that no output contains a path of the source
// tree, and returns the directory of the golden files.
func workOnCopies(t *testing.T) (golden string) {
	t.Helper()
	golden, err := filepath.Abs(filepath.Join("testdata", "golden"))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	for to, from := range map[string]string{
		"incident":  incidentDir,
		"all-kinds": "../../internal/record/testdata/golden/store",
		"rules":     "../../internal/numbering/testdata/golden",
	} {
		if err := os.CopyFS(filepath.Join(dir, to), os.DirFS(from)); err != nil {
			t.Fatal(err)
		}
	}
	t.Chdir(dir)
	return golden
}

// The output of commands that read files matches the golden files.
func TestGoldenOutputs(t *testing.T) {
	golden := workOnCopies(t)
	for _, c := range []struct {
		file, args, err string
	}{
		{"records-ls.json", "records ls --json incident all-kinds", ""},
		{"records-ls.txt", "records ls incident all-kinds", ""},
		{"records-cat.jsonl", "records cat --json incident", ""},
		{"records-cat.txt", "records cat --kind answer,gap --instance n0 incident", ""},
		{"records-cat-all-kinds.jsonl", "records cat --json all-kinds", ""},
		{"records-verify.json", "records verify --json incident all-kinds", "damaged places found: 1"},
		{"records-verify.txt", "records verify incident all-kinds", "damaged places found: 1"},
		{"report.json", "report --json - incident", ""},
		{"numbers-check.txt", "numbers check rules/rules.toml rules/next.toml", ""},
		{"numbers-show.json", "numbers show --json --explain --file rules/rules.toml --at 2026-12-25T15:00 --call c-1 9", ""},
		{"numbers-show-moved.json", "numbers show --json --file rules/rules.toml --at 2026-12-01T15:00 --moved 56225550101 +56912345678", ""},
		{"numbers-show-refused.json", "numbers show --json --explain --file rules/rules.toml --at 2026-12-01T15:00 --class alarm +56901234567", ""},
		{"numbers-diff.json", "numbers diff --json rules/rules.toml rules/next.toml", ""},
	} {
		out, err := run(t, strings.Fields(c.args)...)
		if c.err == "" && err != nil || c.err != "" && (err == nil || err.Error() != c.err) {
			t.Errorf("%s: %v, want error %q", c.args, err, c.err)
		}
		out, _, _ = strings.Cut(out, "Error: ") // the error text that cobra appends is not compared
		goldentest.CompareFile(t, filepath.Join(golden, c.file), []byte(compileTime.ReplaceAllString(out, "compiled in TIME")))
	}
}

// The command records tail prints the latest records and exits on SIGINT.
func TestGoldenTail(t *testing.T) {
	golden := workOnCopies(t)
	caught := make(chan os.Signal, 1) // an early signal, before the command handles it, must not kill the test process
	signal.Notify(caught, syscall.SIGINT)
	defer signal.Stop(caught)
	done := make(chan struct{})
	go func() {
		defer close(done)
		out, err := run(t, "records", "tail", "--json", "-n", "5", "incident")
		if err != nil {
			t.Error(err)
		}
		goldentest.CompareFile(t, filepath.Join(golden, "records-tail.jsonl"), []byte(out))
	}()
	for {
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
			if err := syscall.Kill(os.Getpid(), syscall.SIGINT); err != nil {
				t.Fatal(err)
			}
		}
	}
}
