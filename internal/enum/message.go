package enum

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/miekg/dns"

	"olivedale/internal/numbering"
	"olivedale/internal/portability"
)

// MaxMessageBytes is the maximum size of an answer. Queries announce it by EDNS, so that answers are not fragmented.
const MaxMessageBytes = 1232

// headerBytes is the size of the header of a DNS message.
const headerBytes = 12

// Message is a decoded answer.
type Message struct {
	ID     uint16
	Number string // from the question, in E.164 digits
	Answer portability.Answer
}

// EncodeQuery encodes the query for a number, given in E.164 digits.
func EncodeQuery(id uint16, number, suffix string) ([]byte, error) {
	if _, ok := numbering.ParseDigits(number); !ok {
		return nil, fmt.Errorf("enum: %q is not a number", number)
	}
	m := &dns.Msg{}
	m.SetQuestion(domainOf(number, suffix), dns.TypeNAPTR)
	m.Id = id
	m.SetEdns0(MaxMessageBytes, false)
	b, err := m.Pack()
	if err != nil {
		return nil, fmt.Errorf("enum: %w", err)
	}
	return b, nil
}

// DecodeAnswer decodes the answer to a query. In case of an error, the ID and the number are set if they could be
// decoded.
func DecodeAnswer(b []byte, suffix string) (Message, error) {
	if len(b) < headerBytes || len(b) > MaxMessageBytes {
		return Message{}, ErrNotAnAnswer
	}
	decoded := Message{ID: binary.BigEndian.Uint16(b)}
	var m dns.Msg
	if err := m.Unpack(b); err != nil {
		return decoded, fmt.Errorf("enum: %w", err)
	}
	if !m.Response || len(m.Question) != 1 {
		return decoded, ErrNotAnAnswer
	}
	question := m.Question[0]
	decoded.Number = numberOf(question.Name, suffix)
	if question.Qtype != dns.TypeNAPTR || question.Qclass != dns.ClassINET || decoded.Number == "" {
		return Message{ID: decoded.ID}, ErrNotAnAnswer
	}
	if m.Truncated {
		return decoded, ErrTruncated
	}
	var err error
	switch m.Rcode {
	case dns.RcodeNameError: // there is no such name: the number has not been ported
	case dns.RcodeSuccess:
		decoded.Answer, err = answerOf(m.Answer, question.Name)
	default:
		err = &ResponseCodeError{m.Rcode}
	}
	return decoded, err
}

// domainOf returns the domain name of a number: its digits in reverse order, one label each, followed by the suffix.
func domainOf(number, suffix string) string {
	b := make([]byte, 0, 2*len(number)+len(suffix)+1)
	for i := len(number) - 1; i >= 0; i-- {
		b = append(b, number[i], '.')
	}
	return dns.Fqdn(string(b) + suffix)
}

// numberOf returns the number of a domain name, or "" if the name is not that of a number below the suffix.
func numberOf(name, suffix string) string {
	labels, isBelowSuffix := strings.CutSuffix(strings.ToLower(name), "."+strings.ToLower(dns.Fqdn(suffix)))
	if !isBelowSuffix {
		return ""
	}
	reversed := strings.Split(labels, ".")
	digits := make([]byte, 0, len(reversed))
	for i := len(reversed) - 1; i >= 0; i-- {
		label := reversed[i]
		if len(label) != 1 || label[0] < '0' || label[0] > '9' {
			return ""
		}
		digits = append(digits, label[0])
	}
	return string(digits)
}
