package adminapi

import (
	"math"
	"reflect"
	"testing"
	"time"

	"olivedale/internal/codec/h248"
	"olivedale/internal/overload"
)

// What is shared comes over the admin door as it is, through the text of a message, and a large fleet fits.
func TestShareOverTheWire(t *testing.T) {
	s := &overload.State{Self: 3, Peers: 300, Boot: 77, Teller: 5, Since: 3 * time.Second, Heard: 400 * time.Millisecond, Live: 290, Of: 300, Often: true, Shunned: 1,
		Servers:  []overload.ServerState{{ID: "s-1", Waiting: 2, Wait: 130 * time.Millisecond, Obeyed: true, Claim: 900 * time.Millisecond, Hold: [4]float64{0.98, 0.5, 0, 0}, Over: 0.25, Held: 12}},
		Told:     []overload.SumState{{Key: overload.Key("s-1"), Offered: 40, Over: 2, Done: 30, Wait: time.Second, Told: 100, Budget: 28}, {Key: 9, Budget: math.Inf(1)}},
		Counters: overload.Counters{Said: 100, SaidBytes: 4000, Heard: 90, Held: 12, Passed: 40, Wrong: 1}}
	for i := range 300 {
		s.Reporters = append(s.Reporters, overload.PeerState{Number: i, Presence: overload.Live, Heard: 123456789 * time.Nanosecond, Lost: 0.125, Last: 500 * time.Millisecond})
	}
	frame, err := h248.AppendFrame(nil, &h248.Message{MID: "<a>:1", Transactions: []*h248.Transaction{{Kind: h248.Reply, ID: 1,
		Actions: []*h248.Action{{Context: "-", Commands: []*h248.Command{{Name: "AuditValue", Termination: ShareTermination, Descriptors: ShareNodes(s)}}}}}}})
	if err != nil {
		t.Fatal(err)
	}
	var got *overload.State
	var in h248.Framer
	if err := in.Feed(frame, func(text []byte) bool {
		m, bad := h248.Parse(text)
		if bad != nil {
			t.Fatal(bad)
		}
		got = ReadShare(m.Transactions[0].Actions[0].Commands[0].Descriptors)
		return true
	}); err != nil {
		t.Fatal(err)
	}
	s.Reporters = s.Reporters[:mostShareNodes]
	if !reflect.DeepEqual(got, s) {
		t.Errorf("%+v came as %+v", s, got)
	}
	if ReadShare(nil) != nil {
		t.Error("nothing was read as something")
	}
}
