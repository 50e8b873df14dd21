package adminapi

import (
	"math"
	"reflect"
	"testing"
	"time"

	"olivedale/internal/codec/h248"
	"olivedale/internal/overload"
)

// parseState parses the state of overload control in an encoded reply.
func parseState(t *testing.T, frame []byte) (s *overload.State) {
	t.Helper()
	var framer h248.Framer
	if err := framer.Feed(frame, func(text []byte) bool {
		m, bad := h248.Parse(text)
		if bad != nil {
			t.Fatal(bad)
		}
		s = ParseOverload(m.Transactions[0].Actions[0].Commands[0].Descriptors)
		return true
	}); err != nil {
		t.Fatal(err)
	}
	return s
}

// TestOverloadStateRoundTrip checks that encoding and parsing preserve a state, and that the state of a fleet of 300
// controllers fits in one message.
func TestOverloadStateRoundTrip(t *testing.T) {
	s := &overload.State{
		Self: 3, Peers: 300, Incarnation: 77,
		Aggregator: 5, AggregatorFor: 3 * time.Second, LastContactAge: 400 * time.Millisecond,
		AliveMembers: 290, PeakMembers: 300, FrequentReports: true, Ejected: 1,
		Servers: []overload.ServerState{{
			ID: "s-1", PendingAttempts: 2, SetupTime: 130 * time.Millisecond,
			Limited: true, ClaimedWait: 900 * time.Millisecond,
			ThrottleProbability: [4]float64{0.98, 0.5, 0, 0}, OverflowProbability: 0.25, Throttled: 12,
		}},
		Aggregates: []overload.AggregateState{
			{Key: overload.ServerKey("s-1"), Offered: 40, Overflow: 2, Answered: 30,
				Wait: time.Second, WaitReports: 100, AdmittedRate: 28},
			{Key: 9, AdmittedRate: math.Inf(1)},
		},
		Counters: overload.Counters{
			Sent: 100, SentBytes: 4000, Received: 90, Throttled: 12, Admitted: 40, AggregatorsEjected: 1,
		},
	}
	for i := range 300 {
		s.Members = append(s.Members, overload.MemberState{
			Number: i, Status: overload.Alive, LastReportAge: 123456789 * time.Nanosecond,
			LossShare: 0.125, ReportSpan: 500 * time.Millisecond,
		})
	}
	audit := &h248.Command{Name: "AuditValue", Termination: OverloadTermination, Descriptors: OverloadNodes(s)}
	action := &h248.Action{Context: "-", Commands: []*h248.Command{audit}}
	reply := &h248.Transaction{Kind: h248.Reply, ID: 1, Actions: []*h248.Action{action}}
	frame, err := h248.AppendFrame(nil, &h248.Message{MID: "<a>:1", Transactions: []*h248.Transaction{reply}})
	if err != nil {
		t.Fatal(err)
	}
	got := parseState(t, frame)
	s.Members = s.Members[:maxReportedNodes]
	if !reflect.DeepEqual(got, s) {
		t.Errorf("sent %+v, received %+v", s, got)
	}
	if ParseOverload(nil) != nil {
		t.Error("ParseOverload returned a state for descriptors that contain none")
	}
}
