package console

import (
	"slices"
	"strings"

	"olivedale/internal/record"
)

const (
	// maxCalls bounds the calls of a history; the oldest is evicted first.
	maxCalls = 500
	// maxCallLines bounds the records kept of one call.
	maxCallLines = 24
)

// outcomeOpen is the outcome of a call without a final answer.
const outcomeOpen = "open"

// A callHistory keeps the records of the latest calls.
type callHistory struct {
	calls map[string]*Call // by key
	order []string         // keys, the oldest first
}

func newCallHistory() callHistory { return callHistory{calls: make(map[string]*Call)} }

// add applies a record to its call.
func (c *callHistory) add(instance string, h *record.Header, r *record.Record) {
	call := c.call(instance, r)
	switch r.Kind {
	case record.KindCallOffered:
		call.Class = r.Class
		call.At = record.Unix(r.At)
	case record.KindAttemptStarted:
		call.Server = r.Server
		call.Attempts++
	case record.KindAnswer:
		call.Outcome = record.Outcome(r.Code).String()
		call.Took = r.Took
	case record.KindRelease:
		call.Outcome += ", " + strings.ReplaceAll(r.End, "_", " ")
	default:
	}
	if len(call.Lines) < maxCallLines {
		call.Lines = append(call.Lines, r.Line(h))
	}
}

// call returns the call of a record. A new call evicts the oldest one if there are too many.
func (c *callHistory) call(instance string, r *record.Record) *Call {
	call := &Call{ID: r.Call, Instance: instance, At: record.Unix(r.At), Outcome: outcomeOpen}
	key := call.key()
	if known := c.calls[key]; known != nil {
		return known
	}
	if len(c.order) >= maxCalls {
		delete(c.calls, c.order[0])
		c.order = c.order[1:]
	}
	c.calls[key] = call
	c.order = append(c.order, key)
	return call
}

// latest returns copies of the calls, the latest first.
func (c *callHistory) latest() []Call {
	var latest []Call
	for _, key := range slices.Backward(c.order) {
		call := *c.calls[key]
		call.Lines = slices.Clone(call.Lines)
		latest = append(latest, call)
	}
	return latest
}
