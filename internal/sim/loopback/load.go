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

// A LoadGenerator sends calls to controllers in an open loop: calls arrive independently of the answers to earlier
// ones, and the set-up time of a call is measured from its scheduled send time, so that a stall of the generator or of
// a controller counts.
type LoadGenerator struct {
	Addrs         []string // client addresses of the controllers
	Rate          float64  // calls per second to all controllers together
	Duration      time.Duration
	CallerTimeout time.Duration // time that callers wait for the final answer
	Pools         int           // number of pools, one of which a call prefers
	Classes       []scenario.Class
	Seed          uint64
	MaxOpen       int // limit of open and established calls, beyond which none are sent; 0: defaultMaxOpen
	// Observe, if not nil, is called with the events of each call in order.
	Observe         func(invariant.Event)
	ControllerNames []string // names of the controllers at Addrs, for Observe

	mu     sync.Mutex
	calls  map[string]*loadCall // open and established calls, by id
	stats  []LoadStats          // by address
	paused []bool               // by address; no calls are sent there
	conns  []*loadConn
}

const (
	defaultMaxOpen = 10_000
	// loadStream is the PCG stream of a generator's random numbers.
	loadStream = 3
	// drainPollInterval is the interval at which Run checks whether calls are still open.
	drainPollInterval = 10 * time.Millisecond
	// drainMargin is the time that Run waits for open calls beyond CallerTimeout.
	drainMargin = time.Second
)

// Run sends calls for Duration and then waits for the open ones. It stops early if ctx ends.
func (l *LoadGenerator) Run(ctx context.Context) error {
	if len(l.Addrs) == 0 || l.Rate <= 0 || len(l.Classes) == 0 {
		return errors.New("load: Addrs, Rate and Classes are required")
	}
	l.init()
	defer l.closeConns()
	if l.sendAll(ctx) {
		l.awaitOpenCalls(ctx)
	}
	return nil
}

func (l *LoadGenerator) init() {
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

func (l *LoadGenerator) closeConns() {
	for _, c := range l.conns {
		c.close()
	}
}

// sendAll sends calls with Poisson arrivals. It reports whether it sent all of them before ctx ended.
func (l *LoadGenerator) sendAll(ctx context.Context) bool {
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

// sleepUntil waits until the given time. It returns false if ctx ended before.
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

// awaitOpenCalls waits until no call is open, at most CallerTimeout and drainMargin.
func (l *LoadGenerator) awaitOpenCalls(ctx context.Context) {
	end := time.Now().Add(l.CallerTimeout + drainMargin)
	for time.Now().Before(end) && ctx.Err() == nil && l.openCalls() > 0 {
		time.Sleep(drainPollInterval)
	}
}

// openCalls returns the number of calls without a final answer.
func (l *LoadGenerator) openCalls() int {
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

// Pause stops or resumes sending calls to an address, as clients do when its controller shuts down.
func (l *LoadGenerator) Pause(address int, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused[address] = on
}

// observe passes an event at the controller of an address to Observe.
func (l *LoadGenerator) observe(address int, e invariant.Event) {
	if l.Observe != nil {
		e.Controller = l.ControllerNames[address]
		l.Observe(e)
	}
}

// A callDraw holds the randomly chosen properties of a call.
type callDraw struct {
	class  string
	conn   *loadConn
	pool   int
	number string
}

// draw chooses the properties of a call. The order of the draws determines which calls a seed yields.
func (l *LoadGenerator) draw(rng *rand.Rand) callDraw {
	class := l.Classes[scenario.Pick(l.Classes, rng.Float64())].Name
	conn := l.conns[rng.IntN(len(l.conns))]
	pool := rng.IntN(max(l.Pools, 1))
	number := fmt.Sprint("5", 100_000+rng.IntN(900_000))
	return callDraw{class: class, conn: conn, pool: pool, number: number}
}

// send sends a call that was scheduled for the time due.
func (l *LoadGenerator) send(rng *rand.Rand, due time.Time, id string) {
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

// open registers a call, or returns nil if it must not be sent because of MaxOpen or Pause.
func (l *LoadGenerator) open(id string, due time.Time, conn *loadConn) *loadCall {
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
