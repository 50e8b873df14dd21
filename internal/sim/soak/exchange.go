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

// An exchangeState says whether an exchange runs and can be reached.
type exchangeState int

const (
	exchangeRunning     exchangeState = iota
	exchangePartitioned               // runs; nothing passes between it and the controllers, no connection comes up
	exchangeHung                      // its process is stopped; connections still come up
	exchangeVanished                  // gone without a word: its calls are over, no connection comes up
	exchangeCrashed                   // its process died: its connections are reset, new ones are refused
)

// String returns the state's name.
func (s exchangeState) String() string {
	return [...]string{"running", "partitioned", "hung", "vanished", "crashed"}[s]
}

// passesMessages reports whether an exchange in the state reads and writes.
func (s exchangeState) passesMessages() bool { return s == exchangeRunning }

// Bounds of the time that an exchange takes to answer an INVITE.
const (
	minAnswerDelay = 2 * time.Millisecond
	maxAnswerDelay = 40 * time.Millisecond
)

const (
	// busyShare is the share of INVITEs that an exchange rejects because its processor is busy.
	busyShare = 0.005
	// minHold is the shortest duration of a call.
	minHold = 300 * time.Millisecond
	// releaseTime is how long a controller has to notify a caller of a release by the exchange.
	releaseTime = time.Second
	// lossTime is how long it has where no release could be sent.
	lossTime = 8 * time.Second
)

// An exchange serves SIP over TCP on a loopback address and knows which calls stand there. Its methods are safe for
// concurrent use.
type exchange struct {
	id       string
	pool     int
	judge    *judge
	trace    *messageTrace // nil: none
	meanHold time.Duration

	stateMu sync.Mutex // held through a change of the state, which takes a while; before mu

	mu        sync.Mutex
	rng       *rand.Rand
	listeners map[string]*listener // by controller: each reaches the exchange at an address of its own
	state     exchangeState
	// spoiltShare is the share of answers that arrive spoilt.
	spoiltShare float64
	changed     chan struct{} // closed when the state changes
	done        chan struct{} // closed when the run is over
	started     time.Time     // of the process; zero: before the run
	resumedAt   time.Time     // when the process was last continued after it was stopped
	conns       []*exchangeConn
	calls       map[string]*exchangeCall
	unheard     []*exchangeCall // released calls whose release no controller has confirmed
}

// An exchangeCall is a call at an exchange, from its INVITE on.
type exchangeCall struct {
	id            string
	number        string
	controller    string
	attempt       int
	conn          *exchangeConn
	isEstablished bool
	// isLate is set for an attempt that arrived before the final answer of its call and is handled behind it, as by a
	// process that was stopped: its cancel is on its way.
	isLate bool
	timer  *time.Timer // of the answer, then of the end
}

// exchangeOptions say how an exchange behaves.
type exchangeOptions struct {
	id          string
	pool        int
	controllers []string
	meanHold    time.Duration // of calls that the exchange releases
	seed        uint64
	trace       *messageTrace // nil: none
}

// startExchange starts an exchange.
func startExchange(o exchangeOptions, j *judge) (*exchange, error) {
	x := &exchange{
		id:        o.id,
		pool:      o.pool,
		judge:     j,
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
	x.listeners[controller] = l
	go x.accept(controller, l)
	return nil
}

// address returns where a controller reaches the exchange.
func (x *exchange) address(controller string) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.listeners[controller].address()
}

// startTime returns when the exchange's process started, as discovery lists it; zero: before the run.
func (x *exchange) startTime() time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.started
}

// setState changes the state. A crashed or vanished exchange runs again as a new process that knows no call.
func (x *exchange) setState(s exchangeState) error {
	x.stateMu.Lock()
	defer x.stateMu.Unlock()
	return x.changeState(s)
}

// leaveRunning changes the state of an exchange that runs; false: it does not, or another change came first.
func (x *exchange) leaveRunning(s exchangeState) bool {
	x.stateMu.Lock()
	defer x.stateMu.Unlock()
	return x.isRunning() && x.changeState(s) == nil
}

// changeState changes the state and whether connections come up. exchange.stateMu is held.
func (x *exchange) changeState(s exchangeState) error {
	if x.isInState(s) {
		return nil
	}
	if s == exchangeVanished || s == exchangePartitioned {
		// Before, because a connection that still comes up is a sign of life; and while the exchange goes on, because
		// it takes some tenths of a second.
		if err := x.setReachable(false); err != nil {
			return err
		}
	}
	if x.enterState(s) == exchangeCrashed {
		return x.listenAgain()
	}
	if s == exchangeCrashed {
		for _, l := range x.listeners {
			l.close()
		}
		return nil
	}
	return x.setReachable(s == exchangeRunning || s == exchangeHung)
}

func (x *exchange) isInState(s exchangeState) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.state == s
}

// enterState changes the state and what belongs to it at once, and returns the previous one.
func (x *exchange) enterState(s exchangeState) (previous exchangeState) {
	x.mu.Lock()
	defer x.mu.Unlock()
	previous = x.state
	x.state = s
	x.trace.noteState(x.id, s)
	close(x.changed)
	x.changed = make(chan struct{})
	switch previous {
	case exchangeVanished, exchangeCrashed:
		x.started = time.Now()
	case exchangeHung:
		x.resumedAt = time.Now()
	case exchangeRunning, exchangePartitioned:
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
	case exchangeRunning:
	}
	return previous
}

// setReachable makes new connections come up, or not any more.
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

// listenAgain listens at the addresses of a process that ended.
func (x *exchange) listenAgain() error {
	var err error
	for controller, l := range x.listeners {
		err = errors.Join(err, x.listen(controller, l.address()))
	}
	return err
}

// abandonConns forgets all connections: they are reset, or stay open and silent for good.
func (x *exchange) abandonConns(reset bool) {
	for _, c := range x.conns {
		c.isSilent = !reset
		if reset {
			c.reset()
		}
	}
	if reset {
		x.conns = nil
	}
}

// loseCalls ends all calls without a word to their controllers.
func (x *exchange) loseCalls() {
	for id, c := range x.calls {
		c.stopTimer()
		if c.isEstablished {
			x.recordEnd(c, lossTime)
		} else {
			x.record(invariant.AttemptBroken, c)
		}
		delete(x.calls, id)
	}
	x.unheard = nil
}

// suspendAttempts notes that open attempts cannot be given up in sight of the judge any more: the messages that give
// them up are read when the exchange can be reached again.
func (x *exchange) suspendAttempts() {
	for _, c := range x.calls {
		if !c.isEstablished {
			x.record(invariant.AttemptBroken, c)
		}
	}
}

// resetConns resets the connections, as a middlebox does; the calls stand.
func (x *exchange) resetConns() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range x.conns {
		if !c.isSilent {
			c.reset()
		}
	}
}

// close ends the exchange. Calls that stand are none of the judge's any more.
func (x *exchange) close() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range x.calls {
		c.stopTimer()
	}
	clear(x.calls)
	close(x.done)
	x.abandonConns(true)
	for _, l := range x.listeners {
		l.close()
	}
}

// recordStanding has the judge look at the calls that stand at the end of a run.
func (x *exchange) recordStanding() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range x.calls {
		if c.isEstablished {
			x.record(invariant.CallStanding, c)
		}
	}
}

// record passes an event of a call to the judge.
func (x *exchange) record(kind invariant.Kind, c *exchangeCall) {
	x.judge.record(invariant.Event{
		Kind: kind, Controller: c.controller, Call: c.id, Server: x.id, Attempt: c.attempt,
	})
}

// recordEnd records that an established call is over, and how long its controller has to notify the caller.
func (x *exchange) recordEnd(c *exchangeCall, limit time.Duration) { x.judge.record(x.endOf(c, limit)) }

// endOf returns the event that an established call is over.
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

// Parts of a description. Its second line has the exchange, the attempt and the call.
const (
	descriptionHead   = "v=0\r\ns="
	descriptionFormat = descriptionHead + "%s/%d/%s\r\n"
	descriptionFields = 3
)

// description returns the description by which an exchange answers an attempt. Callers check it.
func (x *exchange) description(c *exchangeCall) string {
	return fmt.Sprintf(descriptionFormat, x.id, c.attempt, c.id)
}

// parseDescription returns the exchange and the attempt that have a description for a call; false: none has made it.
func parseDescription(text, callID string) (exchangeID string, attempt int, ok bool) {
	fields := strings.Split(strings.TrimSuffix(strings.TrimPrefix(text, descriptionHead), "\r\n"), "/")
	if len(fields) != descriptionFields || fields[2] != callID {
		return "", 0, false
	}
	attempt, err := strconv.Atoi(fields[1])
	return fields[0], attempt, err == nil && text == fmt.Sprintf(descriptionFormat, fields[0], attempt, callID)
}
