package simproto

import (
	"errors"
	"fmt"
)

// A FieldError reports an invalid field of a row, of the line or of the settings.
type FieldError struct {
	Row   string // name of the row, or "batch" or "settings"
	Field string // name of the field, as in the protocol
	Err   error
}

// Error returns the row, the field and the reason.
func (e *FieldError) Error() string { return fmt.Sprintf("%s: %s: %v", e.Row, e.Field, e.Err) }

// Unwrap returns the reason.
func (e *FieldError) Unwrap() error { return e.Err }

// Reasons of a FieldError.
var (
	errMissing = errors.New("missing")
	errNull    = errors.New("want a value, got null")
)
