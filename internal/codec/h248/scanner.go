package h248

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// maxDepth is the maximum nesting depth of lists. It limits the use of the stack.
const maxDepth = 16

// A parser reads one message from start to end. The methods in this file read tokens; those in parser.go read message
// elements. Where the error code to report depends on the enclosing element, it is passed as a parameter.
type parser struct {
	text  []byte
	pos   int
	depth int // nesting depth of the current list
}

// fail returns an error that includes the current position. It may be sent to the peer.
func (p *parser) fail(code int, format string, args ...any) *Error {
	return &Error{Code: code, Text: fmt.Sprintf(format, args...) + " at byte " + strconv.Itoa(p.pos)}
}

// skipSpace skips white space and comments.
func (p *parser) skipSpace() {
	for p.pos < len(p.text) {
		switch p.text[p.pos] {
		case ' ', '\t', '\r', '\n':
			p.pos++
		case ';':
			p.skipComment()
		default:
			return
		}
	}
}

// skipComment skips text up to the end of the line.
func (p *parser) skipComment() {
	for p.pos < len(p.text) && p.text[p.pos] != '\n' && p.text[p.pos] != '\r' {
		p.pos++
	}
}

// peek skips white space and comments and returns the next byte without consuming it, or 0 at the end of the text.
func (p *parser) peek() byte {
	p.skipSpace()
	if p.pos < len(p.text) {
		return p.text[p.pos]
	}
	return 0
}

// accept skips white space and consumes the next byte if it is c.
func (p *parser) accept(c byte) bool {
	if p.peek() != c {
		return false
	}
	p.pos++
	return true
}

// word skips white space and reads a name or an unquoted value. It returns "" if there is none.
func (p *parser) word() string {
	p.skipSpace()
	start := p.pos
	for p.pos < len(p.text) && isWordByte(p.text[p.pos]) {
		p.pos++
	}
	return string(p.text[start:p.pos])
}

func isWordByte(c byte) bool {
	isVisibleASCII := c > ' ' && c < 0x7f
	return isVisibleASCII && strings.IndexByte(`{}=,;"<>#`, c) < 0
}

// number reads '=' and a 32-bit number.
func (p *parser) number(code int) (uint32, *Error) {
	if !p.accept('=') {
		return 0, p.fail(code, "no number")
	}
	word := p.word()
	v, err := parseUint32(word)
	if err != nil {
		return 0, p.fail(code, "number %.20q", word)
	}
	return v, nil
}

func parseUint32(s string) (uint32, error) {
	v, err := strconv.ParseUint(s, 10, 32)
	return uint32(v), err
}

// quoted reads a quoted string. It must not contain quotes, line breaks or NUL characters.
func (p *parser) quoted(code int) (string, *Error) {
	if !p.accept('"') {
		return "", p.fail(code, "want a quoted text")
	}
	end := bytes.IndexByte(p.text[p.pos:], '"')
	if end < 0 {
		return "", p.fail(code, "a quoted text without end")
	}
	text := string(p.text[p.pos : p.pos+end])
	p.pos += end + 1
	if strings.ContainsAny(text, "\r\n\x00") {
		return "", p.fail(code, "a line end in a quoted text")
	}
	return text, nil
}

// list reads '{ item, item }', which may be empty. It calls item to read each item.
func (p *parser) list(code int, item func() *Error) *Error {
	if !p.accept('{') {
		return p.fail(code, "want '{'")
	}
	p.depth++
	defer func() { p.depth-- }()
	if p.depth > maxDepth {
		return p.fail(code, "nested too deeply")
	}
	if p.accept('}') {
		return nil
	}
	for {
		if err := item(); err != nil {
			return err
		}
		if p.accept(',') {
			continue
		}
		if p.accept('}') {
			return nil
		}
		return p.fail(code, "want ',' or '}'")
	}
}

// octets reads '{' and the octets up to the closing '}'. A '}' within the octets is escaped as '\}'.
func (p *parser) octets(name string) ([]byte, *Error) {
	p.pos++
	octets := []byte{}
	for ; p.pos < len(p.text); p.pos++ {
		c := p.text[p.pos]
		isEscape := c == '\\' && p.pos+1 < len(p.text) && p.text[p.pos+1] == '}'
		switch {
		case c == '}':
			p.pos++
			return octets, nil
		case c == 0:
			return nil, p.fail(SyntaxInCommand, "a NUL character")
		case isEscape:
			p.pos++
			octets = append(octets, '}')
		default:
			octets = append(octets, c)
		}
	}
	return nil, p.fail(SyntaxInCommand, "%s has no end", name)
}
