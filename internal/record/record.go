package record

import (
	"errors"
	"fmt"
	"math"
	"time"
	"unicode/utf8"

	"google.golang.org/protobuf/encoding/protowire"
)

// A Time is a Unix clock reading as an instance carries it on: read once at its start and
// moved by the monotonic clock since, so that a step of the system's clock does not move it.
type Time = time.Duration

// A Kind says what a Record tells.
type Kind uint8

// The kinds. Numbers are part of the format: new ones are added at the end.
const (
	KindNone     Kind = iota
	KindGap           // From to Seq are lost, as Code (a GapCause) tells; Since: when the first was
	KindStart         // the program has started; Flag: the last one had ended in good order; Text: what recovery did
	KindStopping      // SIGTERM came
	KindEnd           // orderly end; Count: records of this start
	KindSetUp         // a set-up was taken: Call, Class, Number, Pool, Flag (was cut), Wait (time left), Text (table of numbers)
	KindOrder         // the module's word on Call: Code (a Move), Server, Wait, Text (reason as far as told)
	KindTry           // an attempt starts: Call, Server, Attempt, Wait (its time)
	KindTryEnd        // an attempt has ended: Call, Server, Attempt, End, Took
	KindAnswer        // the final answer: Call, Class, Code (an Outcome), Cause, Wait, Took, Server, Attempt
	KindRelease       // a call that stood is over: Call, Class, Server, Cause, End, Took (how long it stood)
	KindServer        // news of Server: Code (a Phase), Pool, Flag (cold), Since (its start), Text (address)
	KindCeiling       // the ceiling of Server: Text (pressed, lapsed, excused), Value; +Inf: none
	KindConfig        // what is in force: By (which), Text; "class": Class, Wait (aim), Took (deadline); "cold": Wait, Value (share at the start)
	KindLimit         // a limit turned something away: By (which), Count, Call where it was one
	KindClock         // By (peer), T (four time stamps); without a peer T[0] is the system's clock, T[1] ours
	KindNote          // a line of the module: Text, Server
	KindTally         // a counter as it stands: By, Count
	kinds
)

var kindNames = [kinds]string{"none", "gap", "start", "stopping", "end", "setup", "order", "try", "try_end", "answer",
	"release", "server", "ceiling", "config", "limit", "clock", "note", "tally"}

// String implements fmt.Stringer.
func (k Kind) String() string { return nameOf(kindNames[:], uint8(k)) }

// ParseKind finds a kind by its name.
func ParseKind(name string) (Kind, error) {
	for i, n := range kindNames {
		if n == name && i > 0 {
			return Kind(i), nil
		}
	}
	return 0, fmt.Errorf("record: no kind is named %q", name)
}

// nameOf names a code; one that a newer program wrote keeps its number.
func nameOf(names []string, code uint8) string {
	if int(code) < len(names) {
		return names[code]
	}
	return fmt.Sprintf("code_%d", code)
}

// A Move is the module's order.
type Move uint8

// Moves, as of admission.Move.
const (
	Hold Move = iota
	Try
	Deny
	GiveUp
	CallOff
)

var decisionNames = []string{"hold", "try", "deny", "give_up", "call_off"}

// String implements fmt.Stringer.
func (m Move) String() string { return nameOf(decisionNames, uint8(m)) }

// An Outcome is how a set-up came to its final answer.
type Outcome uint8

// Outcomes. Refused and Failed as the module says; Crowded past a limit, Reused under the
// id of a call that is over and Impossible are answered without it; GivenUp is the caller's own.
const (
	NoOutcome Outcome = iota
	Stood
	Refused
	Failed
	GivenUp
	Crowded
	Reused
	Impossible
	Stopped // answered at the end of an orderly stop
	Barred  // by its number
)

// Outcomes is how many there are, for arrays that count them.
const Outcomes = int(Barred) + 1

var outcomeNames = []string{"none", "stood", "refused", "failed", "given_up", "crowded", "reused", "impossible", "stopped", "barred"}

// String implements fmt.Stringer.
func (o Outcome) String() string { return nameOf(outcomeNames, uint8(o)) }

// A Phase is what the list says of a server.
type Phase uint8

// Phases.
const (
	Listed Phase = iota
	Drains
	Gone
)

var serverPhaseNames = []string{"listed", "drains", "gone"}

// String implements fmt.Stringer.
func (p Phase) String() string { return nameOf(serverPhaseNames, uint8(p)) }

// A GapCause says why records are lost.
type GapCause uint8

// Causes of gaps. The first group is written by a Log, the second found by a Reader.
const (
	NoGap        GapCause = iota
	QueueFull             // the disk was slower than the records came
	DiskFull              // no space, or a quota
	DiskReadOnly          // the file system is or became read-only
	DiskFailed            // any other error of the disk
	SetAside              // a segment that could not be read was set aside at a start
	Missing               // a segment is not there
	Damaged               // bytes that are no intact frame
	NewerFormat           // a segment of a newer format version
)

var gapCauseNames = []string{"none", "queue_full", "disk_full", "disk_read_only", "disk_failed", "set_aside", "missing", "damaged", "newer_format"}

// String implements fmt.Stringer.
func (g GapCause) String() string { return nameOf(gapCauseNames, uint8(g)) }

// MarshalText implements encoding.TextMarshaler.
func (g GapCause) MarshalText() ([]byte, error) { return []byte(g.String()), nil }

// A Record is one thing that happened. Which fields count is said at its Kind.
type Record struct {
	Seq     uint64
	From    uint64 // KindGap: the first that is lost
	At      Time
	Kind    Kind
	Call    string
	Class   string
	Number  string
	Server  string
	Text    string
	Attempt int
	Code    uint8
	End     string
	Cause   int
	Wait    time.Duration
	Took    time.Duration
	Pool    int
	Flag    bool
	Value   float64
	Count   uint64
	Since   Time
	T       [4]int64 // Unix nanoseconds
	By      string
}

// Lost is how many records a gap stands for.
func (r *Record) Lost() uint64 {
	if r.Kind != KindGap {
		return 0
	}
	return r.Seq - r.From + 1
}

// Bounds of what a record takes on disk, in bytes.
const (
	maxStringSize    = 512  // of one string; more is cut off
	maxPayloadSize = 4096 // of a record; more cannot be
)

// Field numbers of record.proto.
const (
	fSeq protowire.Number = iota + 1
	fFrom
	fAt
	fKind
	fCall
	fClass
	fNumber
	fServer
	fText
	fAttempt
	fCode
	fEnd
	fCause
	fWait
	fTook
	fPool
	fFlag
	fValue
	fCount
	fSince
	fT1
	fT2
	fT3
	fT4
	fBy
)

func appendUint(b []byte, n protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), v)
}

func appendInt(b []byte, n protowire.Number, v int64) []byte {
	return appendUint(b, n, protowire.EncodeZigZag(v))
}

// appendString cuts what is too long. Bytes that are no text are kept as they are and made
// harmless where they are shown.
func appendString(b []byte, n protowire.Number, s string) []byte {
	if s == "" {
		return b
	}
	if len(s) > maxStringSize {
		s = s[:maxStringSize]
	}
	return protowire.AppendString(protowire.AppendTag(b, n, protowire.BytesType), s)
}

// appendRecord encodes a record; times count from base. It allocates nothing if b has room.
func appendRecord(b []byte, r *Record, base Time) []byte {
	b = appendUint(b, fSeq, r.Seq)
	b = appendUint(b, fFrom, r.From)
	b = appendUint(b, fAt, uint64(max(r.At-base, 0)))
	b = appendUint(b, fKind, uint64(r.Kind))
	b = appendString(b, fCall, r.Call)
	b = appendString(b, fClass, r.Class)
	b = appendString(b, fNumber, r.Number)
	b = appendString(b, fServer, r.Server)
	b = appendString(b, fText, r.Text)
	b = appendInt(b, fAttempt, int64(r.Attempt))
	b = appendUint(b, fCode, uint64(r.Code))
	b = appendString(b, fEnd, r.End)
	b = appendUint(b, fCause, uint64(uint32(r.Cause)))
	b = appendUint(b, fWait, uint64(max(r.Wait, 0)))
	b = appendUint(b, fTook, uint64(max(r.Took, 0)))
	b = appendInt(b, fPool, int64(r.Pool))
	if r.Flag {
		b = appendUint(b, fFlag, 1)
	}
	if r.Value != 0 {
		b = protowire.AppendFixed64(protowire.AppendTag(b, fValue, protowire.Fixed64Type), math.Float64bits(r.Value))
	}
	b = appendUint(b, fCount, r.Count)
	if r.Since != 0 {
		since := r.Since
		if r.Kind == KindGap {
			since -= base
		}
		b = appendInt(b, fSince, int64(since))
	}
	for i, t := range r.T {
		b = appendInt(b, fT1+protowire.Number(i), t)
	}
	return appendString(b, fBy, r.By)
}

var errMalformedRecord = errors.New("record: a payload that is no record")

// internedStrings keeps the strings that come again and again, so many at the most: servers,
// classes and ends are few, and an adversary's must not fill memory.
type internedStrings map[string]string

const mostNames = 4096

func (n internedStrings) of(b []byte) string {
	if s, ok := n[string(b)]; ok { // does not allocate
		return s
	}
	s := string(b)
	if len(n) < mostNames {
		n[s] = s
	}
	return s
}

// consumeField reads one field: a number (of any fixed or variable size) or a string; size is
// negative where there is none.
func consumeField(b []byte) (n protowire.Number, v uint64, s []byte, size int) {
	n, typ, tag := protowire.ConsumeTag(b)
	if tag < 0 {
		return 0, 0, nil, tag
	}
	b = b[tag:]
	switch typ {
	case protowire.VarintType:
		v, size = protowire.ConsumeVarint(b)
	case protowire.Fixed64Type:
		v, size = protowire.ConsumeFixed64(b)
	case protowire.BytesType:
		s, size = protowire.ConsumeBytes(b)
	default:
		size = protowire.ConsumeFieldValue(n, typ, b)
	}
	if size < 0 {
		return 0, 0, nil, size
	}
	return n, v, s, tag + size
}

// decodeRecord reads a payload; times count from base. Unknown fields are passed over, so
// that an older program reads what a newer one has added.
func decodeRecord(b []byte, r *Record, base Time, known internedStrings) error {
	*r = Record{}
	for len(b) > 0 {
		n, v, s, size := consumeField(b)
		if size < 0 {
			return errMalformedRecord
		}
		b = b[size:]
		r.set(n, v, s, known)
	}
	if r.Seq == 0 || r.From > r.Seq || r.Kind == KindGap && r.From == 0 {
		return errMalformedRecord
	}
	r.At += base
	if r.Kind == KindGap {
		r.Since += base
	}
	return nil
}

// set takes one field.
func (r *Record) set(n protowire.Number, v uint64, s []byte, known internedStrings) {
	switch n {
	case fSeq:
		r.Seq = v
	case fFrom:
		r.From = v
	case fAt:
		r.At = Time(v)
	case fKind:
		r.Kind = Kind(min(v, math.MaxUint8))
	case fCall:
		r.Call = string(s)
	case fClass:
		r.Class = known.of(s)
	case fNumber:
		r.Number = string(s)
	case fServer:
		r.Server = known.of(s)
	case fText:
		r.Text = string(s)
	case fAttempt:
		r.Attempt = int(protowire.DecodeZigZag(v))
	case fCode:
		r.Code = uint8(min(v, math.MaxUint8))
	case fEnd:
		r.End = known.of(s)
	case fCause:
		r.Cause = int(int32(v))
	case fWait:
		r.Wait = time.Duration(v)
	case fTook:
		r.Took = time.Duration(v)
	case fPool:
		r.Pool = int(protowire.DecodeZigZag(v))
	case fFlag:
		r.Flag = v != 0
	case fValue:
		r.Value = math.Float64frombits(v)
	case fCount:
		r.Count = v
	case fSince:
		r.Since = Time(protowire.DecodeZigZag(v))
	case fT1, fT2, fT3, fT4:
		r.T[n-fT1] = protowire.DecodeZigZag(v)
	case fBy:
		r.By = known.of(s)
	}
}

// Printable is a string with what is no text replaced, for screens and reports.
func Printable(s string) string {
	if utf8.ValidString(s) {
		clean := true
		for _, c := range s {
			clean = clean && c >= ' ' && c != 0x7f
		}
		if clean {
			return s
		}
	}
	out := make([]rune, 0, len(s))
	for _, c := range s {
		if c < ' ' || c == 0x7f || c >= 0x80 && c < 0xa0 {
			c = utf8.RuneError
		}
		out = append(out, c)
	}
	return string(out)
}
