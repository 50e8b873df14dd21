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
	kindReport = iota + 1 // a controller tells its teller what it saw
	kindWord              // a teller tells what the fleet holds back
	kindRoll              // a teller tells who is there
)

// Tiers of calls, as the module has them: the cheapest first.
const tiers = 4

// A head begins each message.
type head struct {
	kind int
	from int    // number of the sender
	boot uint32 // of the sender's process; a later one is greater
	seq  uint32 // of the sender's message of this kind, from 1 on
}

// A sight is what a controller saw of a server in a span.
type sight struct {
	key     uint32 // of the server
	off     [tiers]int
	over    int  // set-ups sent there otherwise than as a call's first choice
	done    int  // answers
	wait    int  // that answers had, or that the oldest set-up has had by now, in units of waitUnit; 0: none
	pressed bool // the module found it slow
}

// waitUnit is 10 ms.
const waitUnit = 10_000_000

// A report is what a controller saw in the span since the one before.
type report struct {
	head
	span   int  // in units of waitUnit
	hot    bool // it has evidence of pressure
	sights []sight
}

// A term is what the fleet holds back of the calls to a server.
type term struct {
	key  uint32
	tier int // the tier of which a part is held back: those below wait, those above go
	part int // of it, in 255ths
	over int // of the calls of second choice, in 255ths
	wait int // that the fleet's calls have there, in units of waitUnit
}

// A word is what the fleet holds back now. Without terms it only asks for reports.
type word struct {
	head
	live  int // controllers by the teller's estimate
	terms []term
}

// A roll tells who is there: bit n of present is that of controller n.
type roll struct {
	head
	live, of int // by the teller's estimate; the most of the last minutes
	present  []byte
}

// Errors of messages.
var (
	errShort   = errors.New("it ends too soon")
	errVersion = errors.New("it is of another version")
	errFigure  = errors.New("a figure is out of range")
)

// Bounds of what is read.
const (
	mostPeers = 1600    // bits of a roll that fit a message
	mostCount = 1 << 14 // of anything in a span
	mostWait  = 6000    // a minute
)

func (h *head) append(b []byte) []byte {
	b = append(b, version<<4|byte(h.kind))
	b = protowire.AppendVarint(b, uint64(h.from))
	b = protowire.AppendVarint(b, uint64(h.boot))
	return protowire.AppendVarint(b, uint64(h.seq))
}

func appendKey(b []byte, key uint32) []byte { return append(b, byte(key>>16), byte(key>>8), byte(key)) }

// fields are a sight's counts in the order of the wire, which has those that are not nought.
func (s *sight) fields() [7]*int {
	return [...]*int{&s.off[0], &s.off[1], &s.off[2], &s.off[3], &s.over, &s.done, &s.wait}
}

// append writes the report. Sights that do not fit are left out: the caller puts those that matter first.
func (r *report) append(b []byte) []byte {
	b = r.head.append(b)
	hot := uint64(0)
	if r.hot {
		hot = 1
	}
	b = protowire.AppendVarint(b, uint64(r.span)<<1|hot)
	for i := range r.sights {
		s := &r.sights[i]
		before, mask := len(b), byte(0)
		b = append(appendKey(b, s.key), 0)
		for i, f := range s.fields() {
			if *f > 0 {
				mask |= 1 << i
				b = protowire.AppendVarint(b, uint64(*f))
			}
		}
		if s.pressed {
			mask |= 1 << 7
		}
		if b[before+3] = mask; len(b) > MaxMessageBytes {
			return b[:before]
		}
	}
	return b
}

func (w *word) append(b []byte) []byte {
	b = protowire.AppendVarint(w.head.append(b), uint64(w.live))
	for _, t := range w.terms {
		if len(b)+8 > MaxMessageBytes {
			break // guards the length; a server left out goes by each controller's own evidence
		}
		b = append(appendKey(b, t.key), byte(t.tier), byte(t.part), byte(t.over))
		b = protowire.AppendVarint(b, uint64(t.wait))
	}
	return b
}

func (r *roll) append(b []byte) []byte {
	b = protowire.AppendVarint(r.head.append(b), uint64(r.live))
	b = protowire.AppendVarint(b, uint64(r.of))
	return append(b, r.present[:min(len(r.present), MaxMessageBytes-len(b))]...)
}

// A scan reads a message; after an error it reads noughts.
type scan struct {
	b   []byte
	err error
}

func (s *scan) byte() byte {
	if len(s.b) == 0 {
		s.fail(errShort)
		return 0
	}
	c := s.b[0]
	s.b = s.b[1:]
	return c
}

// number reads one of at most most.
func (s *scan) number(most uint64) int {
	v, n := protowire.ConsumeVarint(s.b)
	switch {
	case n < 0:
		s.fail(errShort)
		return 0
	case v > most:
		s.fail(errFigure)
		return 0
	}
	s.b = s.b[n:]
	return int(v)
}

func (s *scan) key() uint32 {
	a, b, c := s.byte(), s.byte(), s.byte()
	return uint32(a)<<16 | uint32(b)<<8 | uint32(c)
}

// fail notes the first error, and has nothing more to read.
func (s *scan) fail(err error) {
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
	s := &scan{b: b}
	first := s.byte()
	if s.err == nil && first>>4 != version {
		return nil, fmt.Errorf("share: %w", errVersion)
	}
	h := head{kind: int(first & 15)}
	h.from, h.boot, h.seq = s.number(mostPeers-1), uint32(s.number(1<<32-1)), uint32(s.number(1<<32-1))
	var m any
	switch h.kind {
	case kindReport:
		m = s.report(h)
	case kindWord:
		m = s.word(h)
	case kindRoll:
		r := &roll{head: h, live: s.number(mostPeers), of: s.number(mostPeers)}
		r.present = append(r.present, s.b...)
		m = r
	default:
		s.fail(errVersion)
	}
	if s.err != nil {
		return nil, fmt.Errorf("share: %w", s.err)
	}
	return m, nil
}

func (s *scan) report(h head) *report {
	r := &report{head: h}
	span := s.number(2*mostWait + 1)
	r.span, r.hot = span>>1, span&1 == 1
	for len(s.b) > 0 {
		x := sight{key: s.key()}
		mask := s.byte()
		for i, f := range x.fields() {
			if mask>>i&1 == 1 {
				*f = s.number(mostCount)
			}
		}
		x.wait, x.pressed = min(x.wait, mostWait), mask>>7 == 1
		r.sights = append(r.sights, x)
	}
	return r
}

func (s *scan) word(h head) *word {
	w := &word{head: h, live: s.number(mostPeers)}
	for len(s.b) > 0 {
		t := term{key: s.key(), tier: int(s.byte()), part: int(s.byte()), over: int(s.byte()), wait: s.number(mostWait)}
		if t.tier >= tiers {
			s.fail(errFigure)
		}
		w.terms = append(w.terms, t)
	}
	return w
}
