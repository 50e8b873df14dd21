package simproto

import (
	"encoding/json"
	"fmt"
	"time"

	"olivedale/internal/admission"
)

// A row reads the values of one row and keeps the first error. Its methods take the index of a value and the name
// of its field; after an error they return zero values. Index 0 is the row's name.
type row struct {
	name  string
	cells []json.RawMessage
	err   error
}

// parseRow splits a row into its values and reads its name.
func parseRow(text json.RawMessage) (*row, error) {
	var cells []json.RawMessage
	if err := json.Unmarshal(text, &cells); err != nil || len(cells) == 0 {
		return nil, fmt.Errorf("item %.40q: want an array that begins with a name", text)
	}
	r := &row{name: "item", cells: cells}
	name := r.text(0, "name")
	if r.err != nil {
		return nil, r.err
	}
	r.name = name
	return r, nil
}

func (r *row) fail(field string, err error) {
	if r.err == nil {
		r.err = &FieldError{Row: r.name, Field: field, Err: err}
	}
}

func isNull(text json.RawMessage) bool { return string(text) == "null" }

// value decodes a value that must not be null.
func value[T any](r *row, i int, field string) T {
	var v T
	if isNull(r.cells[i]) {
		r.fail(field, errNull)
		return v
	}
	if err := json.Unmarshal(r.cells[i], &v); err != nil {
		r.fail(field, err)
	}
	return v
}

func (r *row) text(i int, field string) string { return value[string](r, i, field) }

func (r *row) boolean(i int, field string) bool { return value[bool](r, i, field) }

func (r *row) int64(i int, field string) int64 { return value[int64](r, i, field) }

// duration reads milliseconds.
func (r *row) duration(i int, field string) time.Duration {
	d, err := fromMilliseconds(value[float64](r, i, field))
	if err != nil {
		r.fail(field, err)
	}
	return d
}

// integer reads an integer, which may be written as 3.0.
func (r *row) integer(i int, field string) int {
	v := value[float64](r, i, field)
	if v != float64(int(v)) {
		r.fail(field, fmt.Errorf("want an integer, got %v", v))
	}
	return int(v)
}

// optionalInteger reads an integer, or returns absent for null.
func (r *row) optionalInteger(i int, field string, absent int) int {
	if isNull(r.cells[i]) {
		return absent
	}
	return r.integer(i, field)
}

// optionalFloat reads a number, or returns 0 for null.
func (r *row) optionalFloat(i int, field string) float64 {
	if isNull(r.cells[i]) {
		return 0
	}
	return value[float64](r, i, field)
}

// optionalText reads a string, or returns "" for null.
func (r *row) optionalText(i int, field string) string {
	if isNull(r.cells[i]) {
		return ""
	}
	return value[string](r, i, field)
}

// loadValues is the JSON form of a load report. Keys that loadReport does not read are ignored.
type loadValues map[string]*float64

// optional returns the value of a key, multiplied by unit. A value that is missing, null or negative is not valid.
func (l loadValues) optional(key string, unit float64) admission.Optional {
	v := l[key]
	if v == nil || *v < 0 {
		return admission.Optional{}
	}
	return admission.Optional{Value: *v * unit, Valid: true}
}

// loadReport reads a load report. For null it returns one without valid values.
func (r *row) loadReport(i int, field string) admission.LoadReport {
	if isNull(r.cells[i]) {
		return admission.LoadReport{}
	}
	const secondsPerMillisecond = 1e-3
	in := value[loadValues](r, i, field)
	return admission.LoadReport{
		QueueDelay:    in.optional("recent_ms", secondsPerMillisecond),
		QueueLength:   in.optional("backlog", 1),
		Capacity:      in.optional("can_take", 1),
		ThrottleShare: in.optional("hold_back", 1),
		FreeCircuits:  in.optional("free", 1),
		TotalCircuits: in.optional("size", 1),
	}
}
