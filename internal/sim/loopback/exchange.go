// Package socket puts the laboratory's exchanges, directory and callers behind real sockets on
// loopback, for real call controllers to work with. What exchanges do is sim/exchange's; here are
// connections, SIP and DNS.
package loopback

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"olivedale/internal/codec/sip"
	"olivedale/internal/sim/eventqueue"
	"olivedale/internal/sim/exchange"
)

// An Exchange serves SIP over TCP on a loopback address. Its methods may be called from anywhere.
type Exchange struct {
	ln    net.Listener
	began time.Time

	mu     sync.Mutex
	x      *exchange.Exchange
	peers  map[string]*peer
	calls  map[exchange.Attempt]*dialog
	timer  *time.Timer
	closed bool
	fell   bool
	next   int
}

// A peer is a call controller's connection.
type peer struct {
	name string
	c    net.Conn
	out  chan []byte // bounded: a peer that does not read is closed
}

type dialog struct {
	from   string
	number string
	cseq   int
}

// mostQueued bounds what waits for a peer who does not read.
const mostQueued = 4096

// Listen starts an exchange on an address; port 0 takes a free one.
func Listen(addr string, set exchange.Settings, cold bool, seed uint64) (*Exchange, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("exchange: %w", err)
	}
	e := &Exchange{ln: ln, began: time.Now(), peers: make(map[string]*peer), calls: make(map[exchange.Attempt]*dialog)}
	e.x = exchange.New(set, 0, cold, rand.New(rand.NewPCG(seed, 1)))
	e.timer = time.AfterFunc(time.Hour, func() { e.Do(func(*exchange.Exchange, exchange.Time) {}) })
	go e.accept()
	return e, nil
}

// Addr is where it listens.
func (e *Exchange) Addr() string { return e.ln.Addr().String() }

// Counters are the model's.
func (e *Exchange) Counters() exchange.Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.x.Counters
}

// Standing counts the calls that stand.
func (e *Exchange) Standing() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.x.Standing()
}

// Fell tells whether it was pushed over while it was cold.
func (e *Exchange) Fell() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fell
}

// Do has something done to the model, such as a fault, and sends what it says.
func (e *Exchange) Do(f func(x *exchange.Exchange, now exchange.Time)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Since(e.began)
	e.x.Tick(now)
	f(e.x, now)
	for _, m := range e.x.Take() {
		e.say(m)
	}
	if e.closed {
		return
	}
	if e.x.State() == exchange.Down {
		e.fell = true
		e.shut()
		return
	}
	if next := e.x.Next(); next < eventqueue.Never {
		e.timer.Reset(max(next-now, 0))
	}
}

// Close ends it: nobody listens, and its connections are reset.
func (e *Exchange) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.x.Stop()
	e.shut()
}

func (e *Exchange) shut() {
	if e.closed {
		return
	}
	e.closed = true
	e.timer.Stop()
	_ = e.ln.Close()
	for _, p := range e.peers {
		if t, ok := p.c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = p.c.Close()
	}
}

func (e *Exchange) accept() {
	for {
		c, err := e.ln.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		if e.closed {
			e.mu.Unlock()
			_ = c.Close()
			return
		}
		e.next++
		p := &peer{name: fmt.Sprint("p", e.next), c: c, out: make(chan []byte, mostQueued)}
		e.peers[p.name] = p
		e.mu.Unlock()
		go p.write()
		go e.serve(p)
	}
}

func (p *peer) write() {
	for b := range p.out {
		if _, err := p.c.Write(b); err != nil {
			_ = p.c.Close() // its reader ends it
		}
	}
}

// send queues a message; the lock is held.
func (p *peer) send(b []byte) {
	select {
	case p.out <- b:
	default:
		_ = p.c.Close()
	}
}

func (e *Exchange) serve(p *peer) {
	var in sip.Reader
	buf := make([]byte, 16<<10)
	for {
		n, err := p.c.Read(buf)
		if err == nil {
			err = in.Feed(buf[:n], func(m *sip.Message) bool {
				e.take(p, m)
				return true
			})
		}
		if err != nil {
			break
		}
	}
	_ = p.c.Close()
	e.Do(func(x *exchange.Exchange, now exchange.Time) {
		delete(e.peers, p.name)
		x.Reset(now, p.name)
		for a, d := range e.calls { // its set-ups are dropped; calls that stand are told of on its next connection
			switch {
			case d.from != p.name:
			case x.Has(a):
				d.from = ""
			default:
				delete(e.calls, a)
			}
		}
		close(p.out)
	})
}

func respond(status int, m *sip.Message, method string, body []byte, headers ...sip.Header) []byte {
	b := fmt.Appendf(nil, "SIP/2.0 %d X\r\nCall-ID: %s\r\nCSeq: %d %s\r\n", status, m.CallID, m.CSeq, method)
	for _, h := range headers {
		b = fmt.Appendf(b, "%s: %s\r\n", h.Name, h.Value)
	}
	return fmt.Appendf(b, "Content-Length: %d\r\n\r\n%s", len(body), body)
}

// take takes a message from a call controller.
func (e *Exchange) take(p *peer, m *sip.Message) {
	e.Do(func(x *exchange.Exchange, now exchange.Time) {
		switch m.Method {
		case "INVITE":
			a := exchange.Attempt{Call: m.CallID, N: m.CSeq - 1}
			e.calls[a] = &dialog{from: p.name, number: m.User(), cseq: m.CSeq}
			x.Invite(now, p.name, a, m.Header("X-Cos"))
		case "CANCEL":
			p.send(respond(200, m, "CANCEL", nil))
			x.Cancel(now, exchange.Attempt{Call: m.CallID, N: m.CSeq - 1})
		case "BYE":
			p.send(respond(200, m, "BYE", nil))
			x.ReleaseCall(now, m.CallID)
		case "OPTIONS":
			p.send(respond(200, m, "OPTIONS", nil))
		}
	})
}

// say sends what the model says; the lock is held.
func (e *Exchange) say(m exchange.Message) {
	d := e.calls[m.Attempt]
	if d == nil {
		return
	}
	p := e.peers[d.from]
	if p == nil { // of a call that stands: on whatever connection there is
		if names := e.names(); len(names) > 0 && m.Kind == exchange.Released {
			p = e.peers[names[len(names)-1]]
		}
	}
	if m.Kind != exchange.Answered {
		delete(e.calls, m.Attempt)
	}
	if p == nil {
		return
	}
	invite := &sip.Message{CallID: m.Call, CSeq: d.cseq}
	diagnosis := func(status int, text string) []byte {
		return respond(status, invite, "INVITE", nil, sip.Header{Name: "X-Diagnosis", Value: text})
	}
	switch m.Kind {
	case exchange.Answered:
		p.send(respond(200, invite, "INVITE", []byte("v=0\r\ns="+d.number+"\r\n")))
	case exchange.Full:
		p.send(diagnosis(503, "cpu_full"))
	case exchange.NoLine:
		p.send(diagnosis(503, "all_trunks_busy"))
	case exchange.Dropped:
		p.send(respond(487, invite, "INVITE", nil))
	case exchange.Released:
		p.send(sip.AppendRequest(nil, &sip.Request{Method: "BYE", Number: d.number, CallID: m.Call, CSeq: 9,
			Headers: []sip.Header{{Name: "Reason", Value: fmt.Sprint("Q.850;cause=", m.Cause)}}}))
	}
}

// names are those of its connections, the latest last.
func (e *Exchange) names() (all []string) {
	for name := range e.peers {
		all = append(all, name)
	}
	slices.SortFunc(all, func(a, b string) int { return cmp.Or(len(a)-len(b), cmp.Compare(a, b)) })
	return all
}
