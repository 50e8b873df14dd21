// Package revisiontest creates git repositories for tests of package revision and of its users.
package revisiontest

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// A Repository is a git repository in the temporary directory of a test.
type Repository struct {
	Dir string
	t   testing.TB
}

// New creates an empty repository, which is removed when the test ends.
func New(t testing.TB) *Repository {
	t.Helper()
	r := &Repository{Dir: t.TempDir(), t: t}
	r.Git("init", "--quiet")
	return r
}

// Commit creates a commit that contains exactly the given files, by path, and returns its hash.
func (r *Repository) Commit(files map[string]string) string {
	r.t.Helper()
	r.Git("rm", "-r", "-f", "--quiet", "--ignore-unmatch", "--", ".")
	for name, text := range files {
		path := filepath.Join(r.Dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			r.t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			r.t.Fatal(err)
		}
	}
	r.Git("add", "--all")
	r.Git("-c", "user.name=test", "-c", "user.email=test@localhost", "-c", "commit.gpgsign=false",
		"commit", "--quiet", "--message", "Next")
	return r.Git("rev-parse", "HEAD")
}

// Git runs git in the repository and returns its output without surrounding white space.
func (r *Repository) Git(args ...string) string {
	r.t.Helper()
	command := exec.CommandContext(r.t.Context(), "git", args...)
	command.Dir = r.Dir
	output, err := command.CombinedOutput()
	if err != nil {
		r.t.Fatalf("git %s: %v\n%s", args[0], err, output)
	}
	return strings.TrimSpace(string(output))
}
