package logging

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"olivedale/internal/goldentest"
)

// constantText returns the value of a string literal. It reports false for any other expression, named constants
// included.
func constantText(e ast.Expr) (string, bool) {
	literal, ok := e.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(literal.Value)
	return text, err == nil
}

// eventOf formats level, event and keys of a logger call as one line. It returns "" for any other call.
func eventOf(t *testing.T, call *ast.CallExpr) string {
	t.Helper()
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !slices.Contains([]string{"Debugw", "Infow", "Warnw", "Errorw"}, method.Sel.Name) {
		return ""
	}
	event, ok := constantText(call.Args[0])
	if !ok {
		t.Errorf("an event of %s is not a literal", method.Sel.Name)
	}
	line := strings.ToLower(strings.TrimSuffix(method.Sel.Name, "w")) + " " + event + ":"
	for i := 1; i < len(call.Args); i += 2 {
		key, ok := constantText(call.Args[i])
		if !ok {
			t.Errorf("event %s: argument %d is not a literal key", event, i)
		}
		line += " " + key
	}
	return line
}

// addEvents adds the events that a source file logs to events.
func addEvents(t *testing.T, path string, events map[string]bool) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	ast.Inspect(file, func(n ast.Node) bool {
		if call, ok := n.(*ast.CallExpr); ok {
			if line := eventOf(t, call); line != "" {
				events[line] = true
			}
		}
		return true
	})
	return nil
}

// Compares the log events of all packages, with their levels and field keys, with the committed list: operators' tools
// depend on them.
func TestGoldenEvents(t *testing.T) {
	events := make(map[string]bool)
	for _, folder := range []string{"cmd", "internal"} {
		err := filepath.WalkDir(filepath.Join("..", "..", folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			return addEvents(t, path, events)
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	goldentest.Compare(t, "events.txt", strings.Join(slices.Sorted(maps.Keys(events)), "\n")+"\n")
}
