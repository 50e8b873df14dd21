package enum

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/miekg/dns"
)

const suffix = "e164.test"

// packAnswer returns the answer to a query for 56221 with ID 7. change modifies it before encoding; it may be nil.
func packAnswer(t testing.TB, change func(m *dns.Msg), records ...string) []byte {
	t.Helper()
	b, err := EncodeQuery(7, "56221", suffix)
	if err != nil {
		t.Fatal(err)
	}
	var q, m dns.Msg
	if err := q.Unpack(b); err != nil {
		t.Fatal(err)
	}
	m.SetReply(&q)
	for _, text := range records {
		rr, err := dns.NewRR("1.2.2.6.5.e164.test. 60 IN " + text)
		if err != nil {
			t.Fatal(err)
		}
		m.Answer = append(m.Answer, rr)
	}
	if change != nil {
		change(&m)
	}
	if b, err = m.Pack(); err != nil {
		t.Fatal(err)
	}
	return b
}

func TestDecodeAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		b       []byte
		routing string // "": not ported
		err     error
	}{
		"ported": {
			packAnswer(t, nil, `NAPTR 10 10 "u" "E2U+pstn:tel" "!^.*$!tel:+56221;npdi;rn=+56-999!" .`), "56999", nil,
		},
		"lowest order": {
			packAnswer(t, nil, `NAPTR 20 1 "u" "E2U+pstn:tel" "!^.*$!tel:+1;rn=+1!" .`,
				`NAPTR 10 9 "U" "e2u+pstn" "#^(.*)$#tel:+1;rn=2#" .`), "2", nil,
		},
		"not ported": {
			packAnswer(t, nil, `NAPTR 10 10 "u" "E2U+pstn:tel" "!^.*$!tel:+56221;npdi!" .`), "", nil,
		},
		"no records":     {packAnswer(t, nil), "", nil},
		"no name":        {packAnswer(t, func(m *dns.Msg) { m.Rcode = dns.RcodeNameError }), "", nil},
		"server failure": {packAnswer(t, func(m *dns.Msg) { m.Rcode = dns.RcodeServerFailure }), "", ErrServer},
		"truncated":      {packAnswer(t, func(m *dns.Msg) { m.Truncated = true }), "", ErrTruncated},
		"not terminal": {
			packAnswer(t, nil, `NAPTR 10 10 "" "E2U+pstn:tel" "" 1.2.2.6.5.e164.test.`), "", ErrUnusableRecords,
		},
		"alias": {packAnswer(t, nil, `CNAME 1.2.2.6.5.e164.test.`), "", ErrUnusableRecords},
		"slow expression": {
			packAnswer(t, nil, `NAPTR 10 10 "u" "E2U+pstn:tel" "!^((a+)+)+$!tel:+1;rn=+1!" .`), "", ErrUnusableRecords,
		},
		"back reference": {
			packAnswer(t, nil, `NAPTR 10 10 "u" "E2U+pstn:tel" "!^(.*)$!tel:\\1;rn=+1!" .`), "", ErrUnusableRecords,
		},
		"no digits": {
			packAnswer(t, nil, `NAPTR 10 10 "u" "E2U+pstn:tel" "!^.*$!tel:+1;rn=+1x!" .`), "", ErrUnusableRecords,
		},
		"mail address": {
			packAnswer(t, nil, `NAPTR 10 10 "u" "E2U+pstn:tel" "!^.*$!mailto:a@b;rn=+1!" .`), "", ErrUnusableRecords,
		},
		"query": {packAnswer(t, func(m *dns.Msg) { m.Response = false }), "", ErrNotAnAnswer},
		"other domain": {
			packAnswer(t, func(m *dns.Msg) { m.Question[0].Name = "1.2.2.6.5.e164.arpa." }), "", ErrNotAnAnswer,
		},
	} {
		t.Run(name, func(t *testing.T) {
			m, err := DecodeAnswer(c.b, suffix)
			if !errors.Is(err, c.err) || m.ID != 7 {
				t.Errorf("%+v, %v", m, err)
			}
			if m.Answer.Ported != (c.routing != "") || m.Answer.Routing.String() != c.routing {
				t.Errorf("%+v, want routing number %q", m, c.routing)
			}
			if err == nil && m.Number != "56221" {
				t.Errorf("number %q", m.Number)
			}
			if m.Answer.Ported && m.Answer.TTL != time.Minute {
				t.Errorf("TTL %v", m.Answer.TTL)
			}
		})
	}
}

// The answer to another question is decoded without an error: it is the resolver that rejects mismatched answers.
func TestDecodeAnswerToOtherQuestion(t *testing.T) {
	otherQuestion := func(m *dns.Msg) { m.Question[0].Name = "2.2.2.6.5.e164.test." }
	if m, err := DecodeAnswer(packAnswer(t, otherQuestion), suffix); err != nil || m.Number != "56222" {
		t.Errorf("%q, %v", m.Number, err)
	}
}

func TestResponseCodeError(t *testing.T) {
	serverFailure := func(m *dns.Msg) { m.Rcode = dns.RcodeServerFailure }
	_, err := DecodeAnswer(packAnswer(t, serverFailure), suffix)
	var codeErr *ResponseCodeError
	if !errors.As(err, &codeErr) || codeErr.Code != dns.RcodeServerFailure {
		t.Errorf("%v", err)
	}
}

func TestDecodeTooLargeMessage(t *testing.T) {
	if _, err := DecodeAnswer(make([]byte, 65535), suffix); !errors.Is(err, ErrNotAnAnswer) {
		t.Error(err)
	}
}

func TestEncodeQueryRejectsInvalidNumbers(t *testing.T) {
	for _, number := range []string{"", "+56", strings.Repeat("1", 100)} {
		if _, err := EncodeQuery(1, number, suffix); err == nil {
			t.Errorf("a query for %q was encoded", number)
		}
	}
}

func FuzzDecodeAnswer(f *testing.F) {
	f.Add(packAnswer(f, nil, `NAPTR 10 10 "u" "E2U+pstn:tel" "!^.*$!tel:+56221;npdi;rn=+56-999!" .`))
	f.Add(packAnswer(f, nil))
	f.Add([]byte{0, 7, 0x80})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := DecodeAnswer(b, suffix)
		hasNoNumber := err == nil && m.Number == ""
		isPortedWithError := err != nil && m.Answer.Ported
		hasNoRouting := m.Answer.Ported && m.Answer.Routing.String() == ""
		if hasNoNumber || isPortedWithError || hasNoRouting {
			t.Fatalf("%+v %v", m, err)
		}
	})
}
