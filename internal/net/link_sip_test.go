package net

import (
	"testing"

	"lapiscourse/internal/call"
	"lapiscourse/internal/net/sip"
)

// The last word on an earlier attempt must not make a later one's dialog be forgotten.
func TestLateFinalResponseKeepsTheLaterDialog(t *testing.T) {
	n := &Node{}
	n.loop.start()
	n.core = call.New(nil, nil, n.now, call.Limits{})
	d := newSIP(n)
	l := &link{n: n, s: &stream{shut: true}, talk: d, out: make(map[string]int)}
	for attempt := range 2 {
		if _, err := d.invite(nil, call.Setup{ID: "x", Number: "7f3a", Attempt: attempt}); err != nil {
			t.Fatal(err)
		}
	}
	l.out["x"] = 1
	d.response(l, &sip.Message{Status: 487, CallID: "x", CSeq: 1, CSeqMethod: "INVITE"})
	if g := d.dialogs["x"]; g == nil || g.ends != 0 || l.out["x"] != 1 {
		t.Errorf("dialog %+v, out %v", g, l.out)
	}
	d.response(l, &sip.Message{Status: 503, CallID: "x", CSeq: 2, CSeqMethod: "INVITE"})
	if g := d.dialogs["x"]; g.ends == 0 || len(l.out) != 0 {
		t.Errorf("dialog %+v, out %v", g, l.out)
	}
}

func TestEndsOfResponses(t *testing.T) {
	for _, test := range []struct {
		status int
		note   string
		want   call.End
	}{{486, "number_busy", call.CalleeBusy}, {486, "", call.Fault}, {500, "", call.Fault}, {503, "cpu_full", call.ProcessorFull},
		{503, "all_trunks_busy", call.NoCircuit}, {480, "", call.NeverLeft}, {504, "", call.BrokeOnWay}, {302, "", call.Fault}} {
		m := &sip.Message{Status: test.status, Headers: []sip.Header{{Name: "X-Diagnosis", Value: test.note}}}
		if got := sipEnd(m); got != test.want {
			t.Errorf("%d %s: %v, want %v", test.status, test.note, got, test.want)
		}
	}
}
