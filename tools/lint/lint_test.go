package main

import (
	"context"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const configPath = "../lint.toml"

// A seededFile is a file of the test module that violates a rule.
type seededFile struct {
	rule string
	name string // by default a directory and a file named after the rule
	body string // is placed after a documented package clause, unless it has its own package clause
}

var seededFiles = []seededFile{
	{rule: "gofmt", body: "var  X = 1"},
	{rule: "printf", body: `import "fmt"; func init() { fmt.Printf("%d\n", "text") }`},
	{rule: "errorlint", body: `import "io"; func isEnd(err error) bool { return err == io.EOF }`},
	{rule: "exhaustive", body: "type color int\n\nconst (\n\tred color = iota\n\tblue\n)\n\nfunc f(c color) {\n\tswitch c {\n\tcase red:\n\t}\n}"},
	{rule: "U1000", body: "func unused() {}"},
	{rule: "SA4006", body: "func f(g func() int) int {\n\tx := g()\n\tx = g()\n\treturn x\n}"},
	{rule: "ST1000", body: "package p"},
	{rule: "ST1020", body: "// It does things.\nfunc F() {}"},
	{rule: "ST1021", body: "// It is a thing.\ntype T int"},
	{rule: "ST1022", body: "// It is a number.\nvar X = 1"},

	{rule: "argument-limit", body: "func f(a, b, c, d, e, f, g int) {}"},
	{rule: "bare-return", body: "func f() (n int) {\n\tn = 1\n\treturn\n}"},
	{rule: "blank-imports", body: `import _ "embed"`},
	{rule: "bool-literal-in-expr", body: "func f(b bool) bool { return b == true }"},
	{rule: "comment-spacings", body: "//no space before this\nvar x = 1"},
	{rule: "confusing-results", body: "func f() (int, int) { return 1, 2 }"},
	{rule: "context-as-argument", body: "import \"context\"\n\nfunc f(n int, ctx context.Context) {}"},
	{rule: "context-keys-type", body: "import \"context\"\n\nvar x = context.WithValue(context.Background(), \"key\", 1)"},
	{rule: "dot-imports", body: "import . \"fmt\"\n\nvar x = Sprint(1)"},
	{rule: "early-return", body: "func f(b bool) {\n\tif b {\n\t\tprintln(1)\n\t\tprintln(2)\n\t} else {\n\t\treturn\n\t}\n\tprintln(3)\n}"},
	{rule: "empty-block", body: "func f(b bool) {\n\tif b {\n\t}\n}"},
	{rule: "empty-lines", body: "func f() {\n\n\tprintln(1)\n}"},
	{rule: "error-naming", body: "import \"errors\"\n\nvar broken = errors.New(\"broken\")"},
	{rule: "error-return", body: "func f() (error, int) { return nil, 1 }"},
	{rule: "error-strings", body: "import \"errors\"\n\nvar errBroken = errors.New(\"Broken.\")"},
	{rule: "errorf", body: "import (\n\t\"errors\"\n\t\"fmt\"\n)\n\nfunc f() error { return errors.New(fmt.Sprintf(\"%d\", 1)) }"},
	{rule: "exported", body: "func F() {}"},
	{rule: "file-length-limit", body: strings.Repeat("// Another line.\n", 501)},
	{rule: "function-length", body: "func f() {\n" + strings.Repeat("\tprintln(1)\n", 61) + "}"},
	{rule: "function-result-limit", body: "func f() (a int, b string, c bool, d error) { return 1, \"\", true, nil }"},
	{rule: "get-return", body: "func GetX() {}"},
	{rule: "identical-branches", body: "func f(b bool) {\n\tif b {\n\t\tprintln(1)\n\t} else {\n\t\tprintln(1)\n\t}\n}"},
	{rule: "if-return", body: "func g() error { return nil }\n\nfunc f() error {\n\tif err := g(); err != nil {\n\t\treturn err\n\t}\n\treturn nil\n}"},
	{rule: "import-shadowing", body: "import \"fmt\"\n\nfunc f() { fmt.Println() }\n\nfunc g(fmt int) { println(fmt) }"},
	{rule: "increment-decrement", body: "func f(n int) int {\n\tn += 1\n\treturn n\n}"},
	{rule: "indent-error-flow", body: "func f(b bool) int {\n\tif b {\n\t\treturn 1\n\t} else {\n\t\tprintln(1)\n\t}\n\treturn 2\n}"},
	{rule: "line-length-limit", body: "// " + strings.Repeat("a", 118) + "\nvar x = 1"},
	{
		rule: "max-control-nesting",
		body: "func f(b bool) {\n" + strings.Repeat("if b {\n", 5) + "println(1)\n" + strings.Repeat("}\n", 5) + "}",
	},
	{rule: "range", body: "func f(m map[int]int) {\n\tfor k, _ := range m {\n\t\tprintln(k)\n\t}\n}"},
	{rule: "receiver-naming", body: "type thing int\n\nfunc (thing thing) f() { println(thing) }"},
	{rule: "redefines-builtin-id", body: "func f() {\n\tlen := 1\n\tprintln(len)\n}"},
	{rule: "redundant-import-alias", body: "import fmt \"fmt\"\n\nvar x = fmt.Sprint(1)"},
	{rule: "string-of-int", body: "func f(n int) string { return string(n) }"},
	{rule: "struct-tag", body: "type t struct {\n\tA int `json:\"a,unknown\"`\n}"},
	{
		rule: "superfluous-else",
		body: "func f(n int) {\n\tfor {\n\t\tif n > 1 {\n\t\t\tprintln(1)\n\t\t\tbreak\n\t\t} else {\n\t\t\tprintln(2)\n\t\t}\n\t}\n}",
	},
	{rule: "time-naming", body: "import \"time\"\n\nvar timeoutSecs = time.Second"},
	{rule: "unexported-return", body: "type t int\n\n// F returns a t.\nfunc F() t { return 1 }"},
	{rule: "unnecessary-stmt", body: "func f() {\n\tprintln(1)\n\treturn\n}"},
	{rule: "unreachable-code", body: "func f() int {\n\treturn 1\n\tprintln(1)\n\treturn 2\n}"},
	{rule: "unused-parameter", body: "func f(n int) {}"},
	{rule: "use-any", body: "func f(n interface{}) { println(n) }"},
	{rule: "useless-break", body: "func f(n int) {\n\tswitch n {\n\tcase 1:\n\t\tprintln(1)\n\t\tbreak\n\t}\n}"},
	{rule: "var-declaration", body: "var x int = 0"},
	{rule: "var-naming", body: "var some_name = 1"},

	// The rules of errorlint and staticcheck apply to test files, those of revive do not.
	{rule: "errorlint", name: "intest/x_test.go", body: `import "io"; func isEnd(err error) bool { return err == io.EOF }`},
	{rule: "U1000", name: "intest/y_test.go", body: "func unused(n int) {}"},
}

func (f seededFile) path() string {
	if f.name != "" {
		return f.name
	}
	return f.directory() + "/" + f.rule + ".go"
}

func (f seededFile) directory() string {
	return strings.ToLower(strings.ReplaceAll(f.rule, "-", ""))
}

func (f seededFile) text() string {
	if strings.HasPrefix(f.body, "package ") {
		return f.body
	}
	return "// Package p violates a rule.\npackage p\n\n" + f.body + "\n"
}

// Each seeded violation is reported, and each rule of the configuration has a seeded file.
func TestLintReportsViolationOfEachRule(t *testing.T) {
	t.Parallel()
	config, err := readConfig(configPath)
	if err != nil {
		t.Fatal(err)
	}
	root := writeSeededModule(t)
	findings, err := lintModules(t.Context(), []string{root}, buildLinters(t), configPath)
	if err != nil {
		t.Fatal(err)
	}
	rulesWithFile := map[string]bool{}
	for _, seeded := range seededFiles {
		rulesWithFile[seeded.rule] = true
		reported := slices.ContainsFunc(findings, func(f Finding) bool {
			return f.File == root+"/"+seeded.path() && f.Rule == seeded.rule && f.Line > 0
		})
		if !reported {
			t.Errorf("%s: no finding of rule %s", seeded.path(), seeded.rule)
		}
	}
	for rule := range config.Rules {
		if !rulesWithFile[rule] {
			t.Errorf("rule %s is enabled, but no seeded file violates it", rule)
		}
	}
	for _, f := range findings {
		if _, isRevive := config.Rules[f.Rule]; isRevive && f.IsInTest() {
			t.Errorf("%v: this rule does not apply to tests", f)
		}
	}
}

// A linter that exits with an error status but has no findings makes the run fail.
func TestLintFailsWithoutFindings(t *testing.T) {
	t.Parallel()
	failing := linter{command: []string{"false"}, parse: parseGofmt}
	if _, err := failing.run(context.Background(), t.TempDir()); err == nil {
		t.Error("a linter that failed without findings returned no error")
	}
}

func TestExceptions(t *testing.T) {
	t.Parallel()
	long := Finding{File: "internal/a/a.go", Line: 3, Rule: "function-length"}
	wide := Finding{File: "internal/a/a.go", Line: 4, Rule: "line-length-limit"}
	other := Finding{File: "internal/b/b.go", Line: 5, Rule: "function-length"}
	config := Config{path: "lint.toml", Exceptions: []Exception{
		{Rule: "function-length", Reason: "to be split", Packages: []string{"internal/a", "internal/c"}},
	}}
	remaining := config.apply([]Finding{long, wide, other})
	var got []string
	for _, f := range remaining {
		got = append(got, f.File+" "+f.Rule)
	}
	want := []string{
		"internal/a/a.go line-length-limit",
		"internal/b/b.go function-length",
		"lint.toml unused-exception",
	}
	if !slices.Equal(got, want) {
		t.Errorf("remaining findings: %q, want %q", got, want)
	}
}

func TestConfigRejectsExceptionWithoutReason(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "lint.toml")
	text := "[[exceptions]]\nrule = \"exported\"\npackages = [\"internal/a\"]\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := readConfig(path); err == nil {
		t.Error("an exception without a reason was accepted")
	}
}

// writeSeededModule writes the seeded files as a module and returns its directory.
func writeSeededModule(t *testing.T) string {
	t.Helper()
	root := t.TempDir()
	files := map[string]string{"go.mod": "module seeded\n\ngo 1.26.0\n"}
	for _, seeded := range seededFiles {
		files[seeded.path()] = seeded.text()
	}
	for _, name := range slices.Sorted(maps.Keys(files)) {
		path := filepath.Join(root, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(files[name]), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return root
}

// buildLinters builds the module's programs and returns their directory.
func buildLinters(t *testing.T) string {
	t.Helper()
	directory := t.TempDir()
	build := exec.CommandContext(t.Context(), "go", "build", "-o", directory+"/", "tool", "./...")
	build.Dir = ".."
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, output)
	}
	return directory
}
