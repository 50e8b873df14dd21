package config

import (
	"errors"
	"fmt"
)

// ErrUnknownKey reports a key in the operator's file that does not exist.
var ErrUnknownKey = errors.New("unknown key")

// A KeyError is an error in the value of one key.
type KeyError struct {
	Key string // qualified by its tables, as in "h248.server.id"
	Err error
}

// Error returns the key and the cause.
func (e *KeyError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *KeyError) Unwrap() error { return e.Err }

// keyErrorf returns a KeyError with a formatted cause.
func keyErrorf(key, format string, args ...any) error {
	return &KeyError{Key: key, Err: fmt.Errorf(format, args...)}
}

// inSection qualifies the key of an error with the name of its section.
func inSection(section string, err error) error {
	var keyError *KeyError
	if errors.As(err, &keyError) {
		return &KeyError{Key: section + "." + keyError.Key, Err: keyError.Err}
	}
	return &KeyError{Key: section, Err: err}
}

// A LineError is an error in one line of the operator's file.
type LineError struct {
	Line int // the first line is 1
	Err  error
}

// Error returns the line and the cause.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }
