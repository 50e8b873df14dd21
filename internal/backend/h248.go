package backend

import (
	"strconv"
	"strings"
	"time"

	"olivedale/internal/call"
	"olivedale/internal/codec/callid"
	"olivedale/internal/codec/h248"
	"olivedale/internal/codec/h248/transaction"
)

// maxTransactionsShift limits the stored transactions of one exchange to 1<<maxTransactionsShift per MB of memory.
const maxTransactionsShift = 4

// h248Protocol speaks H.248 with one call server: an Add sets up a call, a Subtract cancels or releases it, and the
// server reports the end of a call by a Notify.
type h248Protocol struct {
	conn         *Conn
	requests     map[uint32]*pendingRequest // our transactions that have no reply yet
	unknownCalls map[string]int             // the number of requests for releases of unknown calls, by call id
	contexts     map[string]string          // contexts of established calls, by termination
	received     *transaction.Store
}

// A pendingRequest is a transaction sent by us that has no reply yet.
type pendingRequest struct {
	isAdd         bool // otherwise it is a Subtract
	isUnknownCall bool // the Subtract is for a release of the Set's unknownReleaseLog
	callID        string
	attempt       int
	sentAt        time.Duration
}

// checkReply returns an error if a reply belongs to another command, for example one of an earlier process.
func (r *pendingRequest) checkReply(t *h248.Transaction) error {
	command := "Subtract"
	if r.isAdd {
		command = "Add"
	}
	return transaction.CheckReply(t, command, TerminationName(r.callID, r.attempt))
}

func newH248(c *Conn) *h248Protocol {
	return &h248Protocol{
		conn:         c,
		requests:     make(map[uint32]*pendingRequest),
		unknownCalls: make(map[string]int),
		contexts:     make(map[string]string),
		received:     transaction.NewStore(c.set.memoryMB << maxTransactionsShift),
	}
}

// reset discards the requests that were sent on the previous connection: both sides have abandoned their Adds, and
// unconfirmed releases are requested again on the new connection. This bounds the memory if connections break often.
func (p *h248Protocol) reset() {
	clear(p.requests)
	clear(p.unknownCalls)
}

// forgetProcess implements protocol. Nothing is learned about a server.
func (p *h248Protocol) forgetProcess() {}

func (p *h248Protocol) addRequest(id uint32, r *pendingRequest) {
	p.requests[id] = r
	if r.isUnknownCall {
		p.unknownCalls[r.callID]++
	}
}

func (p *h248Protocol) removeRequest(id uint32, r *pendingRequest) {
	delete(p.requests, id)
	if !r.isUnknownCall {
		return
	}
	p.unknownCalls[r.callID]--
	if p.unknownCalls[r.callID] == 0 {
		delete(p.unknownCalls, r.callID)
	}
}

// unresolvedAttempts implements protocol. It returns the attempts whose Add or Subtract has no reply.
func (p *h248Protocol) unresolvedAttempts() (unresolved []attemptID) {
	for _, r := range p.requests {
		if r.isUnknownCall {
			continue
		}
		unresolved = append(unresolved, attemptID{r.callID, r.attempt})
	}
	return unresolved
}

// releaseKey implements protocol. Each attempt has a termination of its own.
func (p *h248Protocol) releaseKey(id string, attempt int) releaseKey { return releaseKey{id, attempt} }

func (p *h248Protocol) trackedCalls() int { return len(p.contexts) }

// expire drops requests that got no reply in time, and contexts of calls that ended without a message, for example
// because the server's process died.
func (p *h248Protocol) expire(now time.Duration) {
	for id, r := range p.requests {
		if now-r.sentAt > transaction.LongTimer {
			p.removeRequest(id, r)
		}
	}
	for termination := range p.contexts {
		id, _, ok := ParseTermination(termination)
		if ok && !p.conn.set.calls.Contains(id) {
			delete(p.contexts, termination)
		}
	}
}

// terminationPrefix is the first part of the names of all call terminations.
const terminationPrefix = "call"

// TerminationName returns the name of the termination that the server uses for an attempt.
func TerminationName(id string, attempt int) string {
	return terminationPrefix + "/" + id + "/" + strconv.Itoa(attempt)
}

// ParseTermination extracts the call id and the attempt from the name of a termination.
func ParseTermination(name string) (id string, attempt int, ok bool) {
	parts := strings.Split(name, "/")
	if len(parts) != 3 || parts[0] != terminationPrefix || !callid.Valid(parts[1]) {
		return "", 0, false
	}
	attempt, err := strconv.Atoi(parts[2])
	return parts[1], attempt, err == nil
}

// appendRequest appends a transaction with a single command and stores it until its reply arrives.
func (p *h248Protocol) appendRequest(b []byte, r *pendingRequest, context string, c *h248.Command) ([]byte, error) {
	id := p.conn.set.transactionIDs.Next()
	t := &h248.Transaction{
		ID:      id,
		Actions: []*h248.Action{{Context: context, Commands: []*h248.Command{c}}},
	}
	b, err := h248.AppendFrame(b, &h248.Message{MID: p.conn.set.messageID, Transactions: []*h248.Transaction{t}})
	if err == nil {
		r.sentAt = p.conn.set.loop.Now()
		p.addRequest(id, r)
	}
	return b, err
}

func (p *h248Protocol) appendInvite(b []byte, s call.Setup) ([]byte, error) {
	if !h248.IsEncodable(s.Description) || !h248.IsUnquotedValue(s.Class) || !h248.IsUnquotedValue(s.Number) {
		return b, &h248.Error{Code: h248.UnsupportedValue, Text: "the set-up cannot be encoded in H.248"}
	}
	timeout := max(s.Timeout.Milliseconds(), 1)
	state := &h248.Node{Name: "TerminationState", Children: []*h248.Node{
		{Name: "oc/call", Value: s.ID},
		{Name: "oc/class", Value: s.Class},
		{Name: "oc/number", Value: s.Number},
		{Name: "oc/left", Value: strconv.FormatInt(timeout, 10)},
	}}
	remote := &h248.Node{Name: "Remote", Octets: append([]byte{}, s.Description...)}
	add := &h248.Command{
		Name:        "Add",
		Termination: TerminationName(s.ID, s.Attempt),
		Descriptors: []*h248.Node{{Name: "Media", Children: []*h248.Node{state, remote}}},
	}
	return p.appendRequest(b, &pendingRequest{isAdd: true, callID: s.ID, attempt: s.Attempt}, "$", add)
}

func (p *h248Protocol) appendCancel(b []byte, id string, attempt int) []byte {
	return p.appendSubtract(b, &pendingRequest{callID: id, attempt: attempt})
}

// appendRelease appends a Subtract, or one for each attempt that the call can have had.
func (p *h248Protocol) appendRelease(b []byte, id string, attempt, _ int) []byte {
	if attempt != anyAttempt {
		return p.appendSubtract(b, &pendingRequest{callID: id, attempt: attempt})
	}
	for n := range max(p.conn.set.maxAttempts, 1) {
		b = p.appendSubtract(b, &pendingRequest{callID: id, attempt: n, isUnknownCall: true})
	}
	return b
}

// appendSubtract appends a Subtract. It names the context if that is known; an Add without a reply has none yet.
func (p *h248Protocol) appendSubtract(b []byte, r *pendingRequest) []byte {
	termination := TerminationName(r.callID, r.attempt)
	context := p.contexts[termination]
	if context == "" {
		context = "*"
	}
	delete(p.contexts, termination)
	subtract := &h248.Command{Name: "Subtract", Termination: termination}
	b, _ = p.appendRequest(b, r, context, subtract)
	return b
}

// An h248InputHandler decodes the messages received on one connection.
type h248InputHandler struct {
	protocol *h248Protocol
	isOpen   func() bool
	framer   h248.Framer
}

func (p *h248Protocol) newInputHandler(isOpen func() bool) inputHandler {
	return &h248InputHandler{protocol: p, isOpen: isOpen}
}

func (in *h248InputHandler) hasPartialMessage() bool { return in.framer.HasPartial() }

func (in *h248InputHandler) handleData(data []byte) (complete bool, err error) {
	var parseErr *h248.Error
	err = in.framer.Feed(data, func(text []byte) bool {
		complete = true
		m, e := h248.Parse(text)
		if e != nil {
			parseErr = e
			return false
		}
		for _, t := range m.Transactions {
			in.protocol.handleTransaction(m.MID, t)
		}
		return in.isOpen()
	})
	if parseErr != nil {
		return complete, parseErr
	}
	return complete, err
}

func (p *h248Protocol) handleTransaction(messageID string, t *h248.Transaction) {
	switch t.Kind {
	case h248.Reply:
		p.handleReply(t)
	case h248.Request:
		p.handleRequest(messageID, t)
	case h248.Ack:
		p.received.Acknowledge(messageID, t.Acked)
	case h248.Pending: // the reply will follow
	}
}

func (p *h248Protocol) handleReply(t *h248.Transaction) {
	r := p.requests[t.ID]
	if r == nil {
		return // duplicate, or a reply to an Add that was abandoned with its connection
	}
	if err := r.checkReply(t); err != nil {
		p.conn.set.Counters.Strays++
		p.conn.set.reportStray("exchange "+p.conn.id, err)
		return // the transaction still has no reply
	}
	p.removeRequest(t.ID, r)
	if !r.isAdd {
		p.conn.confirmRelease(r.callID, r.attempt, p.unknownCalls[r.callID] == 0)
		return
	}
	if attempt, ok := p.conn.openAttempts[r.callID]; ok && attempt == r.attempt {
		delete(p.conn.openAttempts, r.callID)
	}
	context, description, err := parseAddReply(t)
	if err != nil {
		p.conn.set.calls.AttemptEnded(p.conn.id, r.callID, r.attempt, attemptEndOfError(err.Code))
		return
	}
	p.contexts[TerminationName(r.callID, r.attempt)] = context
	p.conn.set.calls.AttemptAnswered(p.conn.id, r.callID, r.attempt, description)
}

// parseAddReply extracts the context and the session description from the reply to an Add.
func parseAddReply(t *h248.Transaction) (context string, description []byte, err *h248.Error) {
	if t.Err != nil {
		return "", nil, t.Err
	}
	if len(t.Actions) != 1 {
		return "", nil, &h248.Error{Code: h248.ProtocolError}
	}
	a := t.Actions[0]
	if a.Err != nil {
		return "", nil, a.Err
	}
	if len(a.Commands) != 1 || a.Commands[0].Name != "Add" {
		return "", nil, &h248.Error{Code: h248.ProtocolError}
	}
	c := a.Commands[0]
	if c.Err != nil {
		return "", nil, c.Err
	}
	description, ok := transaction.Description(c, "Local")
	if _, parseErr := strconv.ParseUint(a.Context, 10, 32); parseErr != nil || !ok {
		return "", nil, &h248.Error{Code: h248.ProtocolError}
	}
	return a.Context, description, nil
}

// attemptEndOfError maps the error code in the reply to an Add to the result of the attempt.
func attemptEndOfError(code int) call.AttemptEnd {
	switch code {
	case h248.InsufficientResources, h248.ServiceUnavailable:
		return call.ProcessorBusy
	case h248.NoTermination:
		return call.NoCircuit
	case h248.TerminationInContext:
		return call.DestinationBusy
	case h248.NotReady:
		return call.NotForwarded
	case h248.TemporaryFailure:
		return call.FailedInTransit
	}
	return call.BackendError
}
