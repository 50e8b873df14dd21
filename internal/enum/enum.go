// Package enum asks for ported numbers over DNS: ENUM of RFC 6116 with the parameters of RFC 4694
// and the service of RFC 4769. It owns the form of questions and answers and the sockets; what is
// asked, of whom and for how long is for internal/portability.
package enum

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/miekg/dns"

	"olivedale/internal/numbering"
	"olivedale/internal/portability"
)

// MaxMessageBytes bounds an answer; EDNS asks for no more, so that nothing comes in pieces.
const MaxMessageBytes = 1232

// Errors of an answer. All of them mean that the server could not tell.
var (
	ErrTruncated       = errors.New("cut short (TC)")
	ErrServer          = errors.New("the server reports an error")
	ErrUnusableRecords = errors.New("records that are of no use")
	ErrNotAnAnswer     = errors.New("no answer to a question of ours")
)

// domain is a number's under a suffix: its digits turned round, a label each.
func domain(number, suffix string) string {
	b := make([]byte, 0, 2*len(number)+len(suffix)+1)
	for i := len(number) - 1; i >= 0; i-- {
		b = append(b, number[i], '.')
	}
	return dns.Fqdn(string(b) + suffix)
}

// EncodeQuery makes the question for a number of E.164 digits.
func EncodeQuery(id uint16, number, suffix string) ([]byte, error) {
	if _, ok := numbering.MakeDigits(number); !ok {
		return nil, fmt.Errorf("enum: %q is no number", number)
	}
	m := &dns.Msg{}
	m.SetQuestion(domain(number, suffix), dns.TypeNAPTR)
	m.Id = id
	m.SetEdns0(MaxMessageBytes, false)
	b, err := m.Pack()
	if err != nil {
		return nil, fmt.Errorf("enum: %w", err)
	}
	return b, nil
}

// DecodeAnswer reads a message as the answer to a question: under which id, for which number. Where err is
// not nil id and number are told as far as they could be read; an answer without an id is a stray.
func DecodeAnswer(b []byte, suffix string) (id uint16, number string, a portability.Answer, err error) {
	if len(b) < 12 || len(b) > MaxMessageBytes {
		return 0, "", a, ErrNotAnAnswer
	}
	id = uint16(b[0])<<8 | uint16(b[1])
	var m dns.Msg
	if err := m.Unpack(b); err != nil {
		return id, "", a, fmt.Errorf("enum: %w", err)
	}
	if !m.Response || len(m.Question) != 1 || m.Question[0].Qtype != dns.TypeNAPTR || m.Question[0].Qclass != dns.ClassINET {
		return id, "", a, ErrNotAnAnswer
	}
	if number = numberOf(m.Question[0].Name, suffix); number == "" {
		return id, "", a, ErrNotAnAnswer
	}
	switch {
	case m.Truncated:
		return id, number, a, ErrTruncated
	case m.Rcode == dns.RcodeNameError:
		return id, number, a, nil // there is no record: it has not moved
	case m.Rcode != dns.RcodeSuccess:
		return id, number, a, fmt.Errorf("%w: %s", ErrServer, dns.RcodeToString[m.Rcode])
	}
	a, err = pick(m.Answer, m.Question[0].Name)
	return id, number, a, err
}

// numberOf reads a number back out of its domain.
func numberOf(name, suffix string) string {
	rest, ok := strings.CutSuffix(strings.ToLower(name), "."+strings.ToLower(dns.Fqdn(suffix)))
	if !ok {
		return ""
	}
	labels := strings.Split(rest, ".")
	b := make([]byte, 0, len(labels))
	for i := len(labels) - 1; i >= 0; i-- {
		if len(labels[i]) != 1 || labels[i][0] < '0' || labels[i][0] > '9' {
			return ""
		}
		b = append(b, labels[i][0])
	}
	return string(b)
}

// pick takes the record that counts: of those for the service, the least order and preference.
func pick(all []dns.RR, name string) (a portability.Answer, err error) {
	var best *dns.NAPTR
	seen := false
	for _, rr := range all {
		n, ok := rr.(*dns.NAPTR)
		if !ok || !strings.EqualFold(n.Hdr.Name, name) {
			continue // an alias is not followed: a loop of them would be
		}
		seen = true
		if !service(n.Service) || !strings.EqualFold(n.Flags, "u") {
			continue // one that leads to another question is not followed either
		}
		if best == nil || n.Order < best.Order || n.Order == best.Order && n.Preference < best.Preference {
			best = n
		}
	}
	if best == nil {
		if seen || len(all) > 0 {
			return a, ErrUnusableRecords
		}
		return a, nil // no records: it has not moved
	}
	uri, err := replacement(best.Regexp)
	if err != nil {
		return a, err
	}
	a.TTL = time.Duration(best.Hdr.Ttl) * time.Second
	params := strings.Split(uri, ";")
	if !strings.HasPrefix(strings.ToLower(params[0]), "tel:") {
		return a, ErrUnusableRecords
	}
	for _, p := range params[1:] {
		key, value, _ := strings.Cut(p, "=")
		if !strings.EqualFold(key, "rn") {
			continue
		}
		digits, ok := numbering.MakeDigits(strings.Map(func(c rune) rune {
			if strings.ContainsRune("-.()", c) {
				return -1 // visual separators of RFC 3966
			}
			return c
		}, strings.TrimPrefix(value, "+")))
		if !ok {
			return a, ErrUnusableRecords
		}
		a.Ported, a.Routing = true, digits
	}
	return a, nil
}

// service tells whether a NAPTR is of the service pstn, of any type.
func service(s string) bool {
	s = strings.ToLower(s)
	if !strings.HasPrefix(s, "e2u+") {
		return false
	}
	for _, part := range strings.Split(s[4:], "+") {
		if kind, _, _ := strings.Cut(part, ":"); kind == "pstn" {
			return true
		}
	}
	return false
}

// replacement reads the URI of a substitution that takes the whole number. Expressions of any
// other kind are not run: they are of no use here, and one meant to hang must not.
func replacement(regexp string) (string, error) {
	if len(regexp) < 3 {
		return "", ErrUnusableRecords
	}
	parts := strings.Split(regexp[1:], regexp[:1])
	if len(parts) != 3 || parts[0] != "^.*$" && parts[0] != "^(.*)$" || strings.Contains(parts[1], `\`) {
		return "", ErrUnusableRecords
	}
	return parts[1], nil
}
