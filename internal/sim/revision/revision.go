// Package revision builds cmd/olivesim with the product of an earlier commit of the repository, so that two versions
// of the product can run the same scenarios and seeds. It builds in a separate git work tree and does not change the
// repository's own work tree and index.
package revision

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

// programPackage is the directory of the simulator's command.
const programPackage = "cmd/olivesim"

// formerProgramPackage is the directory of the command in commits from before it was renamed.
const formerProgramPackage = "cmd/olivelab"

// maxBuildOutput is the maximum number of bytes of a failed build's output that an error includes.
const maxBuildOutput = 2000

// Method says which simulator is built with the product of a commit.
type Method int

const (
	// CurrentSimulator builds the product of the commit with the simulator of the repository's work tree.
	CurrentSimulator Method = iota
	// OwnSimulator builds the product of the commit with the simulator of the commit. It is used for commits with
	// another module path, whose packages the current simulator cannot import.
	OwnSimulator
)

// String describes the method in messages.
func (m Method) String() string {
	switch m {
	case CurrentSimulator:
		return "built with the current simulator"
	case OwnSimulator:
		return "built with its own simulator, since its module path differs from the current one"
	default:
		return fmt.Sprintf("Method(%d)", int(m))
	}
}

// Options specify what to build.
type Options struct {
	Repository string // any directory in the repository
	Revision   string // a commit, branch or tag
	// PolicyOnly takes only the decision module from the revision and the rest of the product from HEAD.
	PolicyOnly bool
}

// A ModulePathError reports that the decision module of a commit cannot be built into the current product, because
// the two have different module paths.
type ModulePathError struct {
	Commit  string // hash
	Path    string // module path of the commit
	Current string // module path of the repository's work tree
}

// Error implements error. The message names the alternative.
func (e *ModulePathError) Error() string {
	return fmt.Sprintf("the decision module of %.12s cannot be built into the current product: its module path is %s, "+
		"the current one is %s; compare with the whole commit instead (without --module)", e.Commit, e.Path, e.Current)
}

// A Build is a program that was built from an earlier commit. Remove deletes it.
type Build struct {
	Program string // path of the executable file
	Commit  string // hash
	Method  Method

	repository string // top directory of the repository
	directory  string // contains the program and the work tree
}

// New builds the program for a revision, with the current simulator if the revision has the current module path and
// with its own simulator otherwise. With PolicyOnly, a different module path causes a *ModulePathError.
func New(ctx context.Context, o Options) (*Build, error) {
	top, err := git(ctx, o.Repository, "rev-parse", "--show-toplevel")
	if err != nil {
		return nil, err
	}
	commit, err := git(ctx, top, "rev-parse", "--verify", o.Revision+"^{commit}")
	if err != nil {
		return nil, fmt.Errorf("%q is not a commit: %w", o.Revision, err)
	}
	method, err := chooseMethod(ctx, top, commit, o.PolicyOnly)
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "olivesim-revision-")
	if err != nil {
		return nil, fmt.Errorf("create a directory for the build: %w", err)
	}
	b := &Build{
		Program:    filepath.Join(directory, "olivesim"),
		Commit:     commit,
		Method:     method,
		repository: top,
		directory:  directory,
	}
	if err := b.make(ctx, o.PolicyOnly); err != nil {
		return nil, errors.Join(err, b.Remove())
	}
	return b, nil
}

// Remove deletes the program and the work tree.
func (b *Build) Remove() error {
	var worktreeErr error
	if _, err := os.Stat(b.tree()); err == nil {
		_, worktreeErr = git(context.Background(), b.repository, "worktree", "remove", "--force", b.tree())
	}
	return errors.Join(worktreeErr, os.RemoveAll(b.directory))
}

// chooseMethod chooses the method by comparing the module path of the commit with the current one.
func chooseMethod(ctx context.Context, top, commit string, policyOnly bool) (Method, error) {
	currentFile, err := os.ReadFile(filepath.Join(top, "go.mod"))
	if err != nil {
		return 0, fmt.Errorf("read the current module path: %w", err)
	}
	commitFile, err := git(ctx, top, "show", commit+":go.mod")
	if err != nil {
		return 0, fmt.Errorf("read the module path of %.12s: %w", commit, err)
	}
	current, path := modulePath(string(currentFile)), modulePath(commitFile)
	switch {
	case path == current:
		return CurrentSimulator, nil
	case policyOnly:
		return 0, &ModulePathError{Commit: commit, Path: path, Current: current}
	default:
		return OwnSimulator, nil
	}
}

// modulePath returns the module path, given the text of a go.mod file, or "" if there is none.
func modulePath(goMod string) string {
	for line := range strings.Lines(goMod) {
		fields := strings.Fields(line)
		if len(fields) >= 2 && fields[0] == "module" {
			return strings.Trim(fields[1], `"`)
		}
	}
	return ""
}

func (b *Build) tree() string { return filepath.Join(b.directory, "tree") }

// make creates the work tree and builds the program in it.
func (b *Build) make(ctx context.Context, policyOnly bool) error {
	checkout := b.Commit
	if policyOnly {
		checkout = "HEAD"
	}
	if _, err := git(ctx, b.repository, "worktree", "add", "--detach", "--force", b.tree(), checkout); err != nil {
		return err
	}
	if b.Method == OwnSimulator {
		return b.compileOwn(ctx)
	}
	if policyOnly {
		if err := replacePolicy(ctx, b.tree(), b.Commit); err != nil {
			return err
		}
	}
	if err := overlaySimulator(b.repository, b.tree()); err != nil {
		return fmt.Errorf("copy the current simulator to %.12s: %w", b.Commit, err)
	}
	// The current go.mod may lack modules that only the product of the commit requires; -mod=mod adds them.
	return b.compile(ctx, programPackage, "-mod=mod")
}

// compileOwn builds the simulator of the commit itself.
func (b *Build) compileOwn(ctx context.Context) error {
	for _, program := range []string{programPackage, formerProgramPackage} {
		_, err := os.Stat(filepath.Join(b.tree(), program))
		if err == nil {
			return b.compile(ctx, program)
		}
		if !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return fmt.Errorf("%.12s has no simulator (%s); compare with a later commit", b.Commit, programPackage)
}

// compile builds a program in the work tree, with additional flags for go build.
func (b *Build) compile(ctx context.Context, program string, flags ...string) error {
	args := append([]string{"build"}, flags...)
	args = append(args, "-o", b.Program, "./"+program)
	command := exec.CommandContext(ctx, "go", args...)
	command.Dir = b.tree()
	output, err := command.CombinedOutput()
	if err != nil {
		text := strings.TrimSpace(string(output))
		text = text[:min(len(text), maxBuildOutput)]
		return fmt.Errorf("%.12s, %v, does not compile: %w\n%s", b.Commit, b.Method, err, text)
	}
	return nil
}

// git runs git in a directory and returns its output without surrounding white space.
func git(ctx context.Context, directory string, args ...string) (string, error) {
	command := exec.CommandContext(ctx, "git", args...)
	command.Dir = directory
	output, err := command.Output()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return "", fmt.Errorf("git %s: %s", args[0], strings.TrimSpace(string(exit.Stderr)))
	}
	if err != nil {
		return "", fmt.Errorf("git %s: %w", args[0], err)
	}
	return strings.TrimSpace(string(output)), nil
}
