package record

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// shown is a record as JSON shows it. Times are RFC 3339 with nanoseconds, durations seconds.
type shown struct {
	Instance string   `json:"instance"`
	Boot     string   `json:"boot"`
	Seq      uint64   `json:"seq"`
	From     uint64   `json:"from,omitempty"`
	At       string   `json:"at"`
	Since    string   `json:"since,omitempty"`
	Kind     string   `json:"kind"`
	Call     string   `json:"call,omitempty"`
	Class    string   `json:"class,omitempty"`
	Number   string   `json:"number,omitempty"`
	Server   string   `json:"server,omitempty"`
	Attempt  *int     `json:"attempt,omitempty"`
	Code     string   `json:"code,omitempty"`
	End      string   `json:"end,omitempty"`
	Cause    int      `json:"cause,omitempty"`
	Wait     float64  `json:"wait,omitempty"`
	Took     *float64 `json:"took,omitempty"`
	Pool     *int     `json:"pool,omitempty"`
	Flag     string   `json:"flag,omitempty"`
	Value    any      `json:"value,omitempty"`
	Count    uint64   `json:"count,omitempty"`
	T        []int64  `json:"t,omitempty"`
	By       string   `json:"by,omitempty"`
	Text     string   `json:"text,omitempty"`
}

// CodeName is what a record's Code means at its kind, "" where it means nothing.
func (r *Record) CodeName() string {
	switch r.Kind {
	case KindGap:
		return GapCause(r.Code).String()
	case KindOrder:
		return Move(r.Code).String()
	case KindAnswer:
		return Outcome(r.Code).String()
	case KindServer:
		return Phase(r.Code).String()
	}
	return ""
}

func (r *Record) flagName() string {
	if !r.Flag {
		return ""
	}
	switch r.Kind {
	case KindStart:
		return "clean"
	case KindSetUp:
		return "cut"
	case KindServer:
		return "cold"
	}
	return "set"
}

func (r *Record) shown(h *Header) *shown {
	stamp := func(t Time) string { return Unix(t).Format(time.RFC3339Nano) }
	s := &shown{Instance: h.Name, Boot: fmt.Sprintf("%016x", h.Boot), Seq: r.Seq, From: r.From, At: stamp(r.At), Kind: r.Kind.String(), Call: r.Call,
		Class: r.Class, Number: r.Number, Server: r.Server, Code: r.CodeName(), End: r.End, Cause: r.Cause, Wait: r.Wait.Seconds(),
		Flag: r.flagName(), Count: r.Count, By: r.By, Text: r.Text}
	if r.Since != 0 {
		s.Since = stamp(r.Since)
	}
	switch r.Kind {
	case KindTry, KindTryEnd, KindAnswer:
		s.Attempt = &r.Attempt
	case KindSetUp, KindServer:
		s.Pool = &r.Pool
	case KindClock:
		s.T = r.T[:]
	}
	switch r.Kind {
	case KindTryEnd, KindAnswer, KindRelease:
		took := r.Took.Seconds()
		s.Took = &took
	}
	if r.Value != 0 {
		if s.Value = r.Value; math.IsInf(r.Value, 0) || math.IsNaN(r.Value) {
			s.Value = "none" // JSON has no infinity
		}
	}
	return s
}

// AppendJSON appends a record as one line of JSON. Strings that are no UTF-8 are made so.
func (r *Record) AppendJSON(b []byte, h *Header) ([]byte, error) {
	line, err := json.Marshal(r.shown(h))
	if err != nil {
		return b, fmt.Errorf("record %d: %w", r.Seq, err)
	}
	return append(append(b, line...), '\n'), nil
}

// Line is a record as one line for people; nothing in it can steer a terminal.
func (r *Record) Line(h *Header) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-10s %8d %-8s", Unix(r.At).Format("2006-01-02T15:04:05.000000Z"), Printable(h.Name), r.Seq, r.Kind)
	put := func(name, value string) {
		if value != "" {
			if value = Printable(value); strings.ContainsAny(value, " \"") {
				value = strconv.Quote(value)
			}
			fmt.Fprintf(&b, " %s=%s", name, value)
		}
	}
	put("call", r.Call)
	put("code", r.CodeName())
	put("class", r.Class)
	put("number", r.Number)
	put("server", r.Server)
	if r.Kind == KindGap {
		put("lost", fmt.Sprintf("%d to %d", r.From, r.Seq))
	}
	if r.Kind == KindTry || r.Kind == KindTryEnd || r.Kind == KindAnswer {
		put("attempt", strconv.Itoa(r.Attempt))
	}
	put("end", r.End)
	if r.Cause != 0 {
		put("cause", strconv.Itoa(r.Cause))
	}
	if r.Wait != 0 {
		put("wait", r.Wait.String())
	}
	if r.Took != 0 {
		put("took", r.Took.String())
	}
	if r.Value != 0 {
		put("value", strconv.FormatFloat(r.Value, 'f', 2, 64))
	}
	put("by", r.By)
	if r.Count != 0 {
		put("count", strconv.FormatUint(r.Count, 10))
	}
	put("flag", r.flagName())
	if r.Kind == KindClock {
		put("t", fmt.Sprint(r.T))
	}
	put("text", r.Text)
	return b.String()
}
