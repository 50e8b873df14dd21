package backend

import (
	"testing"
	"time"

	"olivedale/internal/call"
	"olivedale/internal/codec/sip"
)

// Responses are matched by Call-ID and method, regardless of their CSeq number. The final response to an earlier
// attempt must not end a later one. Duplicates and responses with an unknown Call-ID must not reach the call manager,
// which would fail in this test.
func TestMatchingOfAnswers(t *testing.T) {
	c := newTestConn()
	c.conn.MarkClosed()
	p := newSIP(c)
	c.protocol = p
	for attempt := range 2 {
		if _, err := p.appendInvite(nil, call.Setup{ID: "x", Number: "7f3a", Attempt: attempt}); err != nil {
			t.Fatal(err)
		}
		if attempt == 0 {
			p.appendCancel(nil, "x", 0)
		}
	}
	c.openAttempts["x"] = 1
	answer := func(id string, status int) {
		p.handleResponse(&sip.Message{Status: status, CallID: id, CSeq: 1, CSeqMethod: "INVITE"})
	}
	strays := &c.set.Counters.Strays
	answer("x", 487)
	answer("stray", 200)
	if d := p.dialogs["x"]; d == nil || d.expiresAt != 0 || c.openAttempts["x"] != 1 || *strays != 1 {
		t.Errorf("dialog %+v, open attempts %v, strays %d", d, c.openAttempts, *strays)
	}
	answer("x", 503)
	answer("x", 200)
	if d := p.dialogs["x"]; d == nil || d.expiresAt == 0 || len(c.openAttempts) != 0 || *strays != 2 {
		t.Errorf("dialog %+v, open attempts %v, strays %d", d, c.openAttempts, *strays)
	}
	// The dialog must be dropped once no duplicate can arrive any more.
	p.expire(c.set.loop.Now() + duplicateAnswerTimeout + time.Second)
	if len(p.dialogs) != 0 {
		t.Errorf("dialogs %v are left, want none", p.dialogs)
	}
}

func TestAttemptEndOfResponse(t *testing.T) {
	for _, test := range []struct {
		status    int
		diagnosis string
		want      call.AttemptEnd
	}{
		{486, "number_busy", call.DestinationBusy},
		{486, "", call.BackendError},
		{500, "", call.BackendError},
		{503, "cpu_full", call.ProcessorBusy},
		{503, "all_trunks_busy", call.NoCircuit},
		{480, "", call.NotForwarded},
		{504, "", call.FailedInTransit},
		{302, "", call.BackendError},
	} {
		m := &sip.Message{
			Status:  test.status,
			Headers: []sip.Header{{Name: "X-Diagnosis", Value: test.diagnosis}},
		}
		if got := attemptEndOfResponse(m); got != test.want {
			t.Errorf("status %d, diagnosis %q: got %v, want %v", test.status, test.diagnosis, got, test.want)
		}
	}
}
