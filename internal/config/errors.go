package config

import (
	"errors"
	"fmt"
)

// ErrUnknownKey says that a key of the operator's file has no meaning.
var ErrUnknownKey = errors.New("unknown key")

// A KeyError is an error in the value of one key.
type KeyError struct {
	Key string // with its tables, as in "h248.server.id"
	Err error
}

// Error returns the key and what is wrong with it.
func (e *KeyError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap returns what is wrong with the key.
func (e *KeyError) Unwrap() error { return e.Err }

// keyErrorf returns a KeyError with a formatted cause.
func keyErrorf(key, format string, args ...any) error {
	return &KeyError{Key: key, Err: fmt.Errorf(format, args...)}
}

// inSection puts the name of a section before the key of an error.
func inSection(section string, err error) error {
	var keyError *KeyError
	if errors.As(err, &keyError) {
		return &KeyError{Key: section + "." + keyError.Key, Err: keyError.Err}
	}
	return &KeyError{Key: section, Err: err}
}

// A LineError is an error in one line of the operator's file.
type LineError struct {
	Line int // from 1 on
	Err  error
}

// Error returns the line and what is wrong in it.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns what is wrong in the line.
func (e *LineError) Unwrap() error { return e.Err }
