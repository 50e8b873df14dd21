package enum

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/miekg/dns"
)

const suffix = "e164.test"

// reply packs an answer to the question for 56221.
func reply(t testing.TB, change func(m *dns.Msg), records ...string) []byte {
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

func TestAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		b     []byte
		moved string
		err   error
	}{
		"moved":        {reply(t, nil, `NAPTR 10 10 "u" "E2U+pstn:tel" "!^.*$!tel:+56221;npdi;rn=+56-999!" .`), "56999", nil},
		"the first":    {reply(t, nil, `NAPTR 20 1 "u" "E2U+pstn:tel" "!^.*$!tel:+1;rn=+1!" .`, `NAPTR 10 9 "U" "e2u+pstn" "#^(.*)$#tel:+1;rn=2#" .`), "2", nil},
		"stays":        {reply(t, nil, `NAPTR 10 10 "u" "E2U+pstn:tel" "!^.*$!tel:+56221;npdi!" .`), "", nil},
		"no records":   {reply(t, nil), "", nil},
		"no name":      {reply(t, func(m *dns.Msg) { m.Rcode = dns.RcodeNameError }), "", nil},
		"server fails": {reply(t, func(m *dns.Msg) { m.Rcode = dns.RcodeServerFailure }), "", ErrServer},
		"cut":          {reply(t, func(m *dns.Msg) { m.Truncated = true }), "", ErrTruncated},
		"a loop":       {reply(t, nil, `NAPTR 10 10 "" "E2U+pstn:tel" "" 1.2.2.6.5.e164.test.`), "", ErrUnusableRecords},
		"an alias":     {reply(t, nil, `CNAME 1.2.2.6.5.e164.test.`), "", ErrUnusableRecords},
		"to hang":      {reply(t, nil, `NAPTR 10 10 "u" "E2U+pstn:tel" "!^((a+)+)+$!tel:+1;rn=+1!" .`), "", ErrUnusableRecords},
		"a backref":    {reply(t, nil, `NAPTR 10 10 "u" "E2U+pstn:tel" "!^(.*)$!tel:\\1;rn=+1!" .`), "", ErrUnusableRecords},
		"no digits":    {reply(t, nil, `NAPTR 10 10 "u" "E2U+pstn:tel" "!^.*$!tel:+1;rn=+1x!" .`), "", ErrUnusableRecords},
		"mail":         {reply(t, nil, `NAPTR 10 10 "u" "E2U+pstn:tel" "!^.*$!mailto:a@b;rn=+1!" .`), "", ErrUnusableRecords},
		"a question":   {reply(t, func(m *dns.Msg) { m.Response = false }), "", ErrNotAnAnswer},
		"other domain": {reply(t, func(m *dns.Msg) { m.Question[0].Name = "1.2.2.6.5.e164.arpa." }), "", ErrNotAnAnswer},
	} {
		id, number, a, err := DecodeAnswer(c.b, suffix)
		if !errors.Is(err, c.err) || id != 7 || a.Ported != (c.moved != "") || a.Ported && a.Routing.String() != c.moved {
			t.Errorf("%s: %d %q %+v, %v", name, id, number, a, err)
		}
		if err == nil && number != "56221" || a.Ported && a.TTL != time.Minute {
			t.Errorf("%s: %q, %v", name, number, a.TTL)
		}
	}
	// Another question is told as such: it is for the resolver to see the lie.
	if _, number, _, err := DecodeAnswer(reply(t, func(m *dns.Msg) { m.Question[0].Name = "2.2.2.6.5.e164.test." }), suffix); err != nil || number != "56222" {
		t.Errorf("%q, %v", number, err)
	}
	if _, _, _, err := DecodeAnswer(make([]byte, 65535), suffix); !errors.Is(err, ErrNotAnAnswer) {
		t.Error(err)
	}
	for _, number := range []string{"", "+56", strings.Repeat("1", 100)} {
		if _, err := EncodeQuery(1, number, suffix); err == nil {
			t.Errorf("%q was asked for", number)
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add(reply(f, nil, `NAPTR 10 10 "u" "E2U+pstn:tel" "!^.*$!tel:+56221;npdi;rn=+56-999!" .`))
	f.Add(reply(f, nil))
	f.Add([]byte{0, 7, 0x80})
	f.Fuzz(func(t *testing.T, b []byte) {
		_, number, a, err := DecodeAnswer(b, suffix)
		if err == nil && number == "" || err != nil && a.Ported || a.Ported && a.Routing.String() == "" {
			t.Fatalf("%q %+v %v", number, a, err)
		}
	})
}
