package server

import (
	"strconv"
	"strings"
	"time"

	"olivedale/internal/admission"
	"olivedale/internal/call"
	"olivedale/internal/codec/sip"
)

// sipDialect speaks SIP with one exchange. Answers are paired by Call-ID and method: exchanges are
// not bound to repeat the number in CSeq. Where an earlier attempt of the call was answered there,
// the number tells a second copy of that answer from the one that is waited for, if the exchange has
// been seen to repeat it.
type sipDialect struct {
	n       *Node
	in      sip.Reader
	dialogs map[string]*dialog // by Call-ID
	numbers echo
}

// echo is what is known of an exchange's numbers in CSeq: nothing, that it repeats ours, that it does not.
type echo int

const (
	untold echo = iota
	repeats
	others
)

// A dialog is the latest attempt of a call at the exchange.
type dialog struct {
	number    string
	attempt   int
	cancelled bool
	answered  bool          // the last word on it has come
	owed      bool          // so has not that on an earlier one, which was cancelled
	before    bool          // an earlier one was answered: the answer may come a second time
	ends      time.Duration // forgotten then; 0: while the call is open
}

func newSIP(n *Node) *sipDialect { return &sipDialect{n: n, dialogs: make(map[string]*dialog)} }

func (d *sipDialect) reset()     { d.in = sip.Reader{} }
func (d *sipDialect) half() bool { return d.in.Half() }

// sweep forgets dialogs whose other side never said its last word, and those of calls
// that ended without a word, such as at a process that died.
func (d *sipDialect) sweep(now time.Duration) {
	for id, g := range d.dialogs {
		if g.ends > 0 && now > g.ends || g.ends == 0 && !d.n.core.Contains(id) {
			delete(d.dialogs, id)
		}
	}
}

func (d *sipDialect) end(id string) {
	if g := d.dialogs[id]; g != nil {
		g.ends = d.n.now() + confirm
	}
}

func (d *sipDialect) number(id string) string {
	if g := d.dialogs[id]; g != nil {
		return g.number
	}
	return id // of a call from before a restart only the id is known
}

func (d *sipDialect) invite(b []byte, s call.Setup) ([]byte, error) {
	from := len(b)
	b = sip.AppendRequest(b, &sip.Request{Method: "INVITE", Number: s.Number, CallID: s.ID, CSeq: s.Attempt + 1,
		Headers: []sip.Header{{Name: "X-Cos", Value: s.Class},
			{Name: "X-Timer-Ms", Value: strconv.FormatInt(max(s.Timeout.Milliseconds(), 1), 10)}},
		Body: s.Description})
	if len(b)-from > sip.Limit {
		return b[:from], sip.ErrTooLong
	}
	old := d.dialogs[s.ID]
	d.dialogs[s.ID] = &dialog{number: s.Number, attempt: s.Attempt, owed: old != nil && old.cancelled && !old.answered,
		before: old != nil && (old.answered || old.before)}
	return b, nil
}

func (d *sipDialect) cancel(b []byte, id string, attempt int) []byte {
	d.end(id)
	if g := d.dialogs[id]; g != nil {
		g.cancelled = true
	}
	return sip.AppendRequest(b, &sip.Request{Method: "CANCEL", Number: d.number(id), CallID: id, CSeq: attempt + 1})
}

func (d *sipDialect) release(b []byte, id string, attempt, cause int) []byte {
	d.end(id)
	return sip.AppendRequest(b, &sip.Request{Method: "BYE", Number: d.number(id), CallID: id, CSeq: attempt + 2,
		Headers: []sip.Header{{Name: "Reason", Value: "Q.850;cause=" + strconv.Itoa(cause)}}})
}

func (d *sipDialect) feed(l *link, p []byte) error {
	return d.in.Feed(p, func(m *sip.Message) bool {
		l.whole = true
		if m.Status > 0 {
			d.response(l, m)
		} else {
			d.request(l, m)
		}
		return l.s != nil
	})
}

func (d *sipDialect) response(l *link, m *sip.Message) {
	switch {
	case m.Status < 200:
	case m.CSeqMethod == "BYE":
		delete(l.byes, m.CallID)
		d.forget(l, m.CallID)
	case m.CSeqMethod == "INVITE":
		d.answer(l, m)
	}
}

// answer takes the last word on a set-up, which may not be one.
func (d *sipDialect) answer(l *link, m *sip.Message) {
	g := d.dialogs[m.CallID]
	if g == nil {
		d.n.Strays++ // guards against answers under ids that were never sent there
		return
	}
	d.n.write(l.s, func(b []byte) []byte {
		return sip.AppendRequest(b, &sip.Request{Method: "ACK", Number: g.number, CallID: m.CallID, CSeq: m.CSeq})
	})
	attempt, out := l.out[m.CallID]
	switch {
	case m.Status == 487 && g.owed:
		g.owed = false // on an earlier attempt: it must not end a later one
	case out && m.Status >= 300 && g.before && d.numbers == repeats && m.CSeq != attempt+1:
		d.n.Strays++ // a second copy of the answer to an earlier attempt: this one is still out
	case out:
		delete(l.out, m.CallID)
		g.answered = true
		if !g.before && !g.owed {
			d.learn(m, attempt)
		}
		if m.Status < 300 {
			d.n.core.AttemptAnswered(l.id, m.CallID, attempt, m.Body)
			return
		}
		g.ends = d.n.now() + again
		if g.before && d.numbers != repeats {
			// Guards against a second attempt at once: it may be such a copy, and this attempt still out.
			d.n.write(l.s, func(b []byte) []byte { return d.cancel(b, m.CallID, attempt) })
			d.n.core.AttemptEnded(l.id, m.CallID, attempt, call.FailedInTransit)
			return
		}
		d.n.core.AttemptEnded(l.id, m.CallID, attempt, sipEnd(m))
	case g.answered:
		d.n.Strays++ // a second copy
	default:
		g.answered = true
		if m.Status < 300 { // it crossed our CANCEL
			d.n.core.AttemptAnswered(l.id, m.CallID, g.attempt, m.Body)
		}
	}
}

// learn notes whether an exchange repeats our number, by an answer that can be to one attempt alone. That to a
// call's first attempt tells nothing: an exchange that numbers by itself may begin as we do.
func (d *sipDialect) learn(m *sip.Message, attempt int) {
	switch {
	case m.CSeq != attempt+1:
		d.numbers = others
	case d.numbers == untold && attempt > 0:
		d.numbers = repeats
	}
}

// forget drops a dialog that is over on both sides.
func (d *sipDialect) forget(l *link, id string) {
	if _, out := l.out[id]; !out {
		delete(d.dialogs, id)
	}
}

// sipEnd tells how a set-up ended by the response to its INVITE.
func sipEnd(m *sip.Message) call.AttemptEnd {
	switch note := m.Header("X-Diagnosis"); {
	case note == "number_busy":
		return call.DestinationBusy
	case m.Status == 503 && note == "all_trunks_busy":
		return call.NoCircuit
	}
	switch m.Status {
	case 503:
		return call.ProcessorBusy
	case 480:
		return call.NotForwarded
	case 504, 487:
		return call.FailedInTransit
	}
	return call.BackendError
}

func (d *sipDialect) request(l *link, m *sip.Message) {
	answer := func(status int, phrase string) {
		d.n.write(l.s, func(b []byte) []byte { return sip.AppendResponse(b, m, status, phrase) })
	}
	switch m.Method {
	case "ACK": // wants no answer
	case "NOTIFY": // nor does this
		if load, ok := occupancy(m.Header("X-Occupancy")); ok {
			d.n.core.LoadReported(l.id, load)
		}
	case "BYE":
		answer(200, "OK")
		delete(l.byes, m.CallID)
		d.forget(l, m.CallID)
		d.n.core.BackendReleased(l.speaker(m.CallID), m.CallID, m.ReleaseCause(), d.n.fronts...)
	case "OPTIONS":
		answer(200, "OK")
	default:
		answer(405, "Method Not Allowed")
	}
}

// occupancy reads the state of a group of lines, such as 'free:305;size:310'.
func occupancy(text string) (load admission.LoadReport, ok bool) {
	for part := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), ":")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || v < 0 {
			continue
		}
		switch f := (admission.Optional{Value: v, Valid: true}); name {
		case "free":
			load.FreeCircuits, ok = f, true
		case "size":
			load.TotalCircuits, ok = f, true
		}
	}
	return load, ok
}
