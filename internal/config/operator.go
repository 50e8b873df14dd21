package config

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/BurntSushi/toml"

	"olivedale/internal/logging"
)

// OperatorPath is the path of the operator's file, relative to the root directory.
const OperatorPath = "deploy/olivedale.toml"

// An OperatorConfig is the parsed operator's file. A feature whose section is absent is disabled; the zero value stands
// for a missing file. deploy/olivedale.example.toml documents all keys.
type OperatorConfig struct {
	Log       Log              `toml:"log"`
	H248      *H248            `toml:"h248"`
	Records   *Records         `toml:"records"`
	Numbering *Numbering       `toml:"numbers"`
	Overload  *OverloadControl `toml:"share"`
}

// Log is the section [log], the format and level of log lines.
type Log struct {
	Form  string `toml:"form"`  // text (default) or json
	Level string `toml:"level"` // debug, info (default), warn, error
}

// Options converts the section to options of package logging.
func (l Log) Options() logging.Options { return logging.Options{Form: l.Form, Level: l.Level} }

// A section is an optional section that is present in the operator's file.
type section struct {
	name    string // as written in the file
	content interface{ Validate() error }
}

// sections returns the optional sections that are present, in the order in which they are validated.
func (o *OperatorConfig) sections() []section {
	var present []section
	if o.H248 != nil {
		present = append(present, section{"h248", o.H248})
	}
	if o.Records != nil {
		present = append(present, section{"records", o.Records})
	}
	if o.Numbering != nil {
		present = append(present, section{"numbers", o.Numbering})
	}
	if o.Overload != nil {
		present = append(present, section{"share", o.Overload})
	}
	return present
}

// Validate applies the defaults and returns a KeyError for the first invalid key.
func (o *OperatorConfig) Validate() error {
	if err := o.Log.Options().Check(); err != nil {
		return &KeyError{"log", err}
	}
	for _, s := range o.sections() {
		if err := s.content.Validate(); err != nil {
			return inSection(s.name, err)
		}
	}
	return nil
}

// ParseOperator parses and validates the text of an operator's file. Its errors contain the line and the key.
func ParseOperator(text []byte) (*OperatorConfig, error) {
	var o OperatorConfig
	meta, err := toml.Decode(string(text), &o)
	if err != nil {
		return nil, decodeError(err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		key := unknown[0].String()
		return nil, &LineError{lineOf(text, key), &KeyError{key, ErrUnknownKey}}
	}
	if err := o.Validate(); err != nil {
		var keyError *KeyError
		if errors.As(err, &keyError) {
			return nil, &LineError{lineOf(text, keyError.Key), err}
		}
		return nil, err
	}
	return &o, nil
}

// decodeError converts an error of the TOML decoder to a LineError with a KeyError.
func decodeError(err error) error {
	var parseError toml.ParseError
	if !errors.As(err, &parseError) { // a value has the wrong type: the text already contains the line and the key
		return errors.New(strings.TrimPrefix(err.Error(), "toml: "))
	}
	cause := errors.New(parseError.Message)
	if wrapped := errors.Unwrap(parseError); parseError.Message == "" && wrapped != nil {
		cause = wrapped
	}
	if parseError.LastKey != "" {
		cause = &KeyError{parseError.LastKey, cause}
	}
	return &LineError{parseError.Position.Line, cause}
}

// LoadOperator reads the operator's file below root; "" is the working directory. If the file does not exist, all
// sections are absent. If the file has no section [h248] but the deprecated file at H248Path exists, that file supplies
// the section and usesH248Path is true.
func LoadOperator(root string) (o *OperatorConfig, usesH248Path bool, err error) {
	path := filepath.Join(root, OperatorPath)
	if o, err = readOperator(path); err != nil {
		return nil, false, err
	}
	deprecated, err := LoadH248(filepath.Join(root, H248Path))
	if err != nil {
		return nil, false, err
	}
	if deprecated == nil {
		return o, false, nil
	}
	if o.H248 != nil {
		return nil, false, fmt.Errorf("config: %s and section [h248] of %s both exist; remove the former",
			H248Path, path)
	}
	o.H248 = deprecated
	return o, true, nil
}

// readOperator reads the file at path. It returns the zero value if the file does not exist.
func readOperator(path string) (*OperatorConfig, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return &OperatorConfig{}, nil
	}
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	o, err := ParseOperator(text)
	if err != nil {
		return nil, fmt.Errorf("config: %s: %w", path, err)
	}
	return o, nil
}

// CheckOperator returns an error if the operator's file at path does not exist or is invalid.
func CheckOperator(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("config: %w", err)
	}
	if _, err := ParseOperator(text); err != nil {
		return fmt.Errorf("config: %s: %w", path, err)
	}
	return nil
}
