package overload

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
)

// MaxMessageBytes is the most bytes that a message takes. The deployment permits datagrams of 256; the rest is left
// for a signature.
const MaxMessageBytes = 256 - 16

// version of the messages. One of another version is not read: its sender counts as silent.
const version = 1

// Kinds of messages.
const (
	kindLoadReport       = iota + 1 // a controller tells its teller what it saw
	kindLimitUpdate                 // a teller tells what the fleet holds back
	kindMembershipDigest            // a teller tells who is there
)

// Tiers of calls, as the module has them: the cheapest first.
const priorityCount = 4

// A messageHeader begins each message.
type messageHeader struct {
	kind        int
	sender      int    // number of the sender
	incarnation uint32 // of the sender's process; a later one is greater
	sequence    uint32 // of the sender's message of this kind, from 1 on
}

// A serverSample is what a controller saw of a server in a span.
type serverSample struct {
	key        uint32 // of the server
	offered    [priorityCount]int
	overflow   int  // set-ups sent there otherwise than as a call's first choice
	answered   int  // answers
	wait       int  // that answers had, or that the oldest set-up has had by now, in units of waitUnit; 0: none
	overloaded bool // the module found it slow
}

// timeUnit is 10 ms.
const timeUnit = 10_000_000

// A loadReport is what a controller saw in the span since the one before.
type loadReport struct {
	messageHeader
	span       int  // in units of waitUnit
	overloaded bool // it has evidence of pressure
	samples    []serverSample
}

// A serverLimit is what the fleet holds back of the calls to a server.
type serverLimit struct {
	key              uint32
	priority         int // the tier of which a part is held back: those below wait, those above go
	throttle         int // of it, in 255ths
	overflowThrottle int // of the calls of second choice, in 255ths
	wait             int // that the fleet's calls have there, in units of waitUnit
}

// A limitUpdate is what the fleet holds back now. Without terms it only asks for reports.
type limitUpdate struct {
	messageHeader
	aliveMembers int // controllers by the teller's estimate
	limits       []serverLimit
}

// A membershipDigest tells who is there: bit n of present is that of controller n.
type membershipDigest struct {
	messageHeader
	aliveMembers, peakMembers int // by the teller's estimate; the most of the last minutes
	members                   []byte
}

// Errors of messages.
var (
	ErrTruncated   = errors.New("it ends too soon")
	ErrUnsupported = errors.New("it is of another version")
	ErrOutOfRange  = errors.New("a figure is out of range")
)

// Bounds of what is read.
const (
	maxMembers = 1600    // bits of a roll that fit a message
	maxCount   = 1 << 14 // of anything in a span
	maxWait    = 6000    // a minute
)

func (h *messageHeader) append(b []byte) []byte {
	b = append(b, version<<4|byte(h.kind))
	b = protowire.AppendVarint(b, uint64(h.sender))
	b = protowire.AppendVarint(b, uint64(h.incarnation))
	return protowire.AppendVarint(b, uint64(h.sequence))
}

func appendKey(b []byte, key uint32) []byte { return append(b, byte(key>>16), byte(key>>8), byte(key)) }

// fields are a sight's counts in the order of the wire, which has those that are not nought.
func (s *serverSample) fields() [7]*int {
	return [...]*int{&s.offered[0], &s.offered[1], &s.offered[2], &s.offered[3], &s.overflow, &s.answered, &s.wait}
}

// append writes the report. Sights that do not fit are left out: the caller puts those that matter first.
func (r *loadReport) append(b []byte) []byte {
	b = r.messageHeader.append(b)
	hot := uint64(0)
	if r.overloaded {
		hot = 1
	}
	b = protowire.AppendVarint(b, uint64(r.span)<<1|hot)
	for i := range r.samples {
		s := &r.samples[i]
		before, mask := len(b), byte(0)
		b = append(appendKey(b, s.key), 0)
		for i, f := range s.fields() {
			if *f > 0 {
				mask |= 1 << i
				b = protowire.AppendVarint(b, uint64(*f))
			}
		}
		if s.overloaded {
			mask |= 1 << 7
		}
		if b[before+3] = mask; len(b) > MaxMessageBytes {
			return b[:before]
		}
	}
	return b
}

func (w *limitUpdate) append(b []byte) []byte {
	b = protowire.AppendVarint(w.messageHeader.append(b), uint64(w.aliveMembers))
	for _, t := range w.limits {
		if len(b)+8 > MaxMessageBytes {
			break // guards the length; a server left out goes by each controller's own evidence
		}
		b = append(appendKey(b, t.key), byte(t.priority), byte(t.throttle), byte(t.overflowThrottle))
		b = protowire.AppendVarint(b, uint64(t.wait))
	}
	return b
}

func (r *membershipDigest) append(b []byte) []byte {
	b = protowire.AppendVarint(r.messageHeader.append(b), uint64(r.aliveMembers))
	b = protowire.AppendVarint(b, uint64(r.peakMembers))
	return append(b, r.members[:min(len(r.members), MaxMessageBytes-len(b))]...)
}

// A messageReader reads a message; after an error it reads noughts.
type messageReader struct {
	b   []byte
	err error
}

func (s *messageReader) readByte() byte {
	if len(s.b) == 0 {
		s.fail(ErrTruncated)
		return 0
	}
	c := s.b[0]
	s.b = s.b[1:]
	return c
}

// readNumber reads one of at most most.
func (s *messageReader) readNumber(most uint64) int {
	v, n := protowire.ConsumeVarint(s.b)
	switch {
	case n < 0:
		s.fail(ErrTruncated)
		return 0
	case v > most:
		s.fail(ErrOutOfRange)
		return 0
	}
	s.b = s.b[n:]
	return int(v)
}

func (s *messageReader) readKey() uint32 {
	a, b, c := s.readByte(), s.readByte(), s.readByte()
	return uint32(a)<<16 | uint32(b)<<8 | uint32(c)
}

// fail notes the first error, and has nothing more to read.
func (s *messageReader) fail(err error) {
	if s.err == nil {
		s.err = err
	}
	s.b = nil
}

// decode reads a message: a *report, *word or *roll. Its error says what cannot be read; nothing of such
// a message is used.
func decode(b []byte) (any, error) {
	if len(b) > MaxMessageBytes {
		return nil, fmt.Errorf("share: a message of %d bytes, %d at most", len(b), MaxMessageBytes)
	}
	s := &messageReader{b: b}
	first := s.readByte()
	if s.err == nil && first>>4 != version {
		return nil, fmt.Errorf("share: %w", ErrUnsupported)
	}
	h := messageHeader{kind: int(first & 15)}
	h.sender, h.incarnation, h.sequence = s.readNumber(maxMembers-1), uint32(s.readNumber(1<<32-1)), uint32(s.readNumber(1<<32-1))
	var m any
	switch h.kind {
	case kindLoadReport:
		m = s.readLoadReport(h)
	case kindLimitUpdate:
		m = s.readLimitUpdate(h)
	case kindMembershipDigest:
		r := &membershipDigest{messageHeader: h, aliveMembers: s.readNumber(maxMembers), peakMembers: s.readNumber(maxMembers)}
		r.members = append(r.members, s.b...)
		m = r
	default:
		s.fail(ErrUnsupported)
	}
	if s.err != nil {
		return nil, fmt.Errorf("share: %w", s.err)
	}
	return m, nil
}

func (s *messageReader) readLoadReport(h messageHeader) *loadReport {
	r := &loadReport{messageHeader: h}
	span := s.readNumber(2*maxWait + 1)
	r.span, r.overloaded = span>>1, span&1 == 1
	for len(s.b) > 0 {
		x := serverSample{key: s.readKey()}
		mask := s.readByte()
		for i, f := range x.fields() {
			if mask>>i&1 == 1 {
				*f = s.readNumber(maxCount)
			}
		}
		x.wait, x.overloaded = min(x.wait, maxWait), mask>>7 == 1
		r.samples = append(r.samples, x)
	}
	return r
}

func (s *messageReader) readLimitUpdate(h messageHeader) *limitUpdate {
	w := &limitUpdate{messageHeader: h, aliveMembers: s.readNumber(maxMembers)}
	for len(s.b) > 0 {
		t := serverLimit{key: s.readKey(), priority: int(s.readByte()), throttle: int(s.readByte()), overflowThrottle: int(s.readByte()), wait: s.readNumber(maxWait)}
		if t.priority >= priorityCount {
			s.fail(ErrOutOfRange)
		}
		w.limits = append(w.limits, t)
	}
	return w
}
