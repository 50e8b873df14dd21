package simproto

import (
	"errors"
	"fmt"
)

// A FieldError is an error in one field of a row, of the line or of the settings.
type FieldError struct {
	Row   string // name of the row, or "batch" or "settings"
	Field string // name of the field, as in the protocol
	Err   error
}

// Error returns row, field and what is wrong with it.
func (e *FieldError) Error() string { return fmt.Sprintf("%s: %s: %v", e.Row, e.Field, e.Err) }

// Unwrap returns what is wrong with the field.
func (e *FieldError) Unwrap() error { return e.Err }

// Errors of fields.
var (
	errMissing = errors.New("missing")
	errNull    = errors.New("want a value, got null")
)
