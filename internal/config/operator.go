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

// OperatorPath is the path of the operator's file, from the root.
const OperatorPath = "deploy/olivedale.toml"

// An Operator is the content of the operator's file. An absent section switches its function off; the zero value is
// a program without a file. deploy/olivedale.example.toml documents all keys.
type Operator struct {
	Log       Log              `toml:"log"`
	H248      *H248            `toml:"h248"`
	Records   *Records         `toml:"records"`
	Numbering *Numbering       `toml:"numbers"`
	Overload  *OverloadControl `toml:"share"`
}

// Log is the section [log], the form of log lines.
type Log struct {
	Form  string `toml:"form"`  // text (default) or json
	Level string `toml:"level"` // debug, info (default), warn, error
}

// Options returns the section as options of the logger.
func (l Log) Options() logging.Options { return logging.Options{Form: l.Form, Level: l.Level} }

// A section is a part of the operator's file that is present.
type section struct {
	name    string // as in the file
	content interface{ Validate() error }
}

// sections returns the optional sections that are present, in the order in which they are checked.
func (o *Operator) sections() []section {
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

// Validate fills in the defaults and returns a KeyError for the first invalid key.
func (o *Operator) Validate() error {
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

// ParseOperator reads the text of an operator's file. Its errors name line and key.
func ParseOperator(text []byte) (*Operator, error) {
	var o Operator
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

// decodeError makes an error of the TOML decoder look like the others.
func decodeError(err error) error {
	var parseError toml.ParseError
	if !errors.As(err, &parseError) { // a value of a wrong type: the text already names line and key
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

// LoadOperator reads the operator's file under root; "" is the working directory. Without a file all sections are
// absent. Where the operator's file has no section [h248], the deprecated file at H248Path supplies it, and
// usesH248Path is true.
func LoadOperator(root string) (o *Operator, usesH248Path bool, err error) {
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

// readOperator reads the file at path; without one it returns the zero value.
func readOperator(path string) (*Operator, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return &Operator{}, nil
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

// CheckOperator returns an error if the file at path is absent or invalid.
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
