package simproto

import (
	"encoding/json"
	"fmt"
	"time"

	"olivedale/internal/admission"
)

// A row reads the values of one event and keeps the first error.
type row struct {
	name  string
	cells []json.RawMessage
	err   error
}

func (r *row) fail(field string, err error) {
	if r.err == nil {
		r.err = fmt.Errorf("%s: %s: %w", r.name, field, err)
	}
}

func null(text json.RawMessage) bool { return string(text) == "null" }

// value decodes a cell that must be there.
func value[T any](r *row, i int, field string) T {
	var v T
	if null(r.cells[i]) {
		r.fail(field, fmt.Errorf("want a value, got null"))
		return v
	}
	if err := json.Unmarshal(r.cells[i], &v); err != nil {
		r.fail(field, err)
	}
	return v
}

func (r *row) str(i int, field string) string  { return value[string](r, i, field) }
func (r *row) flag(i int, field string) bool   { return value[bool](r, i, field) }
func (r *row) int64(i int, field string) int64 { return value[int64](r, i, field) }

func (r *row) time(i int, field string) time.Duration {
	d, err := millis(value[float64](r, i, field))
	if err != nil {
		r.fail(field, err)
	}
	return d
}

// num reads a whole number, also one written as 3.0.
func (r *row) num(i int, field string) int {
	v := value[float64](r, i, field)
	if v != float64(int(v)) {
		r.fail(field, fmt.Errorf("want a whole number, got %v", v))
	}
	return int(v)
}

func (r *row) optNum(i int, field string, absent int) int {
	if null(r.cells[i]) {
		return absent
	}
	return r.num(i, field)
}

func (r *row) optFloat(i int, field string) float64 {
	if null(r.cells[i]) {
		return 0
	}
	return value[float64](r, i, field)
}

func (r *row) optStr(i int, field string) string {
	if null(r.cells[i]) {
		return ""
	}
	return value[string](r, i, field)
}

// load reads a report; values that are missing, null or below 0 count as not given.
func (r *row) load(i int, field string) admission.LoadReport {
	if null(r.cells[i]) {
		return admission.LoadReport{}
	}
	in := value[map[string]*float64](r, i, field)
	figure := func(name string, unit float64) admission.Optional {
		v := in[name]
		if v == nil || *v < 0 {
			return admission.Optional{}
		}
		return admission.Optional{Value: *v * unit, Valid: true}
	}
	return admission.LoadReport{
		QueueDelay: figure("recent_ms", 1e-3), QueueLength: figure("backlog", 1), Capacity: figure("can_take", 1),
		ThrottleShare: figure("hold_back", 1), FreeCircuits: figure("free", 1), TotalCircuits: figure("size", 1),
	}
}

var phases = map[string]admission.ServerState{
	"IN": admission.Active, "LAME": admission.Draining, "OUT": admission.Removed,
}

func (r *row) entries(i int, field string) []admission.Server {
	var list []admission.Server
	for _, cells := range value[[][]json.RawMessage](r, i, field) {
		if len(cells) != 7 {
			r.fail(field, fmt.Errorf("want 7 values an entry, got %d", len(cells)))
			return nil
		}
		e := &row{name: r.name, cells: cells}
		s := admission.Server{ID: e.str(0, "server"), Pool: e.num(3, "pointCode"), Zone: e.optStr(1, "az")}
		e.optStr(2, "classOfHost")
		phase, ok := phases[e.str(4, "phase")]
		if !ok {
			e.fail("phase", fmt.Errorf("want IN, LAME or OUT, got %s", cells[4]))
		}
		s.State = phase
		e.optFloat(5, "scale")
		if !null(cells[6]) {
			s.Started = e.time(6, "lastStart")
		}
		if e.err != nil {
			r.err = e.err
			return nil
		}
		list = append(list, s)
	}
	return list
}
