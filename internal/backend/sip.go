package backend

import (
	"strconv"
	"strings"
	"time"

	"olivedale/internal/admission"
	"olivedale/internal/call"
	"olivedale/internal/codec/sip"
)

// duplicateAnswerTimeout is how long after the rejection of a set-up a duplicate of the rejection may arrive.
const duplicateAnswerTimeout = 2 * time.Second

// sipProtocol speaks SIP with one exchange. Responses are matched by Call-ID and method, because not all exchanges echo
// our CSeq number. If an earlier attempt of the same call was answered by the exchange, the CSeq number is used to
// distinguish a duplicate of that answer from the answer to the current attempt, but only once the exchange is known to
// echo our numbers.
type sipProtocol struct {
	conn          *Conn
	dialogs       map[string]*dialog // by Call-ID
	cseqNumbering cseqNumbering
}

// A cseqNumbering says whether an exchange echoes our CSeq numbers in its responses.
type cseqNumbering int

const (
	cseqUnknown cseqNumbering = iota
	cseqEchoed                // the exchange echoes our numbers
	cseqOwn                   // the exchange uses its own numbers
)

// A dialog is the latest attempt of a call at the exchange.
type dialog struct {
	number                 string
	attempt                int
	isCanceled             bool
	isAnswered             bool          // the final response has been received
	awaitsCanceledResponse bool          // the final response to an earlier, cancelled attempt is outstanding
	hasEarlierAnswer       bool          // an earlier attempt was answered: a duplicate of that answer may arrive
	expiresAt              time.Duration // 0 while the call is open
}

// isExpired reports whether the dialog may be dropped.
func (d *dialog) isExpired(now time.Duration) bool { return d.expiresAt > 0 && now > d.expiresAt }

func newSIP(c *Conn) *sipProtocol {
	return &sipProtocol{conn: c, dialogs: make(map[string]*dialog)}
}

func (p *sipProtocol) reset()            {} // only the input handler is tied to a connection
func (p *sipProtocol) trackedCalls() int { return len(p.dialogs) }

// forgetProcess implements protocol. Another process may number its responses in another way.
func (p *sipProtocol) forgetProcess() { p.cseqNumbering = cseqUnknown }

// unresolvedAttempts implements protocol. It returns the open attempts and the cancelled ones without a final response.
func (p *sipProtocol) unresolvedAttempts() (unresolved []attemptID) {
	for id, d := range p.dialogs {
		if !d.isAnswered {
			unresolved = append(unresolved, attemptID{id, d.attempt})
		}
	}
	return unresolved
}

// releaseKey implements protocol. A Call-ID names all attempts of a call.
func (p *sipProtocol) releaseKey(id string, _ int) releaseKey { return releaseKey{id: id} }

// expire drops dialogs for which the exchange never sent a final message, and dialogs of calls that ended without one,
// for example because the exchange's process died.
func (p *sipProtocol) expire(now time.Duration) {
	for id, d := range p.dialogs {
		if d.isExpired(now) || d.expiresAt == 0 && !p.conn.set.calls.Contains(id) {
			delete(p.dialogs, id)
		}
	}
}

// scheduleExpiry makes a dialog expire after the time that a confirmation may take.
func (p *sipProtocol) scheduleExpiry(id string) {
	if d := p.dialogs[id]; d != nil {
		d.expiresAt = p.conn.set.loop.Now() + confirmationTimeout
	}
}

// number returns the called number. For a call from before a restart only the id is known, so it returns that.
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
		d.awaitsCanceledResponse = earlier.isCanceled && !earlier.isAnswered
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
		CSeq:    max(attempt, 0) + 2,
		Headers: []sip.Header{{Name: "Reason", Value: "Q.850;cause=" + strconv.Itoa(cause)}},
	})
}

// A sipInputHandler decodes the messages received on one connection.
type sipInputHandler struct {
	protocol *sipProtocol
	isOpen   func() bool
	reader   sip.Reader
}

func (p *sipProtocol) newInputHandler(isOpen func() bool) inputHandler {
	return &sipInputHandler{protocol: p, isOpen: isOpen}
}

func (in *sipInputHandler) hasPartialMessage() bool { return in.reader.HasPartial() }

func (in *sipInputHandler) handleData(data []byte) (complete bool, err error) {
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
		p.conn.confirmRelease(m.CallID, 0, true)
		p.removeDialog(m.CallID)
	case m.CSeqMethod == "INVITE":
		p.handleFinalResponse(m)
	}
}

// handleFinalResponse handles a final response to an INVITE, which may be a duplicate.
func (p *sipProtocol) handleFinalResponse(m *sip.Message) {
	d := p.dialogs[m.CallID]
	if d == nil {
		p.conn.set.Counters.Strays++ // unknown Call-ID
		return
	}
	p.write(func(b []byte) []byte {
		return sip.AppendRequest(b, &sip.Request{Method: "ACK", Number: d.number, CallID: m.CallID, CSeq: m.CSeq})
	})
	attempt, isOpen := p.conn.openAttempts[m.CallID]
	canMatchByCSeq := d.hasEarlierAnswer && p.cseqNumbering == cseqEchoed
	switch {
	case m.Status == 487 && d.awaitsCanceledResponse:
		d.awaitsCanceledResponse = false // belongs to an earlier attempt: it must not end the current one
	case isOpen && m.Status >= 300 && canMatchByCSeq && m.CSeq != attempt+1:
		p.conn.set.Counters.Strays++ // duplicate answer to an earlier attempt: this one stays open
	case isOpen:
		p.endAttempt(m, d, attempt)
	case d.isAnswered:
		p.conn.set.Counters.Strays++ // duplicate
	default:
		d.isAnswered = true
		if m.Status < 300 { // it crossed our CANCEL on the wire
			p.conn.set.calls.AttemptAnswered(p.conn.id, m.CallID, d.attempt, m.Body)
		}
	}
}

// endAttempt reports the final response to an open attempt to the call manager.
func (p *sipProtocol) endAttempt(m *sip.Message, d *dialog, attempt int) {
	set := p.conn.set
	delete(p.conn.openAttempts, m.CallID)
	d.isAnswered = true
	if !d.hasEarlierAnswer && !d.awaitsCanceledResponse {
		p.learnNumbering(m, attempt)
	}
	if m.Status < 300 {
		set.calls.AttemptAnswered(p.conn.id, m.CallID, attempt, m.Body)
		return
	}
	d.expiresAt = set.loop.Now() + duplicateAnswerTimeout
	if d.hasEarlierAnswer && p.cseqNumbering != cseqEchoed {
		// This may be a duplicate of an earlier answer while the attempt is still open at the exchange. Cancel it, so
		// that there are never two attempts at once.
		p.write(func(b []byte) []byte { return p.appendCancel(b, m.CallID, attempt) })
		set.calls.AttemptEnded(p.conn.id, m.CallID, attempt, call.FailedInTransit)
		return
	}
	set.calls.AttemptEnded(p.conn.id, m.CallID, attempt, attemptEndOfResponse(m))
}

// learnNumbering records whether the exchange echoes our CSeq numbers, from a response that can only belong to the
// given attempt. A matching number in the response to a call's first attempt proves nothing, because an exchange with
// its own numbering may start with the same number.
func (p *sipProtocol) learnNumbering(m *sip.Message, attempt int) {
	switch {
	case m.CSeq != attempt+1:
		p.cseqNumbering = cseqOwn
	case p.cseqNumbering == cseqUnknown && attempt > 0:
		p.cseqNumbering = cseqEchoed
	}
}

// removeDialog drops a dialog that both sides have ended.
func (p *sipProtocol) removeDialog(id string) {
	if _, isOpen := p.conn.openAttempts[id]; !isOpen {
		delete(p.dialogs, id)
	}
}

func (p *sipProtocol) write(write func([]byte) []byte) { p.conn.write(write) }

// attemptEndOfResponse maps a failure response to an INVITE to the result of the attempt.
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
	case "ACK": // has no response
	case "NOTIFY": // carries a load report and gets no response
		if load, ok := parseOccupancy(m.Header("X-Occupancy")); ok {
			set.calls.LoadReported(p.conn.id, load)
		}
	case "BYE":
		p.respond(m, 200, "OK")
		p.conn.confirmRelease(m.CallID, 0, true)
		p.removeDialog(m.CallID)
		origin := p.conn.releaseOrigin(m.CallID)
		if origin == p.conn.id {
			p.conn.recordRelease(m.CallID)
		}
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

// parseOccupancy parses the occupancy of a circuit group, such as 'free:305;size:310'.
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
