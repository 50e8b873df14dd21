package server

import (
	"strconv"
	"strings"
	"time"

	"olivedale/internal/admission"
	"olivedale/internal/call"
	"olivedale/internal/codec/h248"
)

// h248Dialect speaks H.248 with one call server: an Add sets a call up there, a
// Subtract gives it up or releases it, and the server notifies of its end.
type h248Dialect struct {
	n    *Node
	id   string // the server's
	in   h248.Framer
	last uint32
	asks map[uint32]*ask   // transactions of ours without a reply
	ctx  map[string]string // context by termination, while the call stands there
	seen *store
}

// An ask is a transaction of ours.
type ask struct {
	add     bool
	id      string
	attempt int
	at      time.Duration
}

func newH248(n *Node, id string) *h248Dialect {
	return &h248Dialect{n: n, id: id, asks: make(map[uint32]*ask), ctx: make(map[string]string), seen: newStore(n.cfg.MemoryMB << 4)}
}

// reset forgets what was asked on another connection: Adds were given up with it on both sides, and releases that
// are not confirmed are asked for anew on this one. It guards memory where connections break again and again.
func (d *h248Dialect) reset() {
	d.in = h248.Framer{}
	clear(d.asks)
}

func (d *h248Dialect) half() bool { return d.in.Half() }

func (d *h248Dialect) sweep(now time.Duration) {
	for id, a := range d.asks {
		if now-a.at > longTimer {
			delete(d.asks, id)
		}
	}
	for t := range d.ctx { // of calls that ended without a word, such as at a process that died
		if id, _, ok := callOf(t); ok && !d.n.core.Contains(id) {
			delete(d.ctx, t)
		}
	}
}

// termination names an attempt at the server.
func termination(id string, attempt int) string { return "call/" + id + "/" + strconv.Itoa(attempt) }

func callOf(termination string) (id string, attempt int, ok bool) {
	parts := strings.Split(termination, "/")
	if len(parts) != 3 || parts[0] != "call" || !isID(parts[1]) {
		return "", 0, false
	}
	attempt, err := strconv.Atoi(parts[2])
	return parts[1], attempt, err == nil
}

func (d *h248Dialect) ask(b []byte, a *ask, context string, c *h248.Command) ([]byte, error) {
	d.last++
	b, err := h248.AppendFrame(b, &h248.Message{MID: d.n.self(), Transactions: []*h248.Transaction{{ID: d.last,
		Actions: []*h248.Action{{Context: context, Commands: []*h248.Command{c}}}}}})
	if err == nil {
		a.at = d.n.now()
		d.asks[d.last] = a
	}
	return b, err
}

func (d *h248Dialect) invite(b []byte, s call.Setup) ([]byte, error) {
	if !h248.Fits(s.Description) || !h248.Words(s.Class) || !h248.Words(s.Number) {
		return b, &h248.Error{Code: h248.BadValue, Text: "the set-up has no form in H.248"}
	}
	state := &h248.Node{Name: "TerminationState", Kids: []*h248.Node{
		{Name: "oc/call", Value: s.ID}, {Name: "oc/class", Value: s.Class}, {Name: "oc/number", Value: s.Number},
		{Name: "oc/left", Value: strconv.FormatInt(max(s.Timeout.Milliseconds(), 1), 10)}}}
	return d.ask(b, &ask{add: true, id: s.ID, attempt: s.Attempt}, "$", &h248.Command{Name: "Add",
		Termination: termination(s.ID, s.Attempt), Descriptors: []*h248.Node{{Name: "Media",
			Kids: []*h248.Node{state, {Name: "Remote", Octets: append([]byte{}, s.Description...)}}}}})
}

func (d *h248Dialect) cancel(b []byte, id string, attempt int) []byte {
	return d.subtract(b, id, attempt)
}

func (d *h248Dialect) release(b []byte, id string, attempt, cause int) []byte {
	return d.subtract(b, id, attempt)
}

// subtract names the context where it is known; an Add without a reply has none yet.
func (d *h248Dialect) subtract(b []byte, id string, attempt int) []byte {
	t := termination(id, attempt)
	context := d.ctx[t]
	if context == "" {
		context = "*"
	}
	delete(d.ctx, t)
	b, _ = d.ask(b, &ask{id: id, attempt: attempt}, context, &h248.Command{Name: "Subtract", Termination: t})
	return b
}

func (d *h248Dialect) feed(l *link, p []byte) error {
	var bad error
	err := d.in.Feed(p, func(text []byte) bool {
		l.whole = true
		m, e := h248.Parse(text)
		if e != nil {
			bad = e
			return false
		}
		for _, t := range m.Transactions {
			switch t.Kind {
			case h248.Reply:
				d.reply(l, t)
			case h248.Request:
				d.request(l, m.MID, t)
			case h248.Ack:
				d.seen.forget(m.MID, t.Acked)
			}
		}
		return l.s != nil
	})
	if bad != nil {
		return bad
	}
	return err
}

func (d *h248Dialect) reply(l *link, t *h248.Transaction) {
	a := d.asks[t.ID]
	if a == nil {
		return // it comes twice, or its Add was given up with its connection
	}
	delete(d.asks, t.ID)
	if !a.add {
		delete(l.byes, a.id)
		return
	}
	if at, ok := l.out[a.id]; ok && at == a.attempt {
		delete(l.out, a.id)
	}
	context, desc, err := added(t)
	if err != nil {
		d.n.core.AttemptEnded(l.id, a.id, a.attempt, h248End(err.Code))
		return
	}
	d.ctx[termination(a.id, a.attempt)] = context
	d.n.core.AttemptAnswered(l.id, a.id, a.attempt, desc)
}

// added reads the reply to an Add.
func added(t *h248.Transaction) (context string, desc []byte, err *h248.Error) {
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
	desc, ok := description(c, "Local")
	if _, bad := strconv.ParseUint(a.Context, 10, 32); bad != nil || !ok {
		return "", nil, &h248.Error{Code: h248.ProtocolError}
	}
	return a.Context, desc, nil
}

// h248End tells how a set-up ended by the error code of its reply.
func h248End(code int) call.AttemptEnd {
	switch code {
	case h248.Insufficient, h248.ServiceUnavailable:
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

// request carries out what the server tells, each transaction once.
func (d *h248Dialect) request(l *link, mid string, t *h248.Transaction) {
	e, fresh := d.seen.begin(mid, t.ID, d.n.now())
	if e == nil {
		d.n.Strays++
		return // the server says it again when it gets no reply
	}
	if fresh {
		reply := &h248.Transaction{Kind: h248.Reply, ID: t.ID}
		for _, a := range t.Actions {
			done := &h248.Action{Context: a.Context}
			reply.Actions = append(reply.Actions, done)
			for _, c := range a.Commands {
				if done.Err = d.command(l, a, c); done.Err != nil {
					break
				}
				done.Commands = append(done.Commands, &h248.Command{Name: c.Name, Termination: c.Termination})
			}
			if done.Err != nil {
				break
			}
		}
		d.seen.keep(e, frame(d.n.self(), reply), d.n.now())
	} else {
		d.n.Repeats++
	}
	if l.s != nil {
		d.n.write(l.s, func(b []byte) []byte { return append(b, e.reply...) })
	}
}

func (d *h248Dialect) command(l *link, a *h248.Action, c *h248.Command) *h248.Error {
	switch c.Name {
	case "Notify", "Subtract":
		cause, ok := call.CauseNormal, true
		if c.Name == "Notify" {
			cause, ok = released(c)
		}
		if !ok {
			return &h248.Error{Code: h248.BadValue, Text: "no release is told"}
		}
		id, _, ok := callOf(c.Termination)
		if !ok {
			return &h248.Error{Code: h248.UnknownTermination, Text: c.Termination}
		}
		delete(d.ctx, c.Termination)
		delete(l.byes, id)
		d.n.core.BackendReleased(l.id, id, cause, d.n.fronts...)
	case "ServiceChange":
		method := h248.Value(c.Descriptors, "Services", "Method")
		switch strings.ToLower(method) {
		case "graceful":
			d.n.phase(l, admission.Draining)
		case "forced":
			d.n.phase(l, admission.Removed)
		case "restart":
			d.n.phase(l, admission.Active)
		default:
			return &h248.Error{Code: h248.BadValue, Text: "method " + method}
		}
	default:
		return &h248.Error{Code: h248.NotImplemented, Text: c.Name}
	}
	return nil
}

// phase takes a server's own news of its state. Nothing is sent to one that
// drains or is out from here on.
func (n *Node) phase(l *link, phase admission.ServerState) {
	s := admission.Server{ID: l.id, Pool: l.pool, State: phase}
	if phase == admission.Active {
		s.Started = n.now()
	}
	n.core.UpdateServers([]admission.Server{s}, false)
	switch phase {
	case admission.Draining:
		l.drain()
	case admission.Removed:
		l.drain()
		l.lose(call.BackendLost)
		n.core.BackendRestarted(l.id, n.now()+1)
	default:
		l.draining = false
		n.core.BackendRestarted(l.id, n.now())
	}
}
