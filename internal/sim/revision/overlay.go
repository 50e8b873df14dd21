package revision

import (
	"context"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/BurntSushi/toml"
)

// simulatorPaths lists the files and directories that a build takes from the repository's work tree: the simulator and
// the packages that it needs in their current version.
var simulatorPaths = []string{
	"internal/sim",
	programPackage,
	"internal/cli",
	"internal/logging",
	"internal/svg",
	"go.mod",
	"go.sum",
}

// deployFile lists the files of the decision module, under the key "policy".
const deployFile = "deploy/balancer.toml"

// overlaySimulator replaces the simulator in a work tree with that of the repository.
func overlaySimulator(repository, tree string) error {
	for _, path := range simulatorPaths {
		if err := replacePath(filepath.Join(repository, path), filepath.Join(tree, path)); err != nil {
			return err
		}
	}
	return nil
}

// replacePath replaces a file or directory with a copy of another. It does not copy the tests of a directory.
func replacePath(from, to string) error {
	info, err := os.Stat(from)
	if err != nil {
		return err
	}
	if !info.IsDir() {
		return copyFile(from, to)
	}
	if err := os.RemoveAll(to); err != nil {
		return err
	}
	return filepath.WalkDir(from, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(from, path)
		if err != nil {
			return err
		}
		target := filepath.Join(to, relative)
		switch {
		case entry.IsDir():
			return os.MkdirAll(target, 0o755)
		case strings.HasSuffix(path, "_test.go"):
			return nil
		default:
			return copyFile(path, target)
		}
	})
}

func copyFile(from, to string) error {
	content, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	return os.WriteFile(to, content, 0o644)
}

// replacePolicy replaces the decision module in a work tree with that of a commit. The two may consist of different
// files.
func replacePolicy(ctx context.Context, tree, commit string) error {
	current, err := os.ReadFile(filepath.Join(tree, deployFile))
	if err != nil {
		return fmt.Errorf("list the files of the current decision module: %w", err)
	}
	currentFiles, err := policyFiles(string(current))
	if err != nil {
		return fmt.Errorf("list the files of the current decision module: %w", err)
	}
	earlier, err := git(ctx, tree, "show", commit+":"+deployFile)
	if err != nil {
		return fmt.Errorf("list the files of the decision module of %.12s: %w", commit, err)
	}
	earlierFiles, err := policyFiles(earlier)
	if err != nil {
		return fmt.Errorf("list the files of the decision module of %.12s: %w", commit, err)
	}
	if _, err := git(ctx, tree, append([]string{"rm", "-r", "--quiet", "--"}, currentFiles...)...); err != nil {
		return err
	}
	_, err = git(ctx, tree, append([]string{"checkout", commit, "--"}, earlierFiles...)...)
	return err
}

// policyFiles returns the paths of the files of the decision module, given the text of a deploy file.
func policyFiles(deployText string) ([]string, error) {
	var deploy struct {
		Policy []string `toml:"policy"`
	}
	if _, err := toml.Decode(deployText, &deploy); err != nil {
		return nil, fmt.Errorf("%s: %w", deployFile, err)
	}
	if len(deploy.Policy) == 0 {
		return nil, fmt.Errorf("%s: policy lists no files", deployFile)
	}
	return deploy.Policy, nil
}
