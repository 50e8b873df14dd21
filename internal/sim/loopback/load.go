package loopback

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"olivedale/internal/codec/jsonl"
	"olivedale/internal/sim/invariant"
	"olivedale/internal/sim/scenario"
)

// A Load offers calls to controllers in an open loop: calls arrive whether or not earlier ones were answered, and the
// time of a call counts from when it was to be sent, so that a stall of either side shows. Run ends by itself.
type Load struct {
	Addrs         []string // addresses of the controllers for clients
	Rate          float64  // calls a second to all controllers together
	Duration      time.Duration
	CallerTimeout time.Duration // how long callers wait for the final answer
	Pools         int           // number of pools to prefer
	Classes       []scenario.Class
	Seed          uint64
	MaxOpen       int // bound of calls that are open or established; calls beyond it are not sent. 0: defaultMaxOpen
	// Observe, if not nil, gets an event for each message, in the order of each call.
	Observe         func(invariant.Event)
	ControllerNames []string // names of the controllers at Addrs, for Observe

	mu     sync.Mutex
	calls  map[string]*loadCall
	stats  []LoadStats // by address
	paused []bool      // by address: no calls are sent there
	conns  []*loadConn
}

const (
	defaultMaxOpen = 10_000
	// loadStream is the stream of the random generator of a load.
	loadStream = 3
	// drainPollInterval is how often Run looks whether calls are still open.
	drainPollInterval = 10 * time.Millisecond
	// drainMargin is how long Run waits for open calls beyond the callers' own time.
	drainMargin = time.Second
)

// Run sends calls until its time is over or ctx ends, and then waits for the open calls.
func (l *Load) Run(ctx context.Context) error {
	if len(l.Addrs) == 0 || l.Rate <= 0 || len(l.Classes) == 0 {
		return errors.New("load: addresses, a rate and classes are needed")
	}
	l.init()
	defer l.closeConns()
	if l.sendAll(ctx) {
		l.awaitOpenCalls(ctx)
	}
	return nil
}

func (l *Load) init() {
	if l.MaxOpen == 0 {
		l.MaxOpen = defaultMaxOpen
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = make(map[string]*loadCall)
	l.stats = make([]LoadStats, len(l.Addrs))
	l.paused = make([]bool, len(l.Addrs))
	for i, addr := range l.Addrs {
		l.stats[i] = NewLoadStats()
		l.conns = append(l.conns, &loadConn{load: l, index: i, addr: addr})
	}
}

func (l *Load) closeConns() {
	for _, c := range l.conns {
		c.close()
	}
}

// sendAll sends the calls of a Poisson process. It reports false if ctx ended before the last.
func (l *Load) sendAll(ctx context.Context) bool {
	rng := rand.New(rand.NewPCG(l.Seed, loadStream))
	start := time.Now()
	due := start
	salt := rng.Uint32()
	for n := uint32(0); ; n++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second)))
		if due.Sub(start) > l.Duration {
			return true
		}
		if !sleepUntil(ctx, due) {
			return false
		}
		l.send(rng, due, fmt.Sprintf("%08x%08x", salt, n))
	}
}

// sleepUntil waits until a time. It reports false if ctx has ended.
func sleepUntil(ctx context.Context, due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// awaitOpenCalls waits until no call is open, or the callers' time is over.
func (l *Load) awaitOpenCalls(ctx context.Context) {
	end := time.Now().Add(l.CallerTimeout + drainMargin)
	for time.Now().Before(end) && ctx.Err() == nil && l.openCalls() > 0 {
		time.Sleep(drainPollInterval)
	}
}

// openCalls counts the calls without a final answer.
func (l *Load) openCalls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, c := range l.calls {
		if !c.established {
			n++
		}
	}
	return n
}

// Pause stops sending calls to an address, as a client does with a controller that shuts down, or sends them again.
func (l *Load) Pause(address int, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused[address] = on
}

// observe passes an event at a controller to Observe.
func (l *Load) observe(address int, e invariant.Event) {
	if l.Observe != nil {
		e.Controller = l.ControllerNames[address]
		l.Observe(e)
	}
}

// A callDraw is what the random generator decides of a call.
type callDraw struct {
	class  string
	conn   *loadConn
	pool   int
	number string
}

// draw draws a call; the order of the draws decides which calls a seed gives.
func (l *Load) draw(rng *rand.Rand) callDraw {
	class := l.Classes[scenario.Pick(l.Classes, rng.Float64())].Name
	conn := l.conns[rng.IntN(len(l.conns))]
	pool := rng.IntN(max(l.Pools, 1))
	number := fmt.Sprint("5", 100_000+rng.IntN(900_000))
	return callDraw{class: class, conn: conn, pool: pool, number: number}
}

// send sends a call that was due at a time.
func (l *Load) send(rng *rand.Rand, due time.Time, id string) {
	d := l.draw(rng)
	conn := d.conn
	call := l.open(id, due, conn)
	if call == nil {
		return
	}
	l.observe(conn.index, invariant.Event{Kind: invariant.CallOffered, Call: id, Deadline: l.CallerTimeout})
	err := conn.send(&jsonl.Message{
		Verb: jsonl.Start,
		Tag:  id,
		Blob: []byte("v=0\r\ns=" + d.number + "\r\n"),
		Options: []jsonl.Option{
			{Name: "class", Value: d.class},
			{Name: "left", Value: fmt.Sprint(l.CallerTimeout.Milliseconds())},
			{Name: "key", Value: d.number},
			{Name: "extras", Value: fmt.Sprintf("dest:%d;width:1;via:-1", d.pool)},
		},
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.stats[conn.index].Lost++
		delete(l.calls, id)
		l.observe(conn.index, invariant.Event{Kind: invariant.CallAbandoned, Call: id})
		return
	}
	call.timer = time.AfterFunc(l.CallerTimeout, func() { l.abandon(id) })
}

// open registers a call, or returns nil if it must not be sent.
func (l *Load) open(id string, due time.Time, conn *loadConn) *loadCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	stats := &l.stats[conn.index]
	if len(l.calls) >= l.MaxOpen || l.paused[conn.index] {
		stats.NotSent++
		return nil
	}
	call := &loadCall{due: due, conn: conn}
	l.calls[id] = call
	stats.Sent++
	return call
}
