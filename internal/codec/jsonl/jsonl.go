// Package jsonl reads and writes the callers' dialect: one JSON object a line.
// It parses by itself rather than by encoding/json because a description must
// pass byte for byte, and because lines come in arbitrary cuts.
package jsonl

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"unicode/utf8"
)

// Limit is the most bytes a message may hold, its line feed included.
const Limit = 16 << 10

// Verbs of messages.
const (
	Start    = "START"
	Pending  = "PENDING"
	Started  = "STARTED"
	Finish   = "FINISH"
	Finished = "FINISHED"
	Echo     = "ECHO"
	Echoed   = "ECHOED"
	Load     = "LOAD"
)

// ErrTooLong tells of a line over Limit.
var ErrTooLong = errors.New("jsonl: a line is over 16 KiB")

// A Message is one line.
type Message struct {
	Verb, Tag string
	Opts      []Opt
	RC        int
	HasRC     bool
	Blob      []byte
}

// An Opt is a field; a number keeps its text.
type Opt struct{ Name, Value string }

// Opt returns the value of a field, "" if there is none.
func (m *Message) Opt(name string) string {
	for _, o := range m.Opts {
		if o.Name == name {
			return o.Value
		}
	}
	return ""
}

// A Reader puts messages together from the pieces that arrive. Its zero value is ready.
type Reader struct{ rest []byte }

// Half tells whether part of a line waits for the rest.
func (r *Reader) Half() bool { return len(r.rest) > 0 }

// Feed takes a piece and calls each for every line that it completes, until each
// returns false. After an error the connection is of no more use.
func (r *Reader) Feed(p []byte, each func(*Message) bool) error {
	for len(p) > 0 {
		i := bytes.IndexByte(p, '\n')
		if n := len(r.rest) + i + 1; n > Limit || i < 0 && len(r.rest)+len(p) >= Limit {
			return ErrTooLong
		}
		if i < 0 {
			r.rest = append(r.rest, p...)
			return nil
		}
		line := p[:i]
		if len(r.rest) > 0 {
			r.rest = append(r.rest, line...)
			line, r.rest = r.rest, nil
		}
		p = p[i+1:]
		if line = bytes.TrimSuffix(line, []byte("\r")); len(line) == 0 {
			continue
		}
		m, err := Parse(line)
		if err != nil {
			return err
		}
		if !each(m) {
			return nil
		}
	}
	return nil
}

// Parse reads one line. The message keeps no part of it.
func Parse(line []byte) (*Message, error) {
	s := scanner{text: line}
	m := &Message{}
	err := s.object(func(name string) error {
		var err error
		switch name {
		case "verb":
			m.Verb, err = s.text1()
		case "tag":
			m.Tag, err = s.text1()
		case "opts":
			m.Opts = m.Opts[:0]
			err = s.object(func(name string) error {
				v, err := s.scalar()
				m.Opts = append(m.Opts, Opt{name, v})
				return err
			})
		case "rc":
			var text string
			if text, err = s.scalar(); err == nil {
				m.RC, err = strconv.Atoi(text)
				m.HasRC = true
			}
		case "blob":
			m.Blob, err = s.bytes()
		default:
			err = s.skip(0)
		}
		return err
	})
	if err == nil {
		if s.space(); s.at < len(s.text) {
			err = fmt.Errorf("text behind the object at byte %d", s.at)
		}
	}
	if err == nil && m.Verb == "" {
		err = errors.New("no verb")
	}
	if err != nil {
		return nil, fmt.Errorf("jsonl: %w", err)
	}
	return m, nil
}

// A scanner walks over one JSON text.
type scanner struct {
	text []byte
	at   int
}

var errShort = errors.New("the line ends early")

func (s *scanner) space() {
	for s.at < len(s.text) && (s.text[s.at] == ' ' || s.text[s.at] == '\t' || s.text[s.at] == '\r') {
		s.at++
	}
}

// peek returns the next byte that is no space, 0 at the end.
func (s *scanner) peek() byte {
	if s.space(); s.at < len(s.text) {
		return s.text[s.at]
	}
	return 0
}

func (s *scanner) expect(c byte) error {
	if got := s.peek(); got != c {
		if s.at >= len(s.text) {
			return errShort
		}
		return fmt.Errorf("want %q at byte %d, got %q", c, s.at, got)
	}
	s.at++
	return nil
}

// object calls member for each name, which must read the value.
func (s *scanner) object(member func(name string) error) error {
	if err := s.expect('{'); err != nil {
		return err
	}
	if s.peek() == '}' {
		s.at++
		return nil
	}
	for {
		name, err := s.text1()
		if err != nil {
			return err
		}
		if err := s.expect(':'); err != nil {
			return err
		}
		if err := member(name); err != nil {
			return fmt.Errorf("%.20q: %w", name, err)
		}
		if s.peek() == ',' {
			s.at++
			continue
		}
		return s.expect('}')
	}
}

func (s *scanner) text1() (string, error) {
	b, err := s.bytes()
	return string(b), err
}

// scalar reads a string or a number as text.
func (s *scanner) scalar() (string, error) {
	if s.peek() == '"' {
		return s.text1()
	}
	from := s.at
	for s.at < len(s.text) && bytes.IndexByte([]byte("+-.0123456789eE"), s.text[s.at]) >= 0 {
		s.at++
	}
	text := string(s.text[from:s.at])
	if _, err := strconv.ParseFloat(text, 64); err != nil {
		return "", fmt.Errorf("want a string or a number at byte %d", from)
	}
	return text, nil
}

// bytes reads a string; bytes that are not escaped pass as they are, whatever they are.
func (s *scanner) bytes() ([]byte, error) {
	if err := s.expect('"'); err != nil {
		return nil, err
	}
	out := []byte{}
	for s.at < len(s.text) {
		c := s.text[s.at]
		s.at++
		switch {
		case c == '"':
			return out, nil
		case c < ' ':
			return nil, fmt.Errorf("a control character in a string at byte %d", s.at-1)
		case c != '\\':
			out = append(out, c)
		default:
			var err error
			if out, err = s.escape(out); err != nil {
				return nil, err
			}
		}
	}
	return nil, errShort
}

func (s *scanner) escape(out []byte) ([]byte, error) {
	if s.at >= len(s.text) {
		return nil, errShort
	}
	c := s.text[s.at]
	s.at++
	switch c {
	case '"', '\\', '/':
		return append(out, c), nil
	case 'b':
		return append(out, '\b'), nil
	case 'f':
		return append(out, '\f'), nil
	case 'n':
		return append(out, '\n'), nil
	case 'r':
		return append(out, '\r'), nil
	case 't':
		return append(out, '\t'), nil
	case 'u':
		r, err := s.hex4()
		if err != nil {
			return nil, err
		}
		if r >= 0xd800 && r < 0xdc00 { // a pair, or else no character
			if bytes.HasPrefix(s.text[s.at:], []byte(`\u`)) {
				s.at += 2
				low, err := s.hex4()
				if err != nil {
					return nil, err
				}
				if low >= 0xdc00 && low < 0xe000 {
					return utf8.AppendRune(out, 0x10000+(r-0xd800)<<10+(low-0xdc00)), nil
				}
			}
			return nil, fmt.Errorf("half a character at byte %d", s.at)
		}
		if r >= 0xdc00 && r < 0xe000 {
			return nil, fmt.Errorf("half a character at byte %d", s.at)
		}
		return utf8.AppendRune(out, r), nil
	}
	return nil, fmt.Errorf("unknown escape %q at byte %d", c, s.at-1)
}

func (s *scanner) hex4() (rune, error) {
	if s.at+4 > len(s.text) {
		return 0, errShort
	}
	v, err := strconv.ParseUint(string(s.text[s.at:s.at+4]), 16, 16)
	if err != nil {
		return 0, fmt.Errorf("want four hex digits at byte %d", s.at)
	}
	s.at += 4
	return rune(v), nil
}

// deepest bounds the nesting of values that are skipped: it guards the stack.
const deepest = 32

// skip passes over a value of any kind.
func (s *scanner) skip(depth int) error {
	if depth > deepest {
		return fmt.Errorf("nested too deeply at byte %d", s.at)
	}
	switch c := s.peek(); c {
	case '"':
		_, err := s.bytes()
		return err
	case '{':
		return s.object(func(string) error { return s.skip(depth + 1) })
	case '[':
		s.at++
		if s.peek() == ']' {
			s.at++
			return nil
		}
		for {
			if err := s.skip(depth + 1); err != nil {
				return err
			}
			if s.peek() == ',' {
				s.at++
				continue
			}
			return s.expect(']')
		}
	case 't', 'f', 'n':
		for _, word := range []string{"true", "false", "null"} {
			if bytes.HasPrefix(s.text[s.at:], []byte(word)) {
				s.at += len(word)
				return nil
			}
		}
		return fmt.Errorf("unknown word at byte %d", s.at)
	}
	_, err := s.scalar()
	return err
}

// Append writes a message as a line behind b.
func Append(b []byte, m *Message) []byte {
	b = appendString(append(b, `{"verb":`...), m.Verb)
	b = appendString(append(b, `,"tag":`...), m.Tag)
	b = append(b, `,"opts":{`...)
	for i, o := range m.Opts {
		if i > 0 {
			b = append(b, ',')
		}
		b = appendString(appendString(b, o.Name, ':'), o.Value)
	}
	b = append(b, '}')
	if m.HasRC {
		b = strconv.AppendInt(append(b, `,"rc":`...), int64(m.RC), 10)
	}
	if m.Blob != nil {
		b = appendString(append(b, `,"blob":`...), m.Blob)
	}
	return append(b, "}\n"...)
}

// appendString writes a string; only what JSON demands is escaped.
func appendString[T string | []byte](b []byte, s T, behind ...byte) []byte {
	const hex = "0123456789abcdef"
	b = append(b, '"')
	for i := range len(s) {
		switch c := s[i]; {
		case c == '"' || c == '\\':
			b = append(b, '\\', c)
		case c == '\n':
			b = append(b, `\n`...)
		case c == '\r':
			b = append(b, `\r`...)
		case c == '\t':
			b = append(b, `\t`...)
		case c < ' ':
			b = append(b, '\\', 'u', '0', '0', hex[c>>4], hex[c&15])
		default:
			b = append(b, c)
		}
	}
	return append(append(b, '"'), behind...)
}
