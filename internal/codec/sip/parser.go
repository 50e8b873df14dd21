package sip

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

var errNoCallID = errors.New("no Call-ID")

// longNames maps the compact forms of header field names (RFC 3261, section 7.3.3) to the long forms.
var longNames = map[string]string{
	"f": "From",
	"i": "Call-ID",
	"l": "Content-Length",
	"m": "Contact",
	"t": "To",
	"v": "Via",
}

// parseHead parses the first line and the header fields of a message. text excludes the empty line after them.
func parseHead(text []byte) (m *Message, bodyLength int, err error) {
	lines := strings.Split(string(text), "\r\n")
	m = &Message{}
	if err := m.parseFirstLine(lines[0]); err != nil {
		return nil, 0, err
	}
	if err := m.parseHeaders(lines[1:]); err != nil {
		return nil, 0, err
	}
	m.CallID = m.Header("Call-ID")
	if m.CallID == "" {
		return nil, 0, errNoCallID
	}
	if err := m.parseCSeq(m.Header("CSeq")); err != nil {
		return nil, 0, err
	}
	bodyLength, err = parseContentLength(m.Header("Content-Length"))
	if err != nil {
		return nil, 0, err
	}
	return m, bodyLength, nil
}

func (m *Message) parseFirstLine(line string) error {
	parts := strings.SplitN(line, " ", 3)
	if parts[0] == protocolVersion && len(parts) >= 2 {
		return m.parseStatus(parts[1])
	}
	if len(parts) != 3 || parts[2] != protocolVersion || !isToken(parts[0]) || parts[1] == "" {
		return fmt.Errorf("invalid first line %.40q", line)
	}
	m.Method = parts[0]
	m.URI = parts[1]
	return nil
}

func (m *Message) parseStatus(text string) error {
	const minStatus, maxStatus = 100, 699
	status, err := strconv.Atoi(text)
	if err != nil || status < minStatus || status > maxStatus {
		return fmt.Errorf("invalid status %.40q", text)
	}
	m.Status = status
	return nil
}

// parseHeaders parses header lines. A line that begins with white space continues the previous one.
func (m *Message) parseHeaders(lines []string) error {
	for _, line := range lines {
		isFolded := strings.HasPrefix(line, " ") || strings.HasPrefix(line, "\t")
		if n := len(m.Headers); n > 0 && isFolded {
			m.Headers[n-1].Value += " " + strings.TrimSpace(line)
			continue
		}
		name, value, hasColon := strings.Cut(line, ":")
		name = strings.TrimRight(name, " \t")
		if !hasColon || !isToken(name) {
			return fmt.Errorf("invalid header line %.40q", line)
		}
		if longName, ok := longNames[strings.ToLower(name)]; ok {
			name = longName
		}
		m.Headers = append(m.Headers, Header{name, strings.TrimSpace(value)})
	}
	return nil
}

func (m *Message) parseCSeq(value string) error {
	number, method, hasMethod := strings.Cut(value, " ")
	sequence, err := strconv.Atoi(number)
	method = strings.TrimSpace(method)
	if err != nil || sequence < 0 || !hasMethod || !isToken(method) {
		return fmt.Errorf("invalid CSeq %.40q", value)
	}
	m.CSeq = sequence
	m.CSeqMethod = method
	return nil
}

func parseContentLength(value string) (int, error) {
	length, err := strconv.Atoi(value)
	if err != nil || length < 0 || length > MaxMessageSize {
		return 0, fmt.Errorf("invalid Content-Length %.40q", value)
	}
	return length, nil
}

// isToken reports whether s is a token as defined by RFC 3261, section 25.1.
func isToken(s string) bool {
	for i := range len(s) {
		if !isTokenByte(s[i]) {
			return false
		}
	}
	return s != ""
}

func isTokenByte(c byte) bool {
	isDigit := c >= '0' && c <= '9'
	isLower := c >= 'a' && c <= 'z'
	return isDigit || isLower || isUpper(c) || strings.IndexByte("-.!%*_+`'~", c) >= 0
}

func isUpper(c byte) bool { return c >= 'A' && c <= 'Z' }
