// Package base builds the laboratory's program round an earlier commit of the repository, so that two
// versions of the product can play the same days. The laboratory itself is always that of today: its
// packages are laid over the old ones in a work tree of their own, which is removed after.
package base

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// overlay is what comes from today: the laboratory and what it stands on. The product's own parts,
// core and module, stay as they were.
var overlay = []string{"internal/lab", "cmd/olivelab", "internal/cli", "internal/logging", "internal/svg", "go.mod", "go.sum"}

// A Build is a program made of an earlier commit.
type Build struct {
	Program string
	Commit  string
	dir     string
	repo    string
}

// module is the decision module's file.
const module = "internal/admission/controller.go"

// Make builds cmd/olivelab with core and module of a revision of the repository at repo; with moduleOnly
// all but the module is of today's HEAD, so that modules from before the core's present form can play.
func Make(ctx context.Context, repo, rev string, moduleOnly bool) (*Build, error) {
	top, err := git(ctx, repo, "rev-parse", "--show-toplevel")
	if err != nil {
		return nil, err
	}
	commit, err := git(ctx, top, "rev-parse", "--verify", rev+"^{commit}")
	if err != nil {
		return nil, fmt.Errorf("base: %q names no commit: %w", rev, err)
	}
	dir, err := os.MkdirTemp("", "olivelab-base-")
	if err != nil {
		return nil, fmt.Errorf("base: %w", err)
	}
	b := &Build{Commit: commit, dir: dir, repo: top, Program: filepath.Join(dir, "olivelab")}
	tree := filepath.Join(dir, "tree")
	at := commit
	if moduleOnly {
		at = "HEAD"
	}
	if _, err := git(ctx, top, "worktree", "add", "--detach", "--force", tree, at); err != nil {
		return nil, errors.Join(err, b.Remove())
	}
	if moduleOnly {
		text, err := git(ctx, top, "show", commit+":"+module)
		if err == nil {
			err = os.WriteFile(filepath.Join(tree, module), []byte(text+"\n"), 0o644)
		}
		if err != nil {
			return nil, errors.Join(fmt.Errorf("base: %w", err), b.Remove())
		}
	}
	for _, path := range overlay {
		if err := lay(filepath.Join(top, path), filepath.Join(tree, path)); err != nil {
			return nil, errors.Join(fmt.Errorf("base: %w", err), b.Remove())
		}
	}
	if _, err := os.Stat(filepath.Join(tree, "internal/overload")); errors.Is(err, fs.ErrNotExist) {
		// Controllers of that commit share nothing: what has them share is left out.
		if err := os.Remove(filepath.Join(tree, "cmd/olivelab/share.go")); err != nil {
			return nil, errors.Join(fmt.Errorf("base: %w", err), b.Remove())
		}
	}
	c := exec.CommandContext(ctx, "go", "build", "-mod=mod", "-o", b.Program, "./cmd/olivelab")
	c.Dir = tree
	if out, err := c.CombinedOutput(); err != nil {
		text := strings.TrimSpace(string(out))
		return nil, errors.Join(fmt.Errorf("base: %.12s does not build with today's laboratory: %w\n%s", commit, err, text[:min(len(text), 2000)]), b.Remove())
	}
	return b, nil
}

// Remove takes the build and its work tree away.
func (b *Build) Remove() error {
	_, err := git(context.Background(), b.repo, "worktree", "remove", "--force", filepath.Join(b.dir, "tree"))
	if e := os.RemoveAll(b.dir); e != nil {
		err = errors.Join(err, e)
	}
	return err
}

func git(ctx context.Context, dir string, args ...string) (string, error) {
	c := exec.CommandContext(ctx, "git", args...)
	c.Dir = dir
	out, err := c.Output()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return "", fmt.Errorf("git %s: %s", args[0], strings.TrimSpace(string(exit.Stderr)))
	}
	if err != nil {
		return "", fmt.Errorf("git %s: %w", args[0], err)
	}
	return strings.TrimSpace(string(out)), nil
}

// lay puts a file or folder in the place of another.
func lay(from, to string) error {
	info, err := os.Stat(from)
	if err != nil {
		return err
	}
	if !info.IsDir() {
		text, err := os.ReadFile(from)
		if err != nil {
			return err
		}
		return os.WriteFile(to, text, 0o644)
	}
	if err := os.RemoveAll(to); err != nil {
		return err
	}
	return filepath.WalkDir(from, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(from, path)
		if err != nil {
			return err
		}
		if d.IsDir() {
			return os.MkdirAll(filepath.Join(to, rel), 0o755)
		}
		if strings.HasSuffix(path, "_test.go") {
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(to, rel), text, 0o644)
	})
}
