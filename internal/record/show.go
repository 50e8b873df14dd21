package record

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// jsonRecord is the JSON form of a record. Times are in RFC 3339 format with nanoseconds, durations in seconds.
type jsonRecord struct {
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

// AppendJSON appends a record as one line of JSON. Invalid UTF-8 in strings is replaced.
func (r *Record) AppendJSON(b []byte, h *Header) ([]byte, error) {
	line, err := json.Marshal(r.toJSON(h))
	if err != nil {
		return b, fmt.Errorf("record %d: %w", r.Seq, err)
	}
	b = append(b, line...)
	return append(b, '\n'), nil
}

func (r *Record) toJSON(h *Header) *jsonRecord {
	j := &jsonRecord{
		Instance: h.Name,
		Boot:     fmt.Sprintf("%016x", h.RunID),
		Seq:      r.Seq,
		From:     r.From,
		At:       formatJSONTime(r.At),
		Kind:     r.Kind.String(),
		Call:     r.Call,
		Class:    r.Class,
		Number:   r.Number,
		Server:   r.Server,
		Code:     r.CodeName(),
		End:      r.End,
		Cause:    r.Cause,
		Wait:     r.Wait.Seconds(),
		Flag:     r.flagName(),
		Value:    jsonNumber(r.Value),
		Count:    r.Count,
		By:       r.By,
		Text:     r.Text,
	}
	if r.Since != 0 {
		j.Since = formatJSONTime(r.Since)
	}
	r.setKindFields(j)
	return j
}

// setKindFields sets the fields that are printed only for some kinds, and for these even if they are 0.
func (r *Record) setKindFields(j *jsonRecord) {
	if r.hasAttempt() {
		j.Attempt = &r.Attempt
	}
	switch r.Kind {
	case KindAttemptEnded, KindAnswer, KindRelease:
		took := r.Took.Seconds()
		j.Took = &took
	case KindCallOffered, KindServer:
		j.Pool = &r.Pool
	case KindClock:
		j.T = r.T[:]
	default:
	}
}

func formatJSONTime(t Time) string { return Unix(t).Format(time.RFC3339Nano) }

// jsonNumber returns the JSON value of v: nil, which is omitted, for 0, and "none" for an infinity or NaN, which JSON
// cannot represent.
func jsonNumber(v float64) any {
	if v == 0 {
		return nil
	}
	if math.IsInf(v, 0) || math.IsNaN(v) {
		return "none"
	}
	return v
}

// hasAttempt reports whether Attempt is printed for the record's kind, even if it is 0.
func (r *Record) hasAttempt() bool {
	return r.Kind == KindAttemptStarted || r.Kind == KindAttemptEnded || r.Kind == KindAnswer
}

// flagName returns the name under which the Flag of the record's kind is printed, or "" if it is not set.
func (r *Record) flagName() string {
	if !r.Flag {
		return ""
	}
	switch r.Kind {
	case KindStart:
		return "clean"
	case KindCallOffered:
		return "cut"
	case KindServer:
		return "cold"
	default:
		return "set"
	}
}

// lineTimeFormat is the time format of Record.Line, with microseconds.
const lineTimeFormat = "2006-01-02T15:04:05.000000Z"

// Line returns a record as one human-readable line without control characters.
func (r *Record) Line(h *Header) string {
	var l lineBuilder
	at := Unix(r.At).Format(lineTimeFormat)
	fmt.Fprintf(&l.text, "%s %-10s %8d %-8s", at, Printable(h.Name), r.Seq, r.Kind)
	l.field("call", r.Call)
	l.field("code", r.CodeName())
	l.field("class", r.Class)
	l.field("number", r.Number)
	l.field("server", r.Server)
	if r.Kind == KindGap {
		l.field("lost", fmt.Sprintf("%d to %d", r.From, r.Seq))
	}
	if r.hasAttempt() {
		l.field("attempt", strconv.Itoa(r.Attempt))
	}
	l.field("end", r.End)
	if r.Cause != 0 {
		l.field("cause", strconv.Itoa(r.Cause))
	}
	l.duration("wait", r.Wait)
	l.duration("took", r.Took)
	if r.Value != 0 {
		l.field("value", strconv.FormatFloat(r.Value, 'f', 2, 64))
	}
	l.field("by", r.By)
	if r.Count != 0 {
		l.field("count", strconv.FormatUint(r.Count, 10))
	}
	l.field("flag", r.flagName())
	if r.Kind == KindClock {
		l.field("t", fmt.Sprint(r.T))
	}
	l.field("text", r.Text)
	return l.text.String()
}

// A lineBuilder builds the text of Record.Line.
type lineBuilder struct {
	text strings.Builder
}

// field appends " name=value" unless the value is empty. It quotes a value that contains spaces or quotes.
func (l *lineBuilder) field(name, value string) {
	if value == "" {
		return
	}
	value = Printable(value)
	if strings.ContainsAny(value, " \"") {
		value = strconv.Quote(value)
	}
	fmt.Fprintf(&l.text, " %s=%s", name, value)
}

// duration appends a field with a duration unless it is 0.
func (l *lineBuilder) duration(name string, d time.Duration) {
	if d != 0 {
		l.field(name, d.String())
	}
}
