package admission

import (
	"bufio"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

const (
	maxPolicyLines   = 890 // non-blank lines of all files under policy, comments included
	maxPolicyColumns = 110 // columns of a line, a tab being four
	packageDir       = "internal/admission"
)

// filesWithoutDecisions are the files that are not listed under policy: documentation, the types of the interface,
// data structures, and the Engine wrapper. TestUnlistedFilesDecideNothing restricts their contents.
var filesWithoutDecisions = []string{
	"doc.go", "settings.go", "events.go", "actions.go", "overloadcontrol.go",
	"engine.go", "window.go", "callstate.go", "serverstate.go",
}

// policyFiles returns the files of this package that deploy/balancer.toml lists under policy.
func policyFiles(t *testing.T) []string {
	t.Helper()
	var deployment struct{ Policy []string }
	if _, err := toml.DecodeFile("../../deploy/balancer.toml", &deployment); err != nil {
		t.Fatal(err)
	}
	if len(deployment.Policy) == 0 {
		t.Fatal("deploy/balancer.toml lists no files under policy")
	}
	var files []string
	for _, file := range deployment.Policy {
		if path.Dir(file) != packageDir {
			t.Errorf("policy lists %s, which is not in %s", file, packageDir)
		}
		files = append(files, path.Base(file))
	}
	return files
}

func sourceFiles(t *testing.T) []string {
	t.Helper()
	all, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	return slices.DeleteFunc(all, func(file string) bool { return strings.HasSuffix(file, "_test.go") })
}

// The files listed under policy have at most 890 non-blank lines in total, of at most 110 columns each.
func TestModuleSize(t *testing.T) {
	total := 0
	for _, file := range policyFiles(t) {
		total += countLines(t, file)
	}
	if total > maxPolicyLines {
		t.Errorf("the files listed under policy have %d non-blank lines, want at most %d", total, maxPolicyLines)
	}
}

// countLines returns the number of non-blank lines of a file and reports lines that are too long.
func countLines(t *testing.T, file string) int {
	t.Helper()
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	lines, count := bufio.NewScanner(f), 0
	for lines.Scan() {
		text := strings.ReplaceAll(lines.Text(), "\t", "    ")
		if strings.TrimSpace(text) != "" {
			count++
		}
		if len(text) > maxPolicyColumns {
			t.Errorf("%s: line of %d columns: %s", file, len(text), text)
		}
	}
	if err := lines.Err(); err != nil {
		t.Fatal(err)
	}
	return count
}

// Each file of the package is either listed under policy or known to contain no decisions.
func TestPolicyListsEachFile(t *testing.T) {
	listed := policyFiles(t)
	for _, file := range sourceFiles(t) {
		isListed, isExempt := slices.Contains(listed, file), slices.Contains(filesWithoutDecisions, file)
		if isListed == isExempt {
			t.Errorf("%s: listed under policy: %v, without decisions: %v; want exactly one", file, isListed, isExempt)
		}
	}
	if unique := slices.Compact(slices.Sorted(slices.Values(listed))); len(unique) != len(listed) {
		t.Errorf("policy lists a file twice: %v", listed)
	}
}

// Files that are not listed under policy do not access a StateMachine and do not use random numbers. The exception
// is engine.go, which may call a StateMachine but must not declare methods of it.
func TestUnlistedFilesDecideNothing(t *testing.T) {
	for _, file := range filesWithoutDecisions {
		tree, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		for _, imported := range tree.Imports {
			if strings.HasPrefix(strings.Trim(imported.Path.Value, `"`), "math/rand") {
				t.Errorf("%s imports %s", file, imported.Path.Value)
			}
		}
		for _, declaration := range tree.Decls {
			function, isFunction := declaration.(*ast.FuncDecl)
			if !isFunction {
				continue
			}
			if receiver := receiverType(function); receiver == "StateMachine" {
				t.Errorf("%s declares %s of StateMachine", file, function.Name.Name)
			}
			if file != "engine.go" && mentions(function, "StateMachine") {
				t.Errorf("%s: %s uses a StateMachine", file, function.Name.Name)
			}
		}
	}
}

// receiverType returns the name of a method's receiver type, "" for a function without a receiver.
func receiverType(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return ""
	}
	receiver := function.Recv.List[0].Type
	if pointer, isPointer := receiver.(*ast.StarExpr); isPointer {
		receiver = pointer.X
	}
	name, isName := receiver.(*ast.Ident)
	if !isName {
		return ""
	}
	return name.Name
}

func mentions(node ast.Node, name string) (found bool) {
	ast.Inspect(node, func(n ast.Node) bool {
		if identifier, isIdentifier := n.(*ast.Ident); isIdentifier && identifier.Name == name {
			found = true
		}
		return !found
	})
	return found
}
