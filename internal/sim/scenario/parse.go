package scenario

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/BurntSushi/toml"
)

// Parse parses and checks a scenario. Keys that are missing from the text have the values of Default.
func Parse(text []byte) (*Scenario, error) {
	s := Default()
	if definesClasses(text) {
		s.Class = nil // the decoder would merge the classes of the file into the default ones
	}
	meta, err := toml.Decode(string(text), &s)
	if err != nil {
		return nil, describeParseError(err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: unknown key", unknown[0])
	}
	if err := s.Check(); err != nil {
		return nil, err
	}
	return &s, nil
}

// definesClasses reports whether a scenario file defines classes.
func definesClasses(text []byte) bool {
	var classes struct {
		Class []Class `toml:"class"`
	}
	_, err := toml.Decode(string(text), &classes)
	return err == nil && len(classes.Class) > 0
}

// describeParseError adds the line to a syntax error and removes the decoder's prefix from other errors.
func describeParseError(err error) error {
	var parseError toml.ParseError
	if errors.As(err, &parseError) {
		return fmt.Errorf("line %d: %s", parseError.Position.Line, parseError.Message)
	}
	return errors.New(strings.TrimPrefix(err.Error(), "toml: "))
}

// Load reads, parses and checks a scenario file.
func Load(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	s, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("scenario: %s: %w", path, err)
	}
	return s, nil
}
