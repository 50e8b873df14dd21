package jsonl

import (
	"errors"
	"fmt"
	"strconv"
)

var errNoVerb = errors.New("no verb")

// Parse parses one line without its line feed. The message does not share memory with the line.
func Parse(line []byte) (*Message, error) {
	s := scanner{text: line}
	m := &Message{}
	if err := s.message(m); err != nil {
		return nil, fmt.Errorf("jsonl: %w", err)
	}
	return m, nil
}

// message parses the whole text as one message.
func (s *scanner) message(m *Message) error {
	err := s.object(func(name string) error { return s.member(m, name) })
	if err != nil {
		return err
	}
	s.skipSpace()
	if s.pos < len(s.text) {
		return fmt.Errorf("unexpected text after the object at byte %d", s.pos)
	}
	if m.Verb == "" {
		return errNoVerb
	}
	return nil
}

// member parses the value of the message member with the given name. Values of unknown members are skipped.
func (s *scanner) member(m *Message, name string) (err error) {
	switch name {
	case "verb":
		m.Verb, err = s.string()
	case "tag":
		m.Tag, err = s.string()
	case "opts":
		m.Options, err = s.options(m.Options[:0])
	case "rc":
		m.ResultCode, err = s.resultCode()
		m.HasResultCode = err == nil
	case "blob":
		m.Blob, err = s.bytes()
	default:
		err = s.skipValue(0)
	}
	return err
}

// options appends the members of an object to opts.
func (s *scanner) options(opts []Option) ([]Option, error) {
	err := s.object(func(name string) error {
		value, err := s.scalar()
		opts = append(opts, Option{name, value})
		return err
	})
	return opts, err
}

// resultCode parses an integer, which may be quoted.
func (s *scanner) resultCode() (int, error) {
	text, err := s.scalar()
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(text)
}
