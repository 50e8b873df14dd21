package revision

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"olivedale/internal/sim/revision/revisiontest"
)

// version defines the content of a commit: a product and a simulator whose program prints their labels.
type version struct {
	modulePath  string
	label       string
	policyFiles []string // of the decision module; the first contains the label
}

// files returns the contents of the files of the version by path.
func (v version) files() map[string]string {
	files := map[string]string{
		"go.mod":                      "module " + v.modulePath + "\n\ngo 1.26.0\n",
		"go.sum":                      "",
		"internal/cli/cli.go":         "package cli\n",
		"internal/logging/logging.go": "package logging\n",
		"internal/svg/svg.go":         "package svg\n",
		"internal/sim/sim.go":         fmt.Sprintf("package sim\n\nconst Label = %q\n", v.label),
		"internal/sim/sim_test.go":    "package sim\n\nthis must not be copied",
		"internal/call/call.go":       fmt.Sprintf("package call\n\nconst Label = %q\n", v.label),
		"cmd/olivesim/main.go": strings.ReplaceAll(`package main

import (
	"fmt"

	"PATH/internal/admission"
	"PATH/internal/call"
	"PATH/internal/sim"
)

func main() { fmt.Println("simulator", sim.Label, "product", call.Label, "policy", admission.Label) }
`, "PATH", v.modulePath),
	}
	var list []string
	for i, name := range v.policyFiles {
		list = append(list, fmt.Sprintf("%q", name))
		files[name] = "package admission\n"
		if i == 0 {
			files[name] += fmt.Sprintf("\nconst Label = %q\n", v.label)
		}
	}
	files[deployFile] = "policy = [" + strings.Join(list, ", ") + "]\n"
	return files
}

var (
	controllerFile = []string{"internal/admission/controller.go"}
	splitFiles     = []string{"internal/admission/engine.go", "internal/admission/probe.go"}
)

func TestNew(t *testing.T) {
	t.Parallel()
	current := version{"fixture", "new", splitFiles}
	tests := []struct {
		name       string
		earlier    version
		policyOnly bool
		wantMethod Method
		wantOutput string
	}{
		{
			name:       "same module path",
			earlier:    version{"fixture", "old", controllerFile},
			wantMethod: CurrentSimulator,
			wantOutput: "simulator new product old policy old",
		},
		{
			name:       "decision module only, in different files",
			earlier:    version{"fixture", "old", controllerFile},
			policyOnly: true,
			wantMethod: CurrentSimulator,
			wantOutput: "simulator new product new policy old",
		},
		{
			name:       "different module path",
			earlier:    version{"formerly", "old", controllerFile},
			wantMethod: OwnSimulator,
			wantOutput: "simulator old product old policy old",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			repository := revisiontest.New(t)
			earlier := repository.Commit(test.earlier.files())
			repository.Commit(current.files())
			build, err := New(t.Context(), Options{
				Repository: filepath.Join(repository.Dir, "internal"),
				Revision:   "HEAD~1",
				PolicyOnly: test.policyOnly,
			})
			if err != nil {
				t.Fatal(err)
			}
			if build.Commit != earlier || build.Method != test.wantMethod {
				t.Errorf("build of %s, %v; want %s, %v", build.Commit, build.Method, earlier, test.wantMethod)
			}
			output, err := exec.CommandContext(t.Context(), build.Program).Output()
			if err != nil {
				t.Fatal(err)
			}
			if got := strings.TrimSpace(string(output)); got != test.wantOutput {
				t.Errorf("the program prints %q, want %q", got, test.wantOutput)
			}
			if err := build.Remove(); err != nil {
				t.Error(err)
			}
			if _, err := os.Stat(filepath.Dir(build.Program)); !errors.Is(err, os.ErrNotExist) {
				t.Errorf("Remove left the directory of the build: %v", err)
			}
			checkUnchanged(t, repository)
		})
	}
}

func TestNewErrors(t *testing.T) {
	t.Parallel()
	withoutSimulator := version{"formerly", "old", controllerFile}.files()
	delete(withoutSimulator, "cmd/olivesim/main.go")
	broken := version{"fixture", "old", controllerFile}.files()
	broken["internal/call/call.go"] = "package call\n"
	withoutPolicy := version{"fixture", "old", nil}.files()
	tests := []struct {
		name       string
		earlier    map[string]string
		revision   string
		policyOnly bool
		want       string
	}{
		{"no such commit", withoutPolicy, "nowhere", false, `"nowhere" is not a commit`},
		{"no simulator", withoutSimulator, "HEAD~1", false, "has no simulator (cmd/olivesim)"},
		{"does not compile", broken, "HEAD~1", false, "built with the current simulator, does not compile"},
		{"no policy files", withoutPolicy, "HEAD~1", true, "policy lists no files"},
		{"decision module with a different module path", withoutSimulator, "HEAD~1", true, "without --module"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			repository := revisiontest.New(t)
			repository.Commit(test.earlier)
			repository.Commit(version{"fixture", "new", splitFiles}.files())
			_, err := New(t.Context(), Options{
				Repository: repository.Dir,
				Revision:   test.revision,
				PolicyOnly: test.policyOnly,
			})
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("error %v, want one with %q", err, test.want)
			}
			var pathError *ModulePathError
			if isPathError := errors.As(err, &pathError); isPathError != (test.want == "without --module") {
				t.Errorf("error %v: is a ModulePathError: %v", err, isPathError)
			}
			checkUnchanged(t, repository)
		})
	}
}

func TestModulePath(t *testing.T) {
	t.Parallel()
	for text, want := range map[string]string{
		"module olivedale\n\ngo 1.26.0\n":             "olivedale",
		"// The product.\nmodule \"a/b\" // quoted\n": "a/b",
		"go 1.26.0\n": "",
	} {
		if got := modulePath(text); got != want {
			t.Errorf("module path of %q: %q, want %q", text, got, want)
		}
	}
}

// checkUnchanged checks that a build left no git work tree behind and did not change the repository.
func checkUnchanged(t *testing.T, repository *revisiontest.Repository) {
	t.Helper()
	if trees := repository.Git("worktree", "list"); strings.Count(trees, "\n") != 0 {
		t.Errorf("git work trees were left behind:\n%s", trees)
	}
	if status := repository.Git("status", "--porcelain"); status != "" {
		t.Errorf("the repository was changed:\n%s", status)
	}
}
