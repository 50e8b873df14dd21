package enum

import (
	"strings"
	"time"

	"github.com/miekg/dns"

	"olivedale/internal/numbering"
	"olivedale/internal/portability"
)

// answerOf returns the answer that the records for a domain name contain. If there are no records at all, the number
// has not been ported.
func answerOf(records []dns.RR, name string) (portability.Answer, error) {
	if len(records) == 0 {
		return portability.Answer{}, nil
	}
	record := preferredRecord(records, name)
	if record == nil {
		return portability.Answer{}, ErrUnusableRecords
	}
	uri, err := replacementOf(record.Regexp)
	if err != nil {
		return portability.Answer{}, err
	}
	answer, err := parseTelURI(uri)
	if err != nil {
		return portability.Answer{}, err
	}
	answer.TTL = time.Duration(record.Hdr.Ttl) * time.Second
	return answer, nil
}

// preferredRecord returns the terminal NAPTR record for the Enumservice "pstn" with the lowest order and preference, or
// nil. Aliases and non-terminal records are not followed, since they might form a loop.
func preferredRecord(records []dns.RR, name string) *dns.NAPTR {
	var preferred *dns.NAPTR
	for _, record := range records {
		naptr, isNAPTR := record.(*dns.NAPTR)
		if !isNAPTR || !strings.EqualFold(naptr.Hdr.Name, name) {
			continue
		}
		isTerminal := strings.EqualFold(naptr.Flags, "u")
		if isTerminal && isPSTNService(naptr.Service) && (preferred == nil || hasLowerOrder(naptr, preferred)) {
			preferred = naptr
		}
	}
	return preferred
}

func hasLowerOrder(a, b *dns.NAPTR) bool {
	if a.Order != b.Order {
		return a.Order < b.Order
	}
	return a.Preference < b.Preference
}

// isPSTNService reports whether the service field of a NAPTR record names the Enumservice "pstn" with any subtype.
func isPSTNService(field string) bool {
	services, isENUM := strings.CutPrefix(strings.ToLower(field), "e2u+")
	if !isENUM {
		return false
	}
	for service := range strings.SplitSeq(services, "+") {
		kind, _, _ := strings.Cut(service, ":")
		if kind == "pstn" {
			return true
		}
	}
	return false
}

// replacementOf returns the URI of a substitution expression that replaces the whole number. Other expressions are
// rejected and never evaluated, since an expression can be crafted to take very long.
func replacementOf(expression string) (string, error) {
	if len(expression) < 3 {
		return "", ErrUnusableRecords
	}
	parts := strings.Split(expression[1:], expression[:1])
	if len(parts) != 3 {
		return "", ErrUnusableRecords
	}
	pattern, replacement := parts[0], parts[1]
	matchesAll := pattern == "^.*$" || pattern == "^(.*)$"
	hasBackReference := strings.Contains(replacement, `\`)
	if !matchesAll || hasBackReference {
		return "", ErrUnusableRecords
	}
	return replacement, nil
}

// parseTelURI returns the answer that a tel URI contains. The number has been ported if there is a routing number,
// which is the parameter "rn".
func parseTelURI(uri string) (answer portability.Answer, err error) {
	params := strings.Split(uri, ";")
	if !strings.HasPrefix(strings.ToLower(params[0]), "tel:") {
		return answer, ErrUnusableRecords
	}
	for _, param := range params[1:] {
		key, value, _ := strings.Cut(param, "=")
		if !strings.EqualFold(key, "rn") {
			continue
		}
		routing, ok := numbering.ParseDigits(removeSeparators(strings.TrimPrefix(value, "+")))
		if !ok {
			return portability.Answer{}, ErrUnusableRecords
		}
		answer.Ported = true
		answer.Routing = routing
	}
	return answer, nil
}

// removeSeparators removes the visual separators of RFC 3966 from a number.
func removeSeparators(number string) string {
	return strings.Map(func(c rune) rune {
		if strings.ContainsRune("-.()", c) {
			return -1
		}
		return c
	}, number)
}
