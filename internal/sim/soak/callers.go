package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"olivedale/internal/codec/jsonl"
	"olivedale/internal/sim/invariant"
)

// Release causes of ITU-T Q.850.
const (
	causeNormalClearing = 16
	causeNoCircuit      = 34
)

const (
	// persistentConns is the number of connections that the callers of a controller share and keep open.
	persistentConns = 3
	// newConnectionTime is how long callers continue to open connections after SIGTERM.
	newConnectionTime = 300 * time.Millisecond
	// maxRedials bounds how often a rejected caller redials at once.
	maxRedials = 2
	// lostConnectionTime is the time until callers have detected the end of their connections after the process ended.
	lostConnectionTime = 60 * time.Millisecond
)

// Shares of the callers with a particular behavior.
const (
	newConnectionShare    = 0.25 // use a new connection for their call
	closeAfterAnswerShare = 0.5  // of these: close the connection once the call is established
	callerReleaseShare    = 0.35 // release their call before the exchange does
	confirmShare          = 0.9  // confirm a release
	redialShare           = 0.5  // redial at once when they are rejected
)

// callers are the callers of one controller. The release of a call may arrive on any of their connections.
type callers struct {
	run        *runner
	controller *controller
	rate       float64 // calls a second

	mu            sync.Mutex
	rng           *rand.Rand
	conns         []*callerConn // the persistent ones; nil entries are dialed when they are needed
	calls         map[string]*callerCall
	isPaused      bool // no process is serving
	newConnsUntil time.Time
	setupsUntil   time.Time // zero: no shutdown is under way
	rateFactor    float64   // multiplies rate; above 1 during a load surge
	generation    int       // of the process; answers due from an earlier process are not checked
	slowWriters   float64   // share of set-ups that are written in chunks
	earlyAbandons float64   // share of callers that abandon their call before the deadline
	closesAtOnce  float64   // share of callers that close their connection right after the set-up
}

// A callerCall is an open or established call as its caller sees it.
type callerCall struct {
	setup
	id            string
	left          time.Duration
	pool          int // preferred pool
	conn          *callerConn
	sentAt        time.Time
	redials       int
	isEstablished bool
	server        string // id of the exchange; set with isEstablished
	wasResent     bool   // the set-up crossed the close of its connection and was resent
	timers        []*time.Timer
}

func newCallers(run *runner, c *controller, seed uint64) *callers {
	plan := run.plan
	return &callers{
		run:           run,
		controller:    c,
		rate:          plan.Deployment.Rate,
		rng:           rand.New(rand.NewPCG(seed, uint64(c.number))),
		conns:         make([]*callerConn, persistentConns),
		calls:         make(map[string]*callerCall),
		rateFactor:    1,
		slowWriters:   plan.Callers.SlowWriters,
		earlyAbandons: plan.Callers.EarlyAbandons,
		closesAtOnce:  plan.Callers.ClosesAtOnce,
	}
}

// generate makes calls at random intervals until the channel is closed.
func (k *callers) generate(done <-chan struct{}) {
	for {
		k.mu.Lock()
		wait := time.Duration(k.rng.ExpFloat64() / (k.rate * k.rateFactor) * float64(time.Second))
		k.mu.Unlock()
		select {
		case <-done:
			return
		case <-time.After(wait):
			go k.place(0)
		}
	}
}

// setRateFactor multiplies the call rate by a factor; 1 restores it.
func (k *callers) setRateFactor(factor float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rateFactor = factor
}

// A callBehavior is the randomly selected behavior of a caller.
type callBehavior struct {
	usesNewConn, isSlow, abandons, closesAtOnce bool
	abandonAfter                                time.Duration
	chunking                                    chunking
	connIndex                                   int
	generation                                  int // of the process
}

// place makes a call, unless the callers may not call now.
func (k *callers) place(redials int) {
	k.mu.Lock()
	c, behavior := k.randomCall(redials)
	mayCall := k.mayCall(behavior.usesNewConn)
	behavior.generation = k.generation
	k.mu.Unlock()
	if !mayCall {
		return
	}
	conn, err := k.connection(behavior)
	if err != nil {
		return // no controller received the call
	}
	message := c.start()
	if behavior.isSlow {
		k.mu.Lock()
		behavior.chunking = k.randomChunking(len(message))
		k.mu.Unlock()
	}
	k.run.monitor.register(c.id, c.setup)
	if !k.open(c, conn, behavior.generation) {
		return
	}
	conn.writeChunked(behavior.chunking, message)
	if !conn.isOpen() { // it ended before the call was registered
		k.connectionLost(conn)
	}
	if behavior.closesAtOnce && behavior.usesNewConn {
		k.abandon(c)
		conn.close()
		return
	}
	if behavior.abandons {
		c.after(k, behavior.abandonAfter, func() { k.abandon(c) })
	}
}

// randomCall returns a random call and the behavior of its caller. callers.mu is held.
func (k *callers) randomCall(redials int) (*callerCall, callBehavior) {
	d := &k.run.plan.Deployment
	rng := k.rng
	class := d.Classes[rng.IntN(len(d.Classes))]
	number := fmt.Sprint("5", 100_000+rng.IntN(900_000))
	left := time.Duration((0.5 + 0.5*rng.Float64()) * float64(d.Deadline))
	id := fmt.Sprintf("%016x", rng.Uint64())
	c := &callerCall{
		setup: setup{
			controller: k.controller.name, class: class, number: number,
			description: []byte("o=" + id + "\r\ns=" + number + "\r\n"),
		},
		id:      id,
		left:    left,
		pool:    rng.IntN(d.Exchanges),
		redials: redials,
	}
	behavior := callBehavior{
		usesNewConn:  rng.Float64() < newConnectionShare,
		isSlow:       rng.Float64() < k.slowWriters,
		abandons:     rng.Float64() < k.earlyAbandons,
		closesAtOnce: rng.Float64() < k.closesAtOnce,
		abandonAfter: time.Duration(rng.Int64N(int64(left))),
		connIndex:    rng.IntN(len(k.conns)),
	}
	return c, behavior
}

// mayCall reports whether a call may be made now. callers.mu is held.
func (k *callers) mayCall(usesNewConn bool) bool {
	now := time.Now()
	isShuttingDown := !k.setupsUntil.IsZero()
	switch {
	case k.isPaused:
		return false
	case isShuttingDown && now.After(k.setupsUntil):
		return false
	case isShuttingDown && usesNewConn && now.After(k.newConnsUntil):
		return false
	}
	return true
}

// connection returns the connection for a call.
func (k *callers) connection(behavior callBehavior) (*callerConn, error) {
	if behavior.usesNewConn {
		return k.dial()
	}
	k.mu.Lock()
	conn := k.conns[behavior.connIndex]
	mayDial := k.setupsUntil.IsZero() || time.Now().Before(k.newConnsUntil)
	k.mu.Unlock()
	if conn != nil && conn.isOpen() {
		return conn, nil
	}
	if !mayDial {
		return nil, errNoConnection
	}
	conn, err := k.dial()
	if err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if other := k.conns[behavior.connIndex]; other != nil && other.isOpen() { // dialed concurrently
		go conn.close()
		return other, nil
	}
	k.conns[behavior.connIndex] = conn
	return conn, nil
}

// open registers a call before its set-up is sent on a connection. It reports false if the process at the other end has
// ended.
func (k *callers) open(c *callerCall, conn *callerConn, generation int) bool {
	k.mu.Lock()
	if generation != k.generation {
		k.mu.Unlock()
		return false
	}
	c.conn = conn
	c.sentAt = time.Now()
	k.calls[c.id] = c
	k.record(invariant.CallOffered, c, c.left)
	k.mu.Unlock()
	// The answer may be in transit at the deadline, so the caller waits for as long as the rules tolerate.
	c.after(k, c.left+clockSlack, func() { k.timeOut(c) })
	return true
}

func (k *callers) record(kind invariant.Kind, c *callerCall, deadline time.Duration) {
	k.run.monitor.record(invariant.Event{Kind: kind, Controller: c.controller, Call: c.id, Deadline: deadline})
}

// after runs f after a delay, unless the call ends before.
func (c *callerCall) after(k *callers, wait time.Duration, f func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c.timers = append(c.timers, time.AfterFunc(wait, f))
}

// start returns the set-up message of the call.
func (c *callerCall) start() []byte {
	return jsonl.Append(nil, &jsonl.Message{
		Verb: jsonl.Start,
		Tag:  c.id,
		Blob: c.description,
		Options: []jsonl.Option{
			{Name: "class", Value: c.class},
			{Name: "left", Value: fmt.Sprint(c.left.Milliseconds())},
			{Name: "key", Value: c.number},
			{Name: "extras", Value: fmt.Sprintf("dest:%d;width:1;via:-1", c.pool)},
		},
	})
}

// remove deletes an established or an open call and stops its timers. It reports false if the call is in another state.
func (k *callers) remove(c *callerCall, established bool) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.calls[c.id] != c || c.isEstablished != established {
		return false
	}
	delete(k.calls, c.id)
	for _, t := range c.timers {
		t.Stop()
	}
	return true
}

// timeOut ends a call that was not answered in time, which the checker reports.
func (k *callers) timeOut(c *callerCall) {
	if k.remove(c, false) {
		c.conn.write(finish(c.id))
	}
}

// abandon ends an open call before its deadline.
func (k *callers) abandon(c *callerCall) {
	if k.remove(c, false) {
		k.record(invariant.CallAbandoned, c, 0)
		c.conn.write(finish(c.id))
	}
}

// hangUp releases an established call on its own connection, or on another one if that has ended.
func (k *callers) hangUp(c *callerCall) {
	if !k.remove(c, true) {
		return
	}
	k.record(invariant.CallerReleased, c, 0)
	conn := c.conn
	if !conn.isOpen() {
		var err error
		if conn, err = k.anyConnection(); err != nil {
			return
		}
	}
	conn.write(finish(c.id))
}

// finish returns the message that abandons or releases a call.
func finish(id string) []byte {
	return jsonl.Append(nil, &jsonl.Message{
		Verb: jsonl.Finish, Tag: id, ResultCode: causeNormalClearing, HasResultCode: true,
	})
}

// beginShutdown records that the process was asked to end. Callers still open connections for newConnectionTime, and
// send set-ups on open connections for the given time.
func (k *callers) beginShutdown(setups time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.newConnsUntil = now.Add(newConnectionTime)
	k.setupsUntil = now.Add(setups)
}

// awaitConnectionsLost waits until callers have detected the end of the connections of an ended process.
func (k *callers) awaitConnectionsLost() { time.Sleep(lostConnectionTime) }

// disconnect drops all calls and connections, because their process has ended.
func (k *callers) disconnect() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.isPaused = true
	k.generation++
	for id, c := range k.calls {
		for _, t := range c.timers {
			t.Stop()
		}
		delete(k.calls, id)
	}
	for i, conn := range k.conns {
		if conn != nil {
			go conn.close() // not here, because a slow writer may hold the connection's mutex
		}
		k.conns[i] = nil
	}
}

// resume allows calls again after disconnect or beginShutdown.
func (k *callers) resume() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.isPaused = false
	k.setupsUntil = time.Time{}
}
