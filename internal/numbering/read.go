package numbering

import (
	"fmt"
	"os"
)

// Make compiles the text of a file of rules.
func Make(text []byte, env Env) (*Table, error) {
	rules, err := Parse(text)
	if err != nil {
		return nil, err
	}
	return Compile(rules, env)
}

// Read reads and compiles a file of rules. Where there are a million prefixes it takes seconds: it
// is not for a loop that serves. It returns the text as well, which is what is kept of a version.
func Read(path string, env Env) (*Table, []byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, fmt.Errorf("numbers: %w", err)
	}
	t, err := Make(text, env)
	if err != nil {
		return nil, nil, fmt.Errorf("numbers: %s: %w", path, err)
	}
	return t, text, nil
}
