package backend

import (
	"strconv"
	"strings"
	"time"

	"olivedale/internal/admission"
	"olivedale/internal/call"
	"olivedale/internal/codec/sip"
)

// duplicateAnswerTimeout is how long after the answer that rejects a set-up a copy of it may arrive.
const duplicateAnswerTimeout = 2 * time.Second

// sipProtocol speaks SIP with one exchange. Answers are matched by Call-ID and method, because exchanges do not have
// to repeat the number in CSeq. Where an earlier attempt of the call was answered there, the number tells a copy of
// that answer from the one that is waited for, if the exchange has been seen to repeat our numbers.
type sipProtocol struct {
	conn          *Conn
	dialogs       map[string]*dialog // by Call-ID
	cseqNumbering cseqNumbering
}

// A cseqNumbering is what is known of the numbers in an exchange's CSeq.
type cseqNumbering int

const (
	cseqUnknown  cseqNumbering = iota
	cseqRepeated               // it repeats ours
	cseqOwn                    // it does not
)

// A dialog is the latest attempt of a call at the exchange.
type dialog struct {
	number           string
	attempt          int
	isCanceled       bool
	isAnswered       bool          // the final response has come
	awaitsCanceled   bool          // the final response to an earlier attempt, which was cancelled, has not come
	hasEarlierAnswer bool          // an earlier attempt was answered: a copy of the answer may come
	expiresAt        time.Duration // 0: the call is open
}

// isExpired reports whether the dialog is over.
func (d *dialog) isExpired(now time.Duration) bool { return d.expiresAt > 0 && now > d.expiresAt }

func newSIP(c *Conn) *sipProtocol {
	return &sipProtocol{conn: c, dialogs: make(map[string]*dialog)}
}

func (p *sipProtocol) reset()               {} // nothing is tied to a connection but its input
func (p *sipProtocol) rememberedCalls() int { return len(p.dialogs) }

// unsettledAttempts implements protocol: those that are open, and those that were canceled and had no final response.
func (p *sipProtocol) unsettledAttempts() map[string]int {
	unsettled := make(map[string]int)
	for id, d := range p.dialogs {
		if !d.isAnswered {
			unsettled[id] = d.attempt
		}
	}
	return unsettled
}

// expire drops dialogs whose other side never sent its final response, and those of calls that ended without a
// message, such as at a process that died.
func (p *sipProtocol) expire(now time.Duration) {
	for id, d := range p.dialogs {
		if d.isExpired(now) || d.expiresAt == 0 && !p.conn.set.calls.Contains(id) {
			delete(p.dialogs, id)
		}
	}
}

// scheduleExpiry keeps a dialog for as long as a confirmation may take.
func (p *sipProtocol) scheduleExpiry(id string) {
	if d := p.dialogs[id]; d != nil {
		d.expiresAt = p.conn.set.loop.Now() + confirmationTimeout
	}
}

// number returns the number called; of a call from before a restart only the id is known.
func (p *sipProtocol) number(id string) string {
	if d := p.dialogs[id]; d != nil {
		return d.number
	}
	return id
}

func (p *sipProtocol) appendInvite(b []byte, s call.Setup) ([]byte, error) {
	start := len(b)
	timeout := max(s.Timeout.Milliseconds(), 1)
	b = sip.AppendRequest(b, &sip.Request{
		Method: "INVITE",
		Number: s.Number,
		CallID: s.ID,
		CSeq:   s.Attempt + 1,
		Headers: []sip.Header{
			{Name: "X-Cos", Value: s.Class},
			{Name: "X-Timer-Ms", Value: strconv.FormatInt(timeout, 10)},
		},
		Body: s.Description,
	})
	if len(b)-start > sip.MaxMessageSize {
		return b[:start], sip.ErrTooLong
	}
	d := &dialog{number: s.Number, attempt: s.Attempt}
	if earlier := p.dialogs[s.ID]; earlier != nil {
		d.awaitsCanceled = earlier.isCanceled && !earlier.isAnswered
		d.hasEarlierAnswer = earlier.isAnswered || earlier.hasEarlierAnswer
	}
	p.dialogs[s.ID] = d
	return b, nil
}

func (p *sipProtocol) appendCancel(b []byte, id string, attempt int) []byte {
	p.scheduleExpiry(id)
	if d := p.dialogs[id]; d != nil {
		d.isCanceled = true
	}
	return sip.AppendRequest(b, &sip.Request{Method: "CANCEL", Number: p.number(id), CallID: id, CSeq: attempt + 1})
}

func (p *sipProtocol) appendRelease(b []byte, id string, attempt, cause int) []byte {
	p.scheduleExpiry(id)
	return sip.AppendRequest(b, &sip.Request{
		Method:  "BYE",
		Number:  p.number(id),
		CallID:  id,
		CSeq:    attempt + 2,
		Headers: []sip.Header{{Name: "Reason", Value: "Q.850;cause=" + strconv.Itoa(cause)}},
	})
}

// A sipInput reads the messages of one connection.
type sipInput struct {
	protocol *sipProtocol
	isOpen   func() bool
	reader   sip.Reader
}

func (p *sipProtocol) newInput(isOpen func() bool) input {
	return &sipInput{protocol: p, isOpen: isOpen}
}

func (in *sipInput) hasPartialMessage() bool { return in.reader.HasPartial() }

func (in *sipInput) handleData(data []byte) (complete bool, err error) {
	err = in.reader.Feed(data, func(m *sip.Message) bool {
		complete = true
		if m.Status > 0 {
			in.protocol.handleResponse(m)
		} else {
			in.protocol.handleRequest(m)
		}
		return in.isOpen()
	})
	return complete, err
}

func (p *sipProtocol) handleResponse(m *sip.Message) {
	switch {
	case m.Status < 200:
	case m.CSeqMethod == "BYE":
		p.conn.releases.remove(m.CallID)
		p.forget(m.CallID)
	case m.CSeqMethod == "INVITE":
		p.handleFinalResponse(m)
	}
}

// handleFinalResponse handles the final response to an INVITE, which may be a copy.
func (p *sipProtocol) handleFinalResponse(m *sip.Message) {
	d := p.dialogs[m.CallID]
	if d == nil {
		p.conn.set.Counters.Strays++ // of an id that was never sent there
		return
	}
	p.write(func(b []byte) []byte {
		return sip.AppendRequest(b, &sip.Request{Method: "ACK", Number: d.number, CallID: m.CallID, CSeq: m.CSeq})
	})
	attempt, isOpen := p.conn.openAttempts[m.CallID]
	isNumbered := d.hasEarlierAnswer && p.cseqNumbering == cseqRepeated
	switch {
	case m.Status == 487 && d.awaitsCanceled:
		d.awaitsCanceled = false // to an earlier attempt: it must not end a later one
	case isOpen && m.Status >= 300 && isNumbered && m.CSeq != attempt+1:
		p.conn.set.Counters.Strays++ // a copy of the answer to an earlier attempt: this one is still open
	case isOpen:
		p.endAttempt(m, d, attempt)
	case d.isAnswered:
		p.conn.set.Counters.Strays++ // a copy
	default:
		d.isAnswered = true
		if m.Status < 300 { // it crossed our CANCEL
			p.conn.set.calls.AttemptAnswered(p.conn.id, m.CallID, d.attempt, m.Body)
		}
	}
}

// endAttempt passes the final response to an open attempt on.
func (p *sipProtocol) endAttempt(m *sip.Message, d *dialog, attempt int) {
	set := p.conn.set
	delete(p.conn.openAttempts, m.CallID)
	d.isAnswered = true
	if !d.hasEarlierAnswer && !d.awaitsCanceled {
		p.learnNumbering(m, attempt)
	}
	if m.Status < 300 {
		set.calls.AttemptAnswered(p.conn.id, m.CallID, attempt, m.Body)
		return
	}
	d.expiresAt = set.loop.Now() + duplicateAnswerTimeout
	if d.hasEarlierAnswer && p.cseqNumbering != cseqRepeated {
		// This may be a copy of an earlier answer, and the attempt still open: there must be no second one at once.
		p.write(func(b []byte) []byte { return p.appendCancel(b, m.CallID, attempt) })
		set.calls.AttemptEnded(p.conn.id, m.CallID, attempt, call.FailedInTransit)
		return
	}
	set.calls.AttemptEnded(p.conn.id, m.CallID, attempt, attemptEndOfResponse(m))
}

// learnNumbering notes whether the exchange repeats our numbers, by an answer that can be to one attempt alone. The
// answer to a call's first attempt proves nothing: an exchange that numbers by itself may begin as we do.
func (p *sipProtocol) learnNumbering(m *sip.Message, attempt int) {
	switch {
	case m.CSeq != attempt+1:
		p.cseqNumbering = cseqOwn
	case p.cseqNumbering == cseqUnknown && attempt > 0:
		p.cseqNumbering = cseqRepeated
	}
}

// forget drops a dialog that is over on both sides.
func (p *sipProtocol) forget(id string) {
	if _, isOpen := p.conn.openAttempts[id]; !isOpen {
		delete(p.dialogs, id)
	}
}

func (p *sipProtocol) write(write func([]byte) []byte) { p.conn.write(write) }

// attemptEndOfResponse returns how an attempt ended by the final response to its INVITE.
func attemptEndOfResponse(m *sip.Message) call.AttemptEnd {
	diagnosis := m.Header("X-Diagnosis")
	switch {
	case diagnosis == "number_busy":
		return call.DestinationBusy
	case m.Status == 503 && diagnosis == "all_trunks_busy":
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

func (p *sipProtocol) handleRequest(m *sip.Message) {
	set := p.conn.set
	switch m.Method {
	case "ACK": // wants no answer
	case "NOTIFY": // wants no answer
		if load, ok := parseOccupancy(m.Header("X-Occupancy")); ok {
			set.calls.LoadReported(p.conn.id, load)
		}
	case "BYE":
		p.respond(m, 200, "OK")
		p.conn.releases.remove(m.CallID)
		p.forget(m.CallID)
		origin := p.conn.releaseOrigin(m.CallID)
		set.calls.BackendReleased(origin, m.CallID, m.ReleaseCause(), set.frontends...)
	case "OPTIONS":
		p.respond(m, 200, "OK")
	default:
		p.respond(m, 405, "Method Not Allowed")
	}
}

func (p *sipProtocol) respond(m *sip.Message, status int, phrase string) {
	p.write(func(b []byte) []byte { return sip.AppendResponse(b, m, status, phrase) })
}

// parseOccupancy reads the state of a group of lines, such as 'free:305;size:310'.
func parseOccupancy(text string) (load admission.LoadReport, ok bool) {
	for part := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), ":")
		count, err := strconv.ParseFloat(value, 64)
		if err != nil || count < 0 {
			continue
		}
		switch name {
		case "free":
			load.FreeCircuits = admission.Optional{Value: count, Valid: true}
			ok = true
		case "size":
			load.TotalCircuits = admission.Optional{Value: count, Valid: true}
			ok = true
		}
	}
	return load, ok
}
