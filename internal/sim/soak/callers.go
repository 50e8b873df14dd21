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
	// newConnectionTime is how long after SIGTERM callers still open connections.
	newConnectionTime = 300 * time.Millisecond
	// maxRedials bounds how often a rejected caller asks again at once.
	maxRedials = 2
	// lostConnectionTime is how long the end of connections takes to be seen once their process has ended.
	lostConnectionTime = 60 * time.Millisecond
)

// Shares of the callers that behave in a way of their own.
const (
	newConnectionShare = 0.25 // open a connection for their call
	leavingShare       = 0.5  // of these: close it once the call is established
	hangUpShare        = 0.35 // release their call before the exchange does
	confirmShare       = 0.9  // confirm a release
	redialShare        = 0.5  // ask again at once when they are rejected
)

// callers are the callers of one controller. Any of their connections may bring the release of any call.
type callers struct {
	run        *Run
	controller *controller
	rate       float64 // calls a second

	mu            sync.Mutex
	rng           *rand.Rand
	conns         []*callerConn // the persistent ones; nil entries are dialled at the next use
	calls         map[string]*callerCall
	isPaused      bool // no process serves
	noNewConns    time.Time
	noSetups      time.Time // zero: no shutdown
	rateFactor    float64   // a crowd makes more calls
	generation    int       // of the process; what an earlier one owed is not judged
	setupsDelayed float64   // share of set-ups that are written slowly
	earlyLeavers  float64   // share of callers that give up early
	closesAtOnce  float64   // share of set-ups whose connection is closed right behind them
}

// A callerCall is a call that is open or established.
type callerCall struct {
	setup
	id            string
	left          time.Duration
	pool          int // of first choice
	conn          *callerConn
	sentAt        time.Time
	redials       int
	isEstablished bool
	server        string // set with isEstablished: the exchange
	wasResent     bool   // it crossed the close of its connection and was sent again
	timers        []*time.Timer
}

func newCallers(run *Run, c *controller, seed uint64) *callers {
	story := run.story
	return &callers{
		run:           run,
		controller:    c,
		rate:          story.Deployment.Rate,
		rng:           rand.New(rand.NewPCG(seed, uint64(c.number))),
		conns:         make([]*callerConn, persistentConns),
		calls:         make(map[string]*callerCall),
		rateFactor:    1,
		setupsDelayed: story.Callers.SlowWriters,
		earlyLeavers:  story.Callers.EarlyLeavers,
		closesAtOnce:  story.Callers.ClosesAtOnce,
	}
}

// generate makes calls until the channel is closed.
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

// setCrowd makes the callers call so many times as often.
func (k *callers) setCrowd(factor float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rateFactor = factor
}

// A callPlan is what chance decides of a call.
type callPlan struct {
	isOwnConn, isSlow, leaves, closesAtOnce bool
	leaveAfter                              time.Duration
	pace                                    pace
	connIndex                               int
	generation                              int // of the process
}

// place makes a call. It is dropped if the callers may not call now.
func (k *callers) place(redials int) {
	k.mu.Lock()
	c, plan := k.draw(redials)
	mayCall := k.mayCall(plan.isOwnConn)
	plan.generation = k.generation
	k.mu.Unlock()
	if !mayCall {
		return
	}
	conn, err := k.connection(plan)
	if err != nil {
		return // nobody has taken the call
	}
	message := c.start()
	if plan.isSlow {
		k.mu.Lock()
		plan.pace = k.drawPace(len(message))
		k.mu.Unlock()
	}
	k.run.judge.register(c.id, c.setup)
	if !k.open(c, conn, plan.generation) {
		return
	}
	conn.writeAt(plan.pace, message)
	if !conn.isOpen() { // it ended before the call was noted on it
		k.connectionLost(conn)
	}
	if plan.closesAtOnce && plan.isOwnConn {
		k.leave(c)
		conn.close()
		return
	}
	if plan.leaves {
		c.after(k, plan.leaveAfter, func() { k.leave(c) })
	}
}

// draw draws a call. callers.mu is held.
func (k *callers) draw(redials int) (*callerCall, callPlan) {
	d := &k.run.story.Deployment
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
	plan := callPlan{
		isOwnConn:    rng.Float64() < newConnectionShare,
		isSlow:       rng.Float64() < k.setupsDelayed,
		leaves:       rng.Float64() < k.earlyLeavers,
		closesAtOnce: rng.Float64() < k.closesAtOnce,
		leaveAfter:   time.Duration(rng.Int64N(int64(left))),
		connIndex:    rng.IntN(len(k.conns)),
	}
	return c, plan
}

// mayCall reports whether a call may be made now. callers.mu is held.
func (k *callers) mayCall(isOwnConn bool) bool {
	now := time.Now()
	isShuttingDown := !k.noSetups.IsZero()
	switch {
	case k.isPaused:
		return false
	case isShuttingDown && now.After(k.noSetups):
		return false
	case isShuttingDown && isOwnConn && now.After(k.noNewConns):
		return false
	}
	return true
}

// connection returns the connection for a call.
func (k *callers) connection(plan callPlan) (*callerConn, error) {
	if plan.isOwnConn {
		return k.dial()
	}
	k.mu.Lock()
	conn := k.conns[plan.connIndex]
	mayDial := k.noSetups.IsZero() || time.Now().Before(k.noNewConns)
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
	if other := k.conns[plan.connIndex]; other != nil && other.isOpen() { // dialled at the same time
		go conn.close()
		return other, nil
	}
	k.conns[plan.connIndex] = conn
	return conn, nil
}

// open notes that a call is asked for on a connection; false: the process that was to take it has ended.
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
	// The answer may be on its way when the caller's time is over: the rules' tolerance is the caller's too.
	c.after(k, c.left+clockSlack, func() { k.giveUp(c) })
	return true
}

func (k *callers) record(kind invariant.Kind, c *callerCall, deadline time.Duration) {
	k.run.judge.record(invariant.Event{Kind: kind, Controller: c.controller, Call: c.id, Deadline: deadline})
}

// after runs f for a call after a while, unless the call is over.
func (c *callerCall) after(k *callers, wait time.Duration, f func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c.timers = append(c.timers, time.AfterFunc(wait, f))
}

// start returns the message that asks for the call.
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

// remove forgets a call in a state, and stops its timers. It reports false if the call is in another state.
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

// giveUp ends a call that was not answered in time. The checker reports that by itself.
func (k *callers) giveUp(c *callerCall) {
	if k.remove(c, false) {
		c.conn.write(finish(c.id))
	}
}

// leave ends an open call before its time.
func (k *callers) leave(c *callerCall) {
	if k.remove(c, false) {
		k.record(invariant.CallAbandoned, c, 0)
		c.conn.write(finish(c.id))
	}
}

// hangUp releases an established call, on any connection.
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

// finish returns the message that gives a call up or releases it.
func finish(id string) []byte {
	return jsonl.Append(nil, &jsonl.Message{
		Verb: jsonl.Finish, Tag: id, ResultCode: causeNormalClearing, HasResultCode: true,
	})
}

// beginShutdown notes that the process was asked to end: new connections come for a while, and set-ups on open ones
// until a time.
func (k *callers) beginShutdown(setups time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.noNewConns = now.Add(newConnectionTime)
	k.noSetups = now.Add(setups)
}

// awaitConnectionsLost waits until the end of the connections of a process that has ended is seen.
func (k *callers) awaitConnectionsLost() { time.Sleep(lostConnectionTime) }

// forget drops all calls: their process has ended.
func (k *callers) forget() {
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
			go conn.close() // a slow writer may hold the connection
		}
		k.conns[i] = nil
	}
}

// resume lets the callers call again.
func (k *callers) resume() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.isPaused = false
	k.noSetups = time.Time{}
}
