package overload

import (
	"fmt"
	"strings"
	"testing"

	"olivedale/internal/goldentest"
)

// goldenMessages are datagrams of every kind, with edge values and with more than fits.
func goldenMessages() []goldentest.Message {
	of := func(kind int) head { return head{kind: kind, from: 3, boot: 1764547200, seq: 77} }
	largest := func(kind int) head { return head{kind: kind, from: mostPeers - 1, boot: 1<<32 - 1, seq: 1<<32 - 1} }
	sights := []sight{
		{key: 0x010203, off: [tiers]int{1, 2, 3, 4}, over: 5, done: 6, wait: 7, pressed: true},
		{key: 0xffffff, off: [tiers]int{mostCount, 0, 0, mostCount}, wait: mostWait},
		{key: ServerKey("s-00c41f7a")},
	}
	terms := []term{{key: 0x010203, tier: 2, part: 128, over: 64, wait: 100}, {key: 0xffffff, tier: tiers - 1, part: 255, over: 255, wait: mostWait}, {}}
	encode := func(name string, m interface{ append([]byte) []byte }) goldentest.Message {
		return goldentest.Message{Name: name, Bytes: m.append(nil)}
	}
	return []goldentest.Message{
		encode("report", &report{head: of(kindReport), span: 50, hot: true, sights: sights}),
		encode("report without sights", &report{head: largest(kindReport), span: mostWait}),
		encode("report cut to its limit", &report{head: of(kindReport), sights: make([]sight, 100)}),
		encode("word", &word{head: of(kindWord), live: 290, terms: terms}),
		encode("word without terms", &word{head: largest(kindWord), live: mostPeers}),
		encode("word cut to its limit", &word{head: of(kindWord), terms: make([]term, 100)}),
		encode("roll", &roll{head: of(kindRoll), live: 9, of: 300, present: []byte{0xff, 0x01, 0x80}}),
		encode("roll cut to its limit", &roll{head: largest(kindRoll), live: mostPeers, of: mostPeers, present: make([]byte, 300)}),
		{Name: "received empty", Bytes: nil},
		{Name: "received of another version", Bytes: []byte{2<<4 | kindReport, 1, 1, 1, 0}},
		{Name: "received of an unknown kind", Bytes: []byte{version<<4 | 9, 1, 1, 1, 0}},
		{Name: "received cut short", Bytes: []byte{version<<4 | kindWord, 1, 1, 1, 0, 1, 2}},
		{Name: "received with a tier out of range", Bytes: []byte{version<<4 | kindWord, 1, 1, 1, 0, 1, 2, 3, tiers, 0, 0, 0}},
	}
}

// dumpMessage writes a decoded datagram under labels that are fixed.
func dumpMessage(b *strings.Builder, m any) {
	begin := func(what string, h *head) {
		_, _ = fmt.Fprintf(b, "%s kind %d from %d boot %d sequence %d", what, h.kind, h.from, h.boot, h.seq)
	}
	switch m := m.(type) {
	case *report:
		begin("report", &m.head)
		_, _ = fmt.Fprintf(b, " span %d pressed %v\n", m.span, m.hot)
		for _, s := range m.sights {
			_, _ = fmt.Fprintf(b, "  server %06x offered %v second-choice %d answered %d wait %d pressed %v\n", s.key, s.off, s.over, s.done, s.wait, s.pressed)
		}
	case *word:
		begin("word", &m.head)
		_, _ = fmt.Fprintf(b, " live %d\n", m.live)
		for _, t := range m.terms {
			_, _ = fmt.Fprintf(b, "  server %06x tier %d part %d second-choice %d wait %d\n", t.key, t.tier, t.part, t.over, t.wait)
		}
	case *roll:
		begin("roll", &m.head)
		_, _ = fmt.Fprintf(b, " live %d most %d present %x\n", m.live, m.of, m.present)
	}
}

// Datagrams are written as the committed bytes, and these are read as the committed dump.
func TestGoldenDatagrams(t *testing.T) {
	var dump strings.Builder
	for _, m := range goldentest.Messages(t, "datagrams.txt", goldenMessages()) {
		decoded, err := decode(m.Bytes)
		_, _ = fmt.Fprintf(&dump, "== %s: %d bytes, error %v\n", m.Name, len(m.Bytes), err)
		dumpMessage(&dump, decoded)
	}
	goldentest.Compare(t, "decoded.txt", dump.String())
}
