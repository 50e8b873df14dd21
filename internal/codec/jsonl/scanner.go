package jsonl

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf16"
	"unicode/utf8"
)

// maxDepth is the maximum nesting depth of skipped values. It limits the use of the stack.
const maxDepth = 32

var errUnexpectedEnd = errors.New("unexpected end of line")

// A scanner reads the values of one JSON text from start to end.
type scanner struct {
	text []byte
	pos  int
}

func (s *scanner) skipSpace() {
	for s.pos < len(s.text) && strings.IndexByte(" \t\r", s.text[s.pos]) >= 0 {
		s.pos++
	}
}

// peek skips white space and returns the next byte without consuming it, or 0 at the end of the text.
func (s *scanner) peek() byte {
	s.skipSpace()
	if s.pos < len(s.text) {
		return s.text[s.pos]
	}
	return 0
}

// accept skips white space and consumes the next byte if it is c.
func (s *scanner) accept(c byte) bool {
	if s.peek() != c {
		return false
	}
	s.pos++
	return true
}

// expect skips white space and consumes the next byte, which must be c.
func (s *scanner) expect(c byte) error {
	got := s.peek()
	if s.pos >= len(s.text) {
		return errUnexpectedEnd
	}
	if got != c {
		return fmt.Errorf("expected %q at byte %d, got %q", c, s.pos, got)
	}
	s.pos++
	return nil
}

// object reads an object and calls member with the name of each member. The callback must read the member's value.
func (s *scanner) object(member func(name string) error) error {
	if err := s.expect('{'); err != nil {
		return err
	}
	if s.accept('}') {
		return nil
	}
	for {
		name, err := s.string()
		if err != nil {
			return err
		}
		if err := s.expect(':'); err != nil {
			return err
		}
		if err := member(name); err != nil {
			return fmt.Errorf("%.20q: %w", name, err)
		}
		if !s.accept(',') {
			return s.expect('}')
		}
	}
}

// scalar reads a string or a number and returns its text.
func (s *scanner) scalar() (string, error) {
	if s.peek() == '"' {
		return s.string()
	}
	start := s.pos
	for s.pos < len(s.text) && strings.IndexByte("+-.0123456789eE", s.text[s.pos]) >= 0 {
		s.pos++
	}
	text := string(s.text[start:s.pos])
	if _, err := strconv.ParseFloat(text, 64); err != nil {
		return "", fmt.Errorf("expected a string or a number at byte %d", start)
	}
	return text, nil
}

func (s *scanner) string() (string, error) {
	b, err := s.bytes()
	return string(b), err
}

// bytes reads a string. It does not check that unescaped bytes are valid UTF-8.
func (s *scanner) bytes() ([]byte, error) {
	if err := s.expect('"'); err != nil {
		return nil, err
	}
	value := []byte{}
	for s.pos < len(s.text) {
		c := s.text[s.pos]
		s.pos++
		switch {
		case c == '"':
			return value, nil
		case c < ' ':
			return nil, fmt.Errorf("control character in a string at byte %d", s.pos-1)
		case c != '\\':
			value = append(value, c)
		default:
			var err error
			if value, err = s.appendEscape(value); err != nil {
				return nil, err
			}
		}
	}
	return nil, errUnexpectedEnd
}

// appendEscape reads the rest of an escape sequence after its backslash and appends the character that it denotes.
func (s *scanner) appendEscape(value []byte) ([]byte, error) {
	if s.pos >= len(s.text) {
		return nil, errUnexpectedEnd
	}
	c := s.text[s.pos]
	s.pos++
	switch c {
	case '"', '\\', '/':
		return append(value, c), nil
	case 'b':
		return append(value, '\b'), nil
	case 'f':
		return append(value, '\f'), nil
	case 'n':
		return append(value, '\n'), nil
	case 'r':
		return append(value, '\r'), nil
	case 't':
		return append(value, '\t'), nil
	case 'u':
		r, err := s.unicodeEscape()
		if err != nil {
			return nil, err
		}
		return utf8.AppendRune(value, r), nil
	}
	return nil, fmt.Errorf("unknown escape %q at byte %d", c, s.pos-1)
}

// unicodeEscape reads the digits of a \u escape and, if they are a surrogate, the second escape of the surrogate pair.
func (s *scanner) unicodeEscape() (rune, error) {
	r, err := s.hexDigits()
	if err != nil || !utf16.IsSurrogate(r) {
		return r, err
	}
	if !bytes.HasPrefix(s.text[s.pos:], []byte(`\u`)) {
		return 0, s.unpairedSurrogate()
	}
	s.pos += len(`\u`)
	low, err := s.hexDigits()
	if err != nil {
		return 0, err
	}
	pair := utf16.DecodeRune(r, low)
	if pair == utf8.RuneError {
		return 0, s.unpairedSurrogate()
	}
	return pair, nil
}

func (s *scanner) unpairedSurrogate() error {
	return fmt.Errorf("unpaired surrogate before byte %d", s.pos)
}

// hexDigits reads the four hexadecimal digits of a \u escape.
func (s *scanner) hexDigits() (rune, error) {
	const digits = 4
	if s.pos+digits > len(s.text) {
		return 0, errUnexpectedEnd
	}
	v, err := strconv.ParseUint(string(s.text[s.pos:s.pos+digits]), 16, 16)
	if err != nil {
		return 0, fmt.Errorf("expected four hexadecimal digits at byte %d", s.pos)
	}
	s.pos += digits
	return rune(v), nil
}

// skipValue skips a value of any type.
func (s *scanner) skipValue(depth int) error {
	if depth > maxDepth {
		return fmt.Errorf("values are nested too deeply at byte %d", s.pos)
	}
	switch s.peek() {
	case '"':
		_, err := s.bytes()
		return err
	case '{':
		return s.object(func(string) error { return s.skipValue(depth + 1) })
	case '[':
		return s.skipArray(depth)
	case 't', 'f', 'n':
		return s.skipLiteral()
	}
	_, err := s.scalar()
	return err
}

func (s *scanner) skipArray(depth int) error {
	if err := s.expect('['); err != nil {
		return err
	}
	if s.accept(']') {
		return nil
	}
	for {
		if err := s.skipValue(depth + 1); err != nil {
			return err
		}
		if !s.accept(',') {
			return s.expect(']')
		}
	}
}

// skipLiteral skips true, false or null.
func (s *scanner) skipLiteral() error {
	for _, literal := range []string{"true", "false", "null"} {
		if bytes.HasPrefix(s.text[s.pos:], []byte(literal)) {
			s.pos += len(literal)
			return nil
		}
	}
	return fmt.Errorf("unknown literal at byte %d", s.pos)
}
