package server

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/panjf2000/gnet/v2"

	"olivedale/internal/adminapi"
	"olivedale/internal/call"
	"olivedale/internal/codec/h248"
	"olivedale/internal/codec/sip"
)

// h248Front is the callers' side in H.248: panels and gateways add a termination
// to a new context to set a call up, and subtract it to release the call. Its
// calls go through the same core, and so keep the same rules.
type h248Front struct {
	n       *Node
	panels  roster[*panel]
	mids    map[string]*roster[*panel] // the same by message id
	silent  roster[*panel]             // those that may be overdue
	terms   map[string]*h248Call       // calls by message id and termination
	max     int
	seen    *store
	calls   map[string]*h248Call // by the call's id
	context map[string]*h248Call // by the context, once the call stands
	lastCtx uint32
	lastID  uint32
	owed    map[uint32]*notice // releases that are not replied to
}

// A panel is one connection from a panel or gateway, or from the agent (admin).
type panel struct {
	front *h248Front
	s     *stream
	in    h248.Framer
	mid   string
	admin bool

	seat, midSeat, silentSeat seat
}

// An h248Call is the front's side of a call, and the client that gets its answer.
type h248Call struct {
	front       *h248Front
	on          *panel // where the answer goes; nil once the call stands
	entry       *entry
	mid         string
	transaction uint32
	termination string
	id, ctx     string
}

// A notice is a release that a panel has not replied to.
type notice struct {
	mid  string
	text []byte
	at   time.Duration
	said bool // it has gone out on a connection
}

func newH248Front(n *Node, max int) *h248Front {
	return &h248Front{n: n, max: max, seen: newStore(n.cfg.MemoryMB << 6), calls: make(map[string]*h248Call), mids: make(map[string]*roster[*panel]), terms: make(map[string]*h248Call),
		context: make(map[string]*h248Call), owed: make(map[uint32]*notice)}
}

// self is the message id of this call controller.
func (n *Node) self() string { return "<" + n.cfg.Name + ">" }

func (f *h248Front) opened(c gnet.Conn, admin bool) bool {
	if f.panels.len() >= f.max { // guards the socket budget
		f.n.ClientsTurnedAway++
		return false
	}
	f.n.Clients++
	p := &panel{front: f, s: &stream{c: c, born: f.n.now(), caller: true}, admin: admin}
	c.SetContext(p)
	p.seat, p.silentSeat = f.panels.add(p), f.silent.add(p)
	return true
}

func (p *panel) send(text []byte) {
	p.front.n.write(p.s, func(b []byte) []byte { return append(b, text...) })
}

func (p *panel) traffic(data []byte) {
	f := p.front
	f.panels.heard(p.seat)
	if p.midSeat != nil {
		f.mids[p.mid].heard(p.midSeat)
	}
	spoke := false
	err := p.in.Feed(data, func(text []byte) bool {
		spoke = true
		m, bad := h248.Parse(text)
		if bad != nil { // nothing of it has run
			if b, err := h248.AppendFrame(nil, &h248.Message{MID: f.n.self(), Err: bad}); err == nil {
				p.send(b)
			}
			p.malformed(bad)
			return false
		}
		p.take(m)
		return !p.s.shut
	})
	if err != nil {
		p.malformed(err)
	}
	now := f.n.now()
	p.s.read(now, spoke, p.in.Half())
	if p.seat != nil {
		f.silent.watch(&p.silentSeat, p, p.s, now)
	}
}

// lastWords takes what a connection brought before it broke. The set-ups on it have lost their caller.
func (p *panel) lastWords(data []byte) {
	_ = p.in.Feed(data, func(text []byte) bool {
		m, bad := h248.Parse(text)
		if bad == nil {
			p.take(m)
		}
		return bad == nil
	})
}

// owes tells whether a panel waits for a reply that is not written out, or for a release that has not been sent.
func (f *h248Front) owes() bool {
	for _, o := range f.owed {
		if !o.said {
			return true
		}
	}
	for p := range f.panels.oldest() {
		if p.s.unwritten() {
			return true
		}
	}
	return false
}

// named seats a panel by the message id that it goes by.
func (p *panel) named(mid string) {
	f := p.front
	if at := f.mids[p.mid]; at != nil {
		if at.leave(&p.midSeat); at.len() == 0 {
			delete(f.mids, p.mid)
		}
	}
	if p.mid = mid; mid == "" || p.seat == nil {
		return
	}
	if f.mids[mid] == nil {
		f.mids[mid] = &roster[*panel]{}
	}
	p.midSeat = f.mids[mid].add(p)
}

func (p *panel) malformed(err error) {
	p.front.n.malformed("panel", err)
	p.front.n.close(p.s)
}

func (p *panel) take(m *h248.Message) {
	f := p.front
	if p.mid != m.MID {
		p.named(m.MID)
		for _, o := range f.owed { // what could not be said, or was not replied to
			if o.mid == p.mid && !p.s.shut {
				p.send(o.text)
				o.said = true
			}
		}
	}
	for _, t := range m.Transactions {
		switch t.Kind {
		case h248.Request:
			p.request(m.MID, t)
		case h248.Reply:
			delete(f.owed, t.ID)
		case h248.Ack:
			f.seen.forget(m.MID, t.Acked)
		}
	}
}

// request carries a transaction out once; a repeat gets its reply again, on
// whatever connection it comes.
func (p *panel) request(mid string, t *h248.Transaction) {
	f := p.front
	var adds, all int
	for _, a := range t.Actions {
		for _, c := range a.Commands {
			all++
			if c.Name == "Add" {
				adds++
			}
		}
	}
	if adds > 0 && p.s.gone { // its caller has left; repeated on another connection it is one that has not run
		return
	}
	e, fresh := f.seen.begin(mid, t.ID, f.n.now())
	switch {
	case fresh:
	case e == nil:
		p.send(frame(f.n.self(), &h248.Transaction{Kind: h248.Reply, ID: t.ID,
			Err: &h248.Error{Code: h248.Insufficient, Text: "too many transactions"}}))
		return
	case e.reply != nil:
		f.n.Repeats++
		p.send(e.reply)
		return
	default: // still being carried out
		f.n.Repeats++
		for _, k := range f.calls {
			if k.entry == e {
				k.on = p // the answer follows the panel to its new connection
			}
		}
		p.send(frame(f.n.self(), &h248.Transaction{Kind: h248.Pending, ID: t.ID}))
		return
	}
	switch {
	case adds == 1 && all == 1:
		if err := p.add(mid, e, t, t.Actions[len(t.Actions)-1]); err != nil {
			p.reply(e, &h248.Transaction{ID: t.ID, Actions: []*h248.Action{{Context: t.Actions[0].Context, Err: err}}})
		}
	case adds > 0:
		p.reply(e, &h248.Transaction{ID: t.ID, Err: &h248.Error{Code: h248.NotImplemented,
			Text: "an Add must be the only command of its transaction"}})
	default:
		p.reply(e, &h248.Transaction{ID: t.ID, Actions: p.run(mid, t.Actions)})
	}
}

func (p *panel) reply(e *entry, t *h248.Transaction) {
	t.Kind = h248.Reply
	p.front.seen.keep(e, frame(p.front.n.self(), t), p.front.n.now())
	p.send(e.reply)
}

// run carries out commands that are done at once, up to the first that fails.
func (p *panel) run(mid string, actions []*h248.Action) (done []*h248.Action) {
	for _, a := range actions {
		reply := &h248.Action{Context: a.Context}
		done = append(done, reply)
		for _, c := range a.Commands {
			r, err := p.command(mid, a, c)
			if err != nil {
				reply.Err = err
				return done
			}
			reply.Commands = append(reply.Commands, r)
		}
	}
	return done
}

func (p *panel) command(mid string, a *h248.Action, c *h248.Command) (*h248.Command, *h248.Error) {
	f := p.front
	done := &h248.Command{Name: c.Name, Termination: c.Termination}
	switch c.Name {
	case "Subtract":
		k, err := f.find(mid, a, c)
		if err != nil {
			return nil, err
		}
		f.hangup(k, call.CauseNormal)
	case "Notify":
		cause, ok := released(c)
		if !ok {
			return nil, &h248.Error{Code: h248.BadValue, Text: "no release is told"}
		}
		k, err := f.find(mid, a, c)
		if err != nil {
			return nil, err
		}
		f.hangup(k, cause)
	case "ServiceChange":
		return done, p.serviceChange(mid, c)
	case "Modify":
		var err *h248.Error
		if p.admin && c.Termination == adminapi.NumberingTermination {
			done.Descriptors, err = f.n.orderNumbers(c)
		} else {
			done.Descriptors, err = p.clock(c)
		}
		return done, err
	case "AuditValue":
		if p.admin && c.Termination == adminapi.NumberingTermination && f.n.numbers != nil {
			done.Descriptors = adminapi.NumberingNodes(f.n.numbers.desk.List(), f.n.numbers.desk.Job())
			return done, nil
		}
		if p.admin && c.Termination == adminapi.OverloadTermination && f.n.share != nil {
			done.Descriptors = adminapi.OverloadNodes(f.n.share.member.State(f.n.now()))
			return done, nil
		}
		if !strings.EqualFold(c.Termination, "ROOT") {
			return nil, &h248.Error{Code: h248.UnknownTermination, Text: "only ROOT can be audited"}
		}
		done.Descriptors = f.n.audit(p.admin)
	default:
		return nil, &h248.Error{Code: h248.NotImplemented, Text: c.Name}
	}
	return done, nil
}

// clock answers the agent's question for our time, and records the time stamps of its last
// exchange. Only on the admin address: others could make the records say what they like.
func (p *panel) clock(c *h248.Command) ([]*h248.Node, *h248.Error) {
	n := p.front.n
	received := n.now()
	if !p.admin || !strings.EqualFold(c.Termination, "ROOT") {
		return nil, &h248.Error{Code: h248.NotImplemented, Text: "Modify of " + c.Termination}
	}
	peer, last, err := adminapi.ParseClock(c)
	if err != nil {
		return nil, &h248.Error{Code: h248.BadValue, Text: err.Error()}
	}
	if peer != "" && last[0] != 0 && last[3] != 0 {
		n.rec.clock(peer, last)
	}
	return adminapi.ClockCommand("", adminapi.ClockStamps{1: int64(received), 2: int64(n.now())}).Descriptors, nil
}

func (p *panel) serviceChange(mid string, c *h248.Command) *h248.Error {
	f := p.front
	method := h248.Value(c.Descriptors, "Services", "Method")
	switch {
	case method == "":
		return &h248.Error{Code: h248.SyntaxInCommand, Text: "no method"}
	case p.admin && strings.EqualFold(method, "Graceful"):
		f.n.later = append(f.n.later, f.n.beginStop)
	case strings.EqualFold(method, "Restart") || strings.EqualFold(method, "Forced"):
		for _, k := range f.calls { // the panel has forgotten its calls
			if k.mid == mid {
				f.hangup(k, call.CauseNormal)
			}
		}
	}
	return nil
}

// find returns the call that a command means: by its context, or by its
// termination alone while the set-up is open and its context not known.
func (f *h248Front) find(mid string, a *h248.Action, c *h248.Command) (*h248Call, *h248.Error) {
	switch a.Context {
	case "-", "$":
		return nil, &h248.Error{Code: h248.UnknownAction, Text: c.Name + " in context " + a.Context}
	case "*":
		for _, k := range f.calls {
			if k.mid == mid && k.termination == c.Termination {
				return k, nil
			}
		}
		return nil, &h248.Error{Code: h248.NoTerminationMatched, Text: "no such call"}
	}
	k := f.context[a.Context]
	if k == nil {
		return nil, &h248.Error{Code: h248.UnknownContext, Text: "context " + a.Context}
	}
	if c.Termination != k.termination && c.Termination != "*" {
		return nil, &h248.Error{Code: h248.UnknownTermination, Text: "not in context " + a.Context}
	}
	return k, nil
}

// hangup ends a call from the panel's side. A set-up that is open still has its
// transaction, which must not be left without a reply.
func (f *h248Front) hangup(k *h248Call, cause int) {
	f.forget(k)
	f.n.core.ReleaseByCaller(k.id, cause)
	if k.on != nil {
		k.fail(h248.TemporaryFailure, "given up by the caller")
	}
}

func (f *h248Front) forget(k *h248Call) {
	delete(f.calls, k.id)
	delete(f.context, k.ctx)
	if name := term(k.mid, k.termination); f.terms[name] == k {
		delete(f.terms, name)
	}
}

// term names a panel's termination.
func term(mid, termination string) string { return mid + " " + termination }

// add sets a call up. Everything is looked at before anything is done.
func (p *panel) add(mid string, e *entry, t *h248.Transaction, a *h248.Action) *h248.Error {
	f, c := p.front, a.Commands[0]
	if a.Context != "$" {
		return &h248.Error{Code: h248.NotImplemented, Text: "an Add goes to a new context"}
	}
	if c.Termination == "$" || c.Termination == "*" || strings.EqualFold(c.Termination, "ROOT") {
		return &h248.Error{Code: h248.UnknownTermination, Text: "an Add names its termination"}
	}
	if f.terms[term(mid, c.Termination)] != nil {
		return &h248.Error{Code: h248.TerminationInContext, Text: c.Termination}
	}
	desc, ok := description(c, "Remote")
	if !ok {
		return &h248.Error{Code: h248.MissingRemote, Text: "no Remote descriptor"}
	}
	value := func(name string) string { return h248.Value(c.Descriptors, "Media", "TerminationState", "oc/"+name) }
	r := call.Request{Class: value("class"), Number: value("number"), PreferredPool: -1, Description: desc, Reestablish: value("again") == "1"}
	if !sip.Clean(r.Class) || !sip.Clean(r.Number) {
		return &h248.Error{Code: h248.BadValue, Text: "oc/class or oc/number"}
	}
	left, err := strconv.ParseFloat(value("left"), 64)
	if err != nil || !(left >= 0 && left < 1e9) {
		return &h248.Error{Code: h248.BadValue, Text: "oc/left"}
	}
	if first := value("first"); first != "" {
		if r.PreferredPool, err = strconv.Atoi(first); err != nil {
			return &h248.Error{Code: h248.BadValue, Text: "oc/first"}
		}
	}
	if !f.n.possible(r.Class, r.PreferredPool) {
		return &h248.Error{Code: h248.BadValue, Text: "oc/first"}
	}
	r.RepeatUnsafe = f.n.cfg.RepeatUnsafe(r.Class)
	r.Deadline = f.n.until(r.Class, time.Duration(left*float64(time.Millisecond)))
	r.ID = fmt.Sprintf("%016x", f.n.rng.Uint64())
	k := &h248Call{front: f, on: p, entry: e, mid: mid, transaction: t.ID, termination: c.Termination, id: r.ID}
	f.calls[k.id], f.terms[term(mid, k.termination)] = k, k
	if f.n.ending() {
		f.n.core.RejectShuttingDown(k, r)
		return nil
	}
	if err := f.n.core.Offer(k, r); err != nil {
		f.forget(k)
		return &h248.Error{Code: h248.InternalFailure, Text: err.Error()}
	}
	return nil
}

// CallEstablished implements call.Client.
func (k *h248Call) CallEstablished(id string, description []byte) {
	f := k.front
	if !h248.Fits(description) {
		f.n.later = append(f.n.later, func() { f.hangup(k, call.CauseFailed) })
		return
	}
	f.lastCtx++
	k.ctx = strconv.FormatUint(uint64(f.lastCtx), 10)
	f.context[k.ctx] = k
	k.answer(&h248.Action{Context: k.ctx, Commands: []*h248.Command{{Name: "Add", Termination: k.termination,
		Descriptors: []*h248.Node{{Name: "Media", Kids: []*h248.Node{{Name: "Local", Octets: description}}}}}}})
}

// CallRejected implements call.Client.
func (k *h248Call) CallRejected(id string, cause int, wait time.Duration) {
	k.front.forget(k)
	code := h248.TemporaryFailure
	if cause == call.CauseNoCircuit {
		code = h248.Insufficient
	}
	text := "cause=" + strconv.Itoa(cause)
	if wait > 0 {
		text += " wait=" + strconv.FormatInt(wait.Milliseconds(), 10)
	}
	k.fail(code, text)
}

// CallForgotten implements call.Client. What gives an H.248 call up replies to its transaction itself.
func (k *h248Call) CallForgotten(string) {}

// Frontend implements call.Client.
func (k *h248Call) Frontend() call.Frontend { return k.front }

func (k *h248Call) fail(code int, text string) {
	k.answer(&h248.Action{Context: "$", Err: &h248.Error{Code: code, Text: text}})
}

func (k *h248Call) answer(a *h248.Action) {
	on := k.on
	k.on = nil
	on.reply(k.entry, &h248.Transaction{ID: k.transaction, Actions: []*h248.Action{a}})
}

// NotifyRelease implements call.Front: it tells the panel of the call's end, on any of
// its connections, and again on the next until the panel replies.
func (f *h248Front) NotifyRelease(_ call.Client, id string, cause int) {
	k := f.calls[id]
	if k == nil {
		return // of a call that this process never knew: panels learn it by their audit
	}
	f.forget(k)
	f.lastID++
	o := &notice{mid: k.mid, at: f.n.now(), text: frame(f.n.self(), &h248.Transaction{Kind: h248.Request, ID: f.lastID,
		Actions: []*h248.Action{{Context: k.ctx, Commands: []*h248.Command{{Name: "Notify", Termination: k.termination,
			Descriptors: []*h248.Node{observed(cause)}}}}}})}
	if len(f.owed) < f.n.cfg.MemoryMB<<4 { // guards memory against panels that confirm nothing
		f.owed[f.lastID] = o
	} else {
		f.n.ReleasesLost++
	}
	f.n.ReleasesSaid++
	if at := f.mids[k.mid]; at != nil {
		for p := range at.latest() {
			if !p.s.shut {
				p.send(o.text)
				o.said = true
				return
			}
		}
	}
}

func (f *h248Front) sweep(now time.Duration) {
	for p := range f.silent.oldest() {
		if !p.s.overdue(now) {
			break // those behind it have been silent for less long
		}
		if !p.s.shut && !f.open(p) && !f.n.speaks(p.s, p.traffic) {
			f.n.ClientsSilent++
			f.n.close(p.s)
		}
	}
	for id, o := range f.owed {
		if now-o.at > longTimer {
			delete(f.owed, id)
			f.n.ReleasesLost++
		}
	}
}

// open tells whether a set-up is open on a connection.
func (f *h248Front) open(p *panel) bool {
	for _, k := range f.calls {
		if k.on == p {
			return true
		}
	}
	return false
}

// closed gives up the set-ups that are open on the connection. Their transactions
// get the reply that says so, should they be repeated.
func (p *panel) closed() {
	f := p.front
	f.panels.leave(&p.seat)
	f.silent.leave(&p.silentSeat)
	p.named("")
	for _, k := range f.calls {
		if k.on == p {
			f.forget(k)
			f.n.core.CallerDisconnected(k)
			k.fail(h248.TemporaryFailure, "given up: the connection closed")
		}
	}
}

// audit is the state and the counters of the program, for who manages it by class and server.
func (n *Node) audit(admin bool) []*h248.Node {
	state := "InService"
	if n.stopAt > 0 {
		state = "OutOfService"
	}
	stats := &h248.Node{Name: "Statistics"}
	add := func(name string, v int) {
		stats.Kids = append(stats.Kids, &h248.Node{Name: "oc/" + name, Value: strconv.Itoa(v)})
	}
	k := &n.core.Counters
	add("requests", k.Requests)
	add("stood", k.Established)
	add("refused", k.Rejected)
	add("failed", k.Failed)
	add("givenup", k.Abandoned)
	add("attempts", k.Attempts)
	add("open", n.core.OpenCalls())
	add("standing", n.core.EstablishedCalls())
	add("malformed", n.Malformed)
	if n.rec != nil {
		add("recorded", int(n.rec.log.Written()))
		add("recordslost", int(n.rec.log.Lost()))
	}
	if n.meter != nil && admin { // whom calls go to is no business of a panel
		stats.Kids = append(stats.Kids, n.meter.audit()...)
		stats.Kids = append(stats.Kids, n.numbers.audit()...)
		stats.Kids = append(stats.Kids, n.share.audit()...)
	}
	return []*h248.Node{{Name: "Media", Kids: []*h248.Node{{Name: "TerminationState",
		Kids: []*h248.Node{{Name: "ServiceStates", Value: state}}}}}, stats}
}
