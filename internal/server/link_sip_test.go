package server

import (
	"go.uber.org/zap"

	"testing"
	"time"

	"olivedale/internal/call"
	"olivedale/internal/codec/sip"
)

// Answers are paired by Call-ID and method, whatever number their CSeq has. The last word on
// an earlier attempt must not end a later one, and neither copies nor answers under
// ids that nobody sent reach the core, which would have nothing to do but fail here.
func TestPairingOfAnswers(t *testing.T) {
	n := &Node{}
	n.loop.start(zap.NewNop(), time.Now)
	n.core = call.NewManager(nil, nil, n.now, call.Limits{})
	d := newSIP(n)
	l := &link{n: n, s: &stream{shut: true}, talk: d, out: make(map[string]int)}
	for attempt := range 2 {
		if _, err := d.invite(nil, call.Setup{ID: "x", Number: "7f3a", Attempt: attempt}); err != nil {
			t.Fatal(err)
		}
		if attempt == 0 {
			d.cancel(nil, "x", 0)
		}
	}
	l.out["x"] = 1
	answer := func(id string, status int) {
		d.response(l, &sip.Message{Status: status, CallID: id, CSeq: 1, CSeqMethod: "INVITE"})
	}
	answer("x", 487)
	answer("stray", 200)
	if g := d.dialogs["x"]; g == nil || g.ends != 0 || l.out["x"] != 1 || n.Strays != 1 {
		t.Errorf("dialog %+v, out %v, strays %d", g, l.out, n.Strays)
	}
	answer("x", 503)
	answer("x", 200)
	if g := d.dialogs["x"]; g == nil || g.ends == 0 || len(l.out) != 0 || n.Strays != 2 {
		t.Errorf("dialog %+v, out %v, strays %d", g, l.out, n.Strays)
	}
	d.sweep(n.now() + again + time.Second) // it is kept for no longer than a second copy may take
	if len(d.dialogs) != 0 {
		t.Errorf("dialogs %v", d.dialogs)
	}
}

func TestEndsOfResponses(t *testing.T) {
	for _, test := range []struct {
		status int
		note   string
		want   call.AttemptEnd
	}{{486, "number_busy", call.DestinationBusy}, {486, "", call.BackendError}, {500, "", call.BackendError}, {503, "cpu_full", call.ProcessorBusy},
		{503, "all_trunks_busy", call.NoCircuit}, {480, "", call.NotForwarded}, {504, "", call.FailedInTransit}, {302, "", call.BackendError}} {
		m := &sip.Message{Status: test.status, Headers: []sip.Header{{Name: "X-Diagnosis", Value: test.note}}}
		if got := sipEnd(m); got != test.want {
			t.Errorf("%d %s: %v, want %v", test.status, test.note, got, test.want)
		}
	}
}
