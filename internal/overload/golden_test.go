package overload

import (
	"fmt"
	"strings"
	"testing"

	"olivedale/internal/goldentest"
)

// goldenMessages returns messages of every kind, including edge values and more entries than fit. Their names appear in
// the golden files.
func goldenMessages() []goldentest.Message {
	header := func(kind messageKind) messageHeader {
		return messageHeader{kind: kind, sender: 3, incarnation: 1764547200, sequence: 77}
	}
	largestHeader := func(kind messageKind) messageHeader {
		return messageHeader{kind: kind, sender: maxMembers - 1, incarnation: 1<<32 - 1, sequence: 1<<32 - 1}
	}
	samples := []serverSample{
		{key: 0x010203, offered: [priorityCount]int{1, 2, 3, 4}, overflow: 5, answered: 6, wait: 7, overloaded: true},
		{key: 0xffffff, offered: [priorityCount]int{maxCount, 0, 0, maxCount}, wait: maxWait},
		{key: ServerKey("s-00c41f7a")},
	}
	limits := []serverLimit{
		{key: 0x010203, priority: 2, throttle: 128, overflowThrottle: 64, wait: 100},
		{key: 0xffffff, priority: priorityCount - 1, throttle: 255, overflowThrottle: 255, wait: maxWait},
		{},
	}
	encode := func(name string, m message) goldentest.Message {
		return goldentest.Message{Name: name, Bytes: m.append(nil)}
	}
	return []goldentest.Message{
		encode("report", &loadReport{messageHeader: header(kindLoadReport), span: 50, overloaded: true, samples: samples}),
		encode("report without samples", &loadReport{messageHeader: largestHeader(kindLoadReport), span: maxWait}),
		encode("report truncated to the maximum length", &loadReport{
			messageHeader: header(kindLoadReport),
			samples:       make([]serverSample, 100),
		}),
		encode("limit update", &limitUpdate{messageHeader: header(kindLimitUpdate), aliveMembers: 290, limits: limits}),
		encode("limit update without limits", &limitUpdate{messageHeader: largestHeader(kindLimitUpdate), aliveMembers: maxMembers}),
		encode("limit update truncated to the maximum length", &limitUpdate{
			messageHeader: header(kindLimitUpdate),
			limits:        make([]serverLimit, 100),
		}),
		encode("membership digest", &membershipDigest{
			messageHeader: header(kindMembershipDigest),
			aliveMembers:  9,
			peakMembers:   300,
			members:       []byte{0xff, 0x01, 0x80},
		}),
		encode("membership digest truncated to the maximum length", &membershipDigest{
			messageHeader: largestHeader(kindMembershipDigest),
			aliveMembers:  maxMembers,
			peakMembers:   maxMembers,
			members:       make([]byte, 300),
		}),
		{Name: "received empty", Bytes: nil},
		{Name: "received of another version", Bytes: []byte{2<<4 | byte(kindLoadReport), 1, 1, 1, 0}},
		{Name: "received of an unknown kind", Bytes: []byte{protocolVersion<<4 | 9, 1, 1, 1, 0}},
		{Name: "received cut short", Bytes: []byte{protocolVersion<<4 | byte(kindLimitUpdate), 1, 1, 1, 0, 1, 2}},
		{
			Name:  "received with a priority out of range",
			Bytes: []byte{protocolVersion<<4 | byte(kindLimitUpdate), 1, 1, 1, 0, 1, 2, 3, priorityCount, 0, 0, 0},
		},
	}
}

// dumpMessage writes a decoded message in the format of the golden file.
func dumpMessage(b *strings.Builder, m message) {
	writeHeader := func(label string, h *messageHeader) {
		_, _ = fmt.Fprintf(b, "%s kind %d from %d incarnation %d sequence %d",
			label, h.kind, h.sender, h.incarnation, h.sequence)
	}
	switch m := m.(type) {
	case *loadReport:
		writeHeader("report", &m.messageHeader)
		_, _ = fmt.Fprintf(b, " span %d overloaded %v\n", m.span, m.overloaded)
		for _, s := range m.samples {
			_, _ = fmt.Fprintf(b, "  server %06x offered %v overflow %d answered %d wait %d overloaded %v\n",
				s.key, s.offered, s.overflow, s.answered, s.wait, s.overloaded)
		}
	case *limitUpdate:
		writeHeader("limit update", &m.messageHeader)
		_, _ = fmt.Fprintf(b, " alive %d\n", m.aliveMembers)
		for _, l := range m.limits {
			_, _ = fmt.Fprintf(b, "  server %06x priority %d throttle %d overflow throttle %d wait %d\n",
				l.key, l.priority, l.throttle, l.overflowThrottle, l.wait)
		}
	case *membershipDigest:
		writeHeader("membership digest", &m.messageHeader)
		_, _ = fmt.Fprintf(b, " alive %d peak %d members %x\n", m.aliveMembers, m.peakMembers, m.members)
	}
}

// Messages are encoded to the committed bytes, and these are decoded to the committed dump.
func TestGoldenDatagrams(t *testing.T) {
	var dump strings.Builder
	for _, m := range goldentest.CompareMessages(t, "datagrams.txt", goldenMessages()) {
		decoded, err := decode(m.Bytes)
		_, _ = fmt.Fprintf(&dump, "== %s: %d bytes, error %v\n", m.Name, len(m.Bytes), err)
		dumpMessage(&dump, decoded)
	}
	goldentest.Compare(t, "decoded.txt", dump.String())
}
