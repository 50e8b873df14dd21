package main

import (
	"bytes"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"olivedale/internal/cli"
	"olivedale/internal/goldentest"
)

// output executes a command and returns its output with the error as the last line.
func output(c *cobra.Command, args ...string) []byte {
	var out bytes.Buffer
	c.SilenceErrors, c.SilenceUsage = true, true
	c.SetOut(&out)
	c.SetErr(&out)
	c.SetArgs(append([]string{}, args...)) // with nil, cobra uses the arguments of the test binary
	if err := c.Execute(); err != nil {
		out.WriteString(err.Error() + "\n")
	}
	return out.Bytes()
}

// The output of check for valid, invalid and missing files matches the golden file.
func TestGoldenCheck(t *testing.T) {
	golden, err := filepath.Abs(filepath.Join("testdata", "golden"))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(golden)); err != nil {
		t.Fatal(err)
	}
	t.Chdir(dir)
	var all []byte
	for _, file := range []string{"good.toml", "unknown-key.toml", "bad-value.toml", "absent.toml"} {
		all = append(all, output(checkCommand(), file)...)
	}
	goldentest.CompareFile(t, filepath.Join(golden, "check.txt"), append(all, output(checkCommand())...))
}

// version prints one line that ends with the version of the toolchain; the rest differs between builds.
func TestGoldenVersion(t *testing.T) {
	out := string(output(cli.VersionCommand()))
	if !strings.HasSuffix(out, " "+runtime.Version()+"\n") || strings.Count(out, "\n") != 1 {
		t.Errorf("version printed %q", out)
	}
}
