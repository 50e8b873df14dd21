// Package revision builds the simulator's program, cmd/olivesim, at an earlier commit of the repository, so that
// two versions of the product can play the same days. It builds in a work tree of its own and leaves the
// repository's work tree and index as they are.
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

// programPackage is the directory of the simulation's program.
const programPackage = "cmd/olivesim"

// formerProgramPackage is that directory in commits from before the program got its name.
const formerProgramPackage = "cmd/olivelab"

// maxBuildOutput bounds the part of a failed build's output that an error quotes, in bytes.
const maxBuildOutput = 2000

// Method is the way in which a program is made of an earlier commit.
type Method int

const (
	// CurrentSimulator puts the simulator's packages of the repository's work tree around the commit's product.
	CurrentSimulator Method = iota
	// OwnSimulator builds the commit's own program. It serves commits from before a change of the module path,
	// whose packages today's simulator cannot import.
	OwnSimulator
)

// String describes the method for messages.
func (m Method) String() string {
	switch m {
	case CurrentSimulator:
		return "built with today's simulator"
	case OwnSimulator:
		return "built with its own simulator, since its module path differs from today's"
	default:
		return fmt.Sprintf("Method(%d)", int(m))
	}
}

// Options say what to build.
type Options struct {
	Repository string // a directory of the repository
	Revision   string // a commit, branch or tag
	// PolicyOnly takes only the decision module from the revision, and all else of the product from HEAD.
	PolicyOnly bool
}

// A ModulePathError says that the decision module of a commit cannot be built into today's product, because
// the two have different module paths.
type ModulePathError struct {
	Commit  string // hash
	Path    string // module path of the commit
	Current string // module path of the repository's work tree
}

// Error names both paths and the alternative.
func (e *ModulePathError) Error() string {
	return fmt.Sprintf("the decision module of %.12s cannot be built into today's product: its module path is %s, "+
		"today's is %s; compare with the whole commit instead (without --module)", e.Commit, e.Path, e.Current)
}

// A Build is a program made of an earlier commit. Remove deletes it.
type Build struct {
	Program string // path of the executable file
	Commit  string // hash
	Method  Method

	repository string // top directory of the repository
	directory  string // holds the program and the work tree
}

// New builds the program of a revision. It takes today's simulator if the revision has today's module path,
// and the revision's own otherwise; with PolicyOnly, another module path is a *ModulePathError.
func New(ctx context.Context, o Options) (*Build, error) {
	top, err := git(ctx, o.Repository, "rev-parse", "--show-toplevel")
	if err != nil {
		return nil, err
	}
	commit, err := git(ctx, top, "rev-parse", "--verify", o.Revision+"^{commit}")
	if err != nil {
		return nil, fmt.Errorf("%q names no commit: %w", o.Revision, err)
	}
	method, err := chooseMethod(ctx, top, commit, o.PolicyOnly)
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "olivesim-revision-")
	if err != nil {
		return nil, fmt.Errorf("make a directory for the build: %w", err)
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

// Remove deletes the program and its work tree.
func (b *Build) Remove() error {
	var worktreeErr error
	if _, err := os.Stat(b.tree()); err == nil {
		_, worktreeErr = git(context.Background(), b.repository, "worktree", "remove", "--force", b.tree())
	}
	return errors.Join(worktreeErr, os.RemoveAll(b.directory))
}

// chooseMethod compares the module path of the commit with that of the repository's work tree.
func chooseMethod(ctx context.Context, top, commit string, policyOnly bool) (Method, error) {
	currentFile, err := os.ReadFile(filepath.Join(top, "go.mod"))
	if err != nil {
		return 0, fmt.Errorf("read today's module path: %w", err)
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

// modulePath returns the module path in the text of a go.mod file, or "" if it has none.
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

// make checks out the work tree and builds the program in it.
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
		return fmt.Errorf("put today's simulator around %.12s: %w", b.Commit, err)
	}
	// The go.mod of today may lack what only the commit's product requires: -mod=mod adds it.
	return b.compile(ctx, programPackage, "-mod=mod")
}

// compileOwn builds the program that the commit itself has.
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
	return fmt.Errorf("%.12s has no simulator (%s): compare with a later commit", b.Commit, programPackage)
}

// compile builds a program in the work tree, with more flags of go build.
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

// git runs git in a directory and returns what it prints, without white space around it.
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
