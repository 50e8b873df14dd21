package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"olivedale/internal/sim/invariant"
)

// An exchangeState says whether the process of an exchange runs and whether controllers can reach it.
type exchangeState int

const (
	exchangeRunning     exchangeState = iota
	exchangePartitioned               // runs, but no data passes to or from controllers; no connection is established
	exchangeHung                      // its process is stopped; connections are still established
	exchangeVanished                  // gone with its calls, without closing connections; no connection is established
	exchangeCrashed                   // its process ended: its connections are reset, new ones are refused
	exchangeFull                      // runs; its connections were reset, and new ones are refused
)

// String returns the state's name.
func (s exchangeState) String() string {
	return [...]string{"running", "partitioned", "hung", "vanished", "crashed", "full"}[s]
}

// carriesTraffic reports whether an exchange in the state reads and writes.
func (s exchangeState) carriesTraffic() bool { return s == exchangeRunning || s == exchangeFull }

// refusesConnections reports whether nothing listens at the addresses of an exchange in the state.
func (s exchangeState) refusesConnections() bool { return s == exchangeCrashed || s == exchangeFull }

// Limits of the time until an exchange answers an INVITE.
const (
	minAnswerDelay = 2 * time.Millisecond
	maxAnswerDelay = 40 * time.Millisecond
)

const (
	// busyShare is the share of INVITEs that an exchange rejects because its processor is busy.
	busyShare = 0.005
	// minHold is the shortest duration of a call.
	minHold = 300 * time.Millisecond
	// releaseNotifyLimit is how long a controller may take to notify a caller of a release that the exchange sent.
	releaseNotifyLimit = time.Second
	// lossNotifyLimit is how long it may take if no release could be sent.
	lossNotifyLimit = 8 * time.Second
)

// An exchange serves SIP over TCP on loopback addresses and keeps its established calls. Its methods are safe for
// concurrent use.
type exchange struct {
	id       string
	pool     int
	monitor  *monitor
	trace    *messageTrace // nil: none
	meanHold time.Duration

	stateMu sync.Mutex // held during a change of the state, which takes time; locked before mu

	mu        sync.Mutex
	rng       *rand.Rand
	listeners map[string]*listener // by controller: each has its own address of the exchange
	state     exchangeState
	// malformedShare is the share of answers that are malformed.
	malformedShare float64
	changed        chan struct{} // closed when the state changes
	done           chan struct{} // closed when the run ends
	started        time.Time     // start of the process; zero: before the run
	resumedAt      time.Time     // when the process last continued after it was stopped
	conns          []*exchangeConn
	calls          map[string]*exchangeCall
	unconfirmed    []*exchangeCall // ended calls whose release the controller has not confirmed
}

// An exchangeCall is a call at an exchange, from its INVITE on.
type exchangeCall struct {
	id            string
	number        string
	controller    string
	attempt       int
	conn          *exchangeConn
	isEstablished bool
	// isOutdated is set for an attempt that arrived before the final answer of its call but is handled after it, for
	// instance by a process that was stopped. Its cancel is on the way.
	isOutdated bool
	timer      *time.Timer // for the answer, then for the end of the call
}

// exchangeOptions configure an exchange.
type exchangeOptions struct {
	id          string
	pool        int
	controllers []string
	meanHold    time.Duration // of calls that the exchange releases
	seed        uint64
	trace       *messageTrace // nil: none
}

// startExchange starts an exchange that listens at one address for each controller.
func startExchange(o exchangeOptions, mon *monitor) (*exchange, error) {
	x := &exchange{
		id:        o.id,
		pool:      o.pool,
		monitor:   mon,
		trace:     o.trace,
		meanHold:  o.meanHold,
		rng:       rand.New(rand.NewPCG(o.seed, uint64(o.pool))),
		listeners: make(map[string]*listener),
		changed:   make(chan struct{}),
		done:      make(chan struct{}),
		calls:     make(map[string]*exchangeCall),
	}
	for _, controller := range o.controllers {
		if err := x.listen(controller, "127.0.0.1:0"); err != nil {
			x.close()
			return nil, err
		}
	}
	return x, nil
}

// listen accepts the connections of a controller at an address.
func (x *exchange) listen(controller, address string) error {
	l, err := listen(address)
	if err != nil {
		return err
	}
	x.mu.Lock()
	x.listeners[controller] = l
	x.mu.Unlock()
	go x.accept(controller, l)
	return nil
}

// address returns the address of the exchange for a controller.
func (x *exchange) address(controller string) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.listeners[controller].address()
}

// startTime returns the start time of the exchange's process, as discovery lists it; zero: before the run.
func (x *exchange) startTime() time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.started
}

// setState changes the state. A crashed or vanished exchange runs again as a new process without calls.
func (x *exchange) setState(s exchangeState) error {
	x.stateMu.Lock()
	defer x.stateMu.Unlock()
	return x.changeState(s)
}

// leaveRunning changes the state of a running exchange. It reports false if the exchange is not running, for instance
// because of another fault.
func (x *exchange) leaveRunning(s exchangeState) bool {
	x.stateMu.Lock()
	defer x.stateMu.Unlock()
	return x.isRunning() && x.changeState(s) == nil
}

// changeState changes the state and whether connections are established. exchange.stateMu is held.
func (x *exchange) changeState(s exchangeState) error {
	if x.isInState(s) {
		return nil
	}
	if s == exchangeVanished || s == exchangePartitioned {
		// Before the state changes, because controllers would take a new connection for a sign that the exchange runs;
		// and while the exchange continues to work, because it takes some tenths of a second.
		if err := x.setReachable(false); err != nil {
			return err
		}
	}
	if s == exchangeFull {
		x.closeListeners() // before the connections are reset, or controllers would connect again
	}
	if x.enterState(s).refusesConnections() {
		return x.listenAgain()
	}
	if s.refusesConnections() {
		x.closeListeners()
		return nil
	}
	return x.setReachable(s == exchangeRunning || s == exchangeHung)
}

// closeListeners makes the addresses of the exchange refuse connections.
func (x *exchange) closeListeners() {
	for _, l := range x.listeners {
		l.close()
	}
}

func (x *exchange) isInState(s exchangeState) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.state == s
}

// enterState changes the state, calls and connections accordingly, and returns the previous state.
func (x *exchange) enterState(s exchangeState) (previous exchangeState) {
	x.mu.Lock()
	defer x.mu.Unlock()
	previous = x.state
	x.state = s
	x.trace.recordState(x.id, s)
	close(x.changed)
	x.changed = make(chan struct{})
	switch previous {
	case exchangeVanished, exchangeCrashed:
		x.started = time.Now()
	case exchangeHung:
		x.resumedAt = time.Now()
	case exchangeRunning, exchangePartitioned, exchangeFull:
	}
	switch s {
	case exchangeVanished:
		x.loseCalls()
		x.abandonConns(false)
	case exchangeCrashed:
		x.loseCalls()
		x.abandonConns(true)
	case exchangePartitioned, exchangeHung:
		x.suspendAttempts()
	case exchangeFull:
		x.resetUsableConns()
	case exchangeRunning:
	}
	return previous
}

// setReachable makes the addresses of the exchange accept new connections, or leaves them unanswered.
func (x *exchange) setReachable(isReachable bool) error {
	errs := make(chan error, len(x.listeners))
	for _, l := range x.listeners {
		go func() { errs <- l.setReachable(isReachable) }()
	}
	var err error
	for range x.listeners {
		err = errors.Join(err, <-errs)
	}
	return err
}

// listenAgain listens at the addresses of the previous process.
func (x *exchange) listenAgain() error {
	var err error
	for controller, l := range x.listeners {
		err = errors.Join(err, x.listen(controller, l.address()))
	}
	return err
}

// abandonConns resets all connections, or leaves them open without ever using them again.
func (x *exchange) abandonConns(reset bool) {
	for _, c := range x.conns {
		c.isBlackholed = !reset
		if reset {
			c.reset()
		}
	}
	if reset {
		x.conns = nil
	}
}

// loseCalls ends all calls without notifying their controllers.
func (x *exchange) loseCalls() {
	for id, c := range x.calls {
		c.stopTimer()
		if c.isEstablished {
			x.recordEnd(c, lossNotifyLimit)
		} else {
			x.record(invariant.AttemptBroken, c)
		}
		delete(x.calls, id)
	}
	x.unconfirmed = nil
}

// suspendAttempts records that open attempts have ended. Their cancels cannot be observed now, because the exchange
// reads them only when it can be reached again.
func (x *exchange) suspendAttempts() {
	for _, c := range x.calls {
		if !c.isEstablished {
			x.record(invariant.AttemptBroken, c)
		}
	}
}

// resetConns resets the connections, as a middlebox does. Established calls continue.
func (x *exchange) resetConns() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.resetUsableConns()
}

// resetUsableConns implements resetConns. exchange.mu is held.
func (x *exchange) resetUsableConns() {
	for _, c := range x.conns {
		if !c.isBlackholed {
			c.reset()
		}
	}
}

// close ends the exchange. Its remaining calls are not checked any more.
func (x *exchange) close() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range x.calls {
		c.stopTimer()
	}
	clear(x.calls)
	close(x.done)
	x.abandonConns(true)
	x.closeListeners()
}

// recordEstablished records the calls that are still established at the end of a run.
func (x *exchange) recordEstablished() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range x.calls {
		if c.isEstablished {
			x.record(invariant.CallStillEstablished, c)
		}
	}
}

// record passes an event of a call to the monitor.
func (x *exchange) record(kind invariant.Kind, c *exchangeCall) {
	x.monitor.record(invariant.Event{
		Kind: kind, Controller: c.controller, Call: c.id, Server: x.id, Attempt: c.attempt,
	})
}

// recordEnd records that an established call has ended, and within which time its controller must notify the caller.
func (x *exchange) recordEnd(c *exchangeCall, limit time.Duration) {
	x.monitor.record(x.endOf(c, limit))
}

// endOf returns the event that an established call has ended.
func (x *exchange) endOf(c *exchangeCall, limit time.Duration) invariant.Event {
	return invariant.Event{
		Kind: invariant.CallEnded, Controller: c.controller, Call: c.id, Server: x.id, Attempt: c.attempt,
		Deadline: limit,
	}
}

func (c *exchangeCall) stopTimer() {
	if c.timer != nil {
		c.timer.Stop()
	}
}

// Parts of a session description. Its second line has the exchange, the attempt and the call.
const (
	descriptionHead   = "v=0\r\ns="
	descriptionFormat = descriptionHead + "%s/%d/%s\r\n"
	descriptionFields = 3
)

// description returns the session description by which an exchange answers an attempt. Callers check it.
func (x *exchange) description(c *exchangeCall) string {
	return fmt.Sprintf(descriptionFormat, x.id, c.attempt, c.id)
}

// parseDescription returns the exchange and the attempt in the description for a call. It reports false if the
// description is not one that an exchange sent for the call.
func parseDescription(text, callID string) (exchangeID string, attempt int, ok bool) {
	fields := strings.Split(strings.TrimSuffix(strings.TrimPrefix(text, descriptionHead), "\r\n"), "/")
	if len(fields) != descriptionFields || fields[2] != callID {
		return "", 0, false
	}
	attempt, err := strconv.Atoi(fields[1])
	return fields[0], attempt, err == nil && text == fmt.Sprintf(descriptionFormat, fields[0], attempt, callID)
}
