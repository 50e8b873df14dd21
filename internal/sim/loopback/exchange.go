// Package loopback runs emulated exchanges, a name service and a load generator on sockets of the loopback interface,
// for tests with real controllers. It implements the connections, SIP, DNS and the JSON-lines protocol of clients. The
// behaviour of an exchange is defined by internal/sim/exchange.
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

// An Exchange is an emulated exchange that serves SIP over TCP. Its methods are safe for concurrent use.
type Exchange struct {
	listener net.Listener
	start    time.Time

	mu        sync.Mutex
	model     *exchange.Exchange
	conns     map[string]*exchangeConn
	calls     map[exchange.Attempt]*dialog
	timer     *time.Timer
	closed    bool
	collapsed bool
	nextConn  int
}

// A dialog holds what an exchange needs to answer an INVITE and to release the call.
type dialog struct {
	conn   string // name of the connection of the INVITE; "" if it has closed
	number string
	cseq   int
}

// modelStream is the PCG stream of the model's random generator.
const modelStream = 1

// releaseCSeq is the CSeq number of the BYE requests of an exchange.
const releaseCSeq = 9

// Listen starts an exchange on a TCP address; port 0 chooses a free port. If cold, the exchange begins in slow start.
// Close ends its goroutines.
func Listen(addr string, settings exchange.Settings, cold bool, seed uint64) (*Exchange, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("exchange: %w", err)
	}
	e := &Exchange{
		listener: listener,
		start:    time.Now(),
		model:    exchange.New(settings, 0, cold, rand.New(rand.NewPCG(seed, modelStream))),
		conns:    make(map[string]*exchangeConn),
		calls:    make(map[exchange.Attempt]*dialog),
	}
	e.timer = time.AfterFunc(time.Hour, func() { e.Do(func(*exchange.Exchange, exchange.Time) {}) })
	go e.accept()
	return e, nil
}

// Addr returns the address of the exchange as host:port.
func (e *Exchange) Addr() string { return e.listener.Addr().String() }

// Counters returns the counters of the model.
func (e *Exchange) Counters() exchange.Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.Counters
}

// EstablishedCalls returns the number of established calls.
func (e *Exchange) EstablishedCalls() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.EstablishedCalls()
}

// HasCollapsed reports whether the exchange went down because of overload in its slow start.
func (e *Exchange) HasCollapsed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.collapsed
}

// Do calls f to change the model, for example to inject a fault, and sends the resulting messages.
func (e *Exchange) Do(f func(x *exchange.Exchange, now exchange.Time)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Since(e.start)
	e.model.Tick(now)
	f(e.model, now)
	for _, m := range e.model.TakeMessages() {
		e.send(m)
	}
	if e.closed {
		return
	}
	if e.model.State() == exchange.Down {
		e.collapsed = true
		e.closeConns()
		return
	}
	if next := e.model.NextDeadline(); next < eventqueue.Never {
		e.timer.Reset(max(next-now, 0))
	}
}

// Close stops the exchange: it stops listening and resets its connections.
func (e *Exchange) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.Stop()
	e.closeConns()
}

// closeConns stops listening and resets the connections. The caller holds Exchange.mu.
func (e *Exchange) closeConns() {
	if e.closed {
		return
	}
	e.closed = true
	e.timer.Stop()
	_ = e.listener.Close()
	for _, c := range e.conns {
		c.reset()
	}
}

// handle handles a message from a controller.
func (e *Exchange) handle(c *exchangeConn, m *sip.Message) {
	e.Do(func(x *exchange.Exchange, now exchange.Time) {
		attempt := exchange.Attempt{Call: m.CallID, Number: m.CSeq - 1}
		switch m.Method {
		case "INVITE":
			e.calls[attempt] = &dialog{conn: c.name, number: m.User(), cseq: m.CSeq}
			x.Invite(now, c.name, attempt, m.Header("X-Cos"))
		case "CANCEL":
			c.send(newResponse(statusOK, m, m.Method, nil))
			x.Cancel(now, attempt)
		case "BYE":
			c.send(newResponse(statusOK, m, m.Method, nil))
			x.ReleaseCall(now, m.CallID)
		case "OPTIONS":
			c.send(newResponse(statusOK, m, m.Method, nil))
		}
	})
}

// forgetConn handles the end of a connection: it removes the open attempts, and detaches the dialogs of established
// calls, whose release is then sent on another connection.
func (e *Exchange) forgetConn(c *exchangeConn) {
	e.Do(func(x *exchange.Exchange, now exchange.Time) {
		delete(e.conns, c.name)
		x.ConnectionLost(now, c.name)
		for attempt, d := range e.calls {
			switch {
			case d.conn != c.name:
			case x.Contains(attempt):
				d.conn = ""
			default:
				delete(e.calls, attempt)
			}
		}
		close(c.out)
	})
}

// send sends a message of the model. The caller holds Exchange.mu.
func (e *Exchange) send(m exchange.Message) {
	d := e.calls[m.Attempt]
	if d == nil {
		return
	}
	c := e.connFor(d, m.Kind == exchange.Released)
	if m.Kind != exchange.Answered {
		delete(e.calls, m.Attempt)
	}
	if c == nil {
		return
	}
	if text := encode(m, d); text != nil {
		c.send(text)
	}
}

// connFor returns the connection for a message of a dialog, or nil if there is none. If the connection of the dialog
// has closed, a release is sent on the newest one.
func (e *Exchange) connFor(d *dialog, isRelease bool) *exchangeConn {
	if c := e.conns[d.conn]; c != nil || !isRelease {
		return c
	}
	names := e.connNames()
	if len(names) == 0 {
		return nil
	}
	return e.conns[names[len(names)-1]]
}

// connNames returns the names of the connections in the order in which they were accepted.
func (e *Exchange) connNames() []string {
	var names []string
	for name := range e.conns {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(len(a)-len(b), cmp.Compare(a, b)) })
	return names
}
