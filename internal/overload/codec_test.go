package overload

import (
	"errors"
	"reflect"
	"testing"
)

func TestDecodeErrors(t *testing.T) {
	limitUpdateHeader := []byte{protocolVersion<<4 | byte(kindLimitUpdate), 1, 1, 1}
	for _, test := range []struct {
		name    string
		payload []byte
		want    error
	}{
		{"empty", nil, ErrTruncated},
		{"too long", make([]byte, MaxMessageBytes+1), ErrTooLong},
		{"another version", []byte{2<<4 | byte(kindLoadReport), 1, 1, 1, 0}, ErrUnsupported},
		{"unknown kind", []byte{protocolVersion<<4 | 9, 1, 1, 1, 0}, ErrUnsupported},
		{"header cut short", limitUpdateHeader[:2], ErrTruncated},
		{"limit cut short", append(limitUpdateHeader[:4:4], 0, 1, 2), ErrTruncated},
		{"priority out of range", append(limitUpdateHeader[:4:4], 0, 1, 2, 3, priorityCount, 0, 0, 0), ErrOutOfRange},
	} {
		t.Run(test.name, func(t *testing.T) {
			if m, err := decode(test.payload); !errors.Is(err, test.want) || m != nil {
				t.Errorf("decoded %v with error %v, want %v", m, err, test.want)
			}
		})
	}
}

func TestReceiveRejectsWrongSender(t *testing.T) {
	m := newCluster(t, 3, 1).members[0]
	report := newReport(messageHeader{sender: 1, incarnation: 1, sequence: 1}, 50)
	var senderError *SenderError
	err := m.Receive(1000*second, 2, report.append(nil))
	if !errors.As(err, &senderError) || *senderError != (SenderError{Claimed: 1, Actual: 2}) {
		t.Errorf("a report that names 1 but was sent by 2: error %v", err)
	}
	if err := m.Receive(1000*second, -1, report.append(nil)); err != nil {
		t.Errorf("a report from an unknown address: %v", err)
	}
	if m.Misattributed != 1 {
		t.Errorf("%d datagrams were counted as misattributed, want 1", m.Misattributed)
	}
}

// FuzzDecode checks that every message that can be decoded survives encoding and decoding again.
func FuzzDecode(f *testing.F) {
	report := loadReport{
		messageHeader: messageHeader{kind: kindLoadReport, sender: 3, incarnation: 1_700_000_000, sequence: 9},
		span:          50,
		overloaded:    true,
		samples: []serverSample{
			{
				key: 0xabcdef, offered: [priorityCount]int{1, 2, 3, 4},
				overflow: 5, answered: 6, wait: 7, overloaded: true,
			},
			{key: 1, answered: 300},
		},
	}
	update := limitUpdate{
		messageHeader: messageHeader{kind: kindLimitUpdate, sender: 2, incarnation: 5, sequence: 7},
		aliveMembers:  300,
		limits:        []serverLimit{{1, 2, 250, 3, 400}, {5, 0, 0, 255, 0}},
	}
	digest := membershipDigest{
		messageHeader: messageHeader{kind: kindMembershipDigest, sender: 2, incarnation: 5, sequence: 7},
		aliveMembers:  299,
		peakMembers:   300,
		members:       []byte{255, 1},
	}
	f.Add(report.append(nil))
	f.Add(update.append(nil))
	f.Add(digest.append(nil))
	f.Add([]byte{0x11})
	f.Fuzz(func(t *testing.T, payload []byte) {
		decoded, err := decode(payload)
		if err != nil {
			return
		}
		encoded := decoded.append(nil)
		if len(encoded) > MaxMessageBytes {
			t.Fatalf("encoded to %d bytes, want at most %d", len(encoded), MaxMessageBytes)
		}
		decodedAgain, err := decode(encoded)
		if err != nil {
			t.Fatalf("the encoded message cannot be decoded: %v", err)
		}
		mayBeCut := len(encoded) >= MaxMessageBytes-20
		if !mayBeCut && !reflect.DeepEqual(decoded, decodedAgain) {
			t.Fatalf("encoded %+v, decoded %+v", decoded, decodedAgain)
		}
	})
}
