package server

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"olivedale/internal/codec/jsonl"
)

// Random crossings: what callers, exchanges and the list do is drawn from a seed, several events in one iteration of the
// loop, and the rules are checked at the end as exchanges and callers saw them. Times come from the machine: a seed
// repeats the events, not the moment at which each side reads of them.

// An exchangeEvent is one event at the exchanges, in the order in which it happened there.
type exchangeEvent struct {
	at       time.Time
	exchange int
	what     string // INVITE, CANCEL, BYE, CLOSED; "answered N", "released" by the exchange; "left" by the caller
	id       string
	cseq     int
	conn     int // the connection to the exchange
}

// A randomRun is one run of random crossings.
type randomRun struct {
	*testbed
	rng              *rand.Rand
	events           []exchangeEvent
	collected        []int // the number of messages of each exchange that are recorded
	callers          []*jsonCaller
	callerOf         map[string]int // by id: the caller
	openCalls        []string       // asked for and not abandoned; they may have been answered
	drainingExchange int            // the exchange that drains, -1: none
	lastCall         int
	maxDelay         time.Duration // the longest scheduling delay
}

func (c *randomRun) record(s exchangeEvent) {
	if s.at.IsZero() {
		s.at = time.Now()
	}
	c.events = append(c.events, s)
}

// collectReceived records what has come to the exchanges since the last time.
func (c *randomRun) collectReceived() {
	for i, f := range c.exchanges {
		f.mu.Lock()
		came, via, when := f.received[c.collected[i]:], f.receivedOn[c.collected[i]:], f.receivedAt[c.collected[i]:]
		c.collected[i] = len(f.received)
		f.mu.Unlock()
		for j, s := range came {
			e := exchangeEvent{exchange: i, conn: via[j], at: when[j]}
			_, _ = fmt.Sscan(s, &e.what, &e.id, &e.cseq)
			c.record(e)
		}
	}
}

// unansweredAttempts returns the attempts that an exchange has not answered.
func (c *randomRun) unansweredAttempts() (all []exchangeEvent) {
	c.collectReceived()
	for _, e := range c.events {
		switch {
		case e.what == "INVITE":
			all = append(all, e)
		case e.what == "CANCEL" || strings.HasPrefix(e.what, "answered"):
			all = removeEvents(all, func(o exchangeEvent) bool { return o.id == e.id && o.exchange == e.exchange })
		case e.what == "CLOSED": // what is open on a connection ends with it
			all = removeEvents(all, func(o exchangeEvent) bool { return o.exchange == e.exchange && o.conn == e.conn })
		}
	}
	return all
}

func removeEvents(all []exchangeEvent, is func(exchangeEvent) bool) (left []exchangeEvent) {
	for _, s := range all {
		if !is(s) {
			left = append(left, s)
		}
	}
	return left
}

// establishedCalls returns the calls that an exchange answered and of which it has neither got nor sent a release.
// Those whose connection ended just after are left out: the answer may be lost on the way, and then nobody else knows
// of the call.
func (c *randomRun) establishedCalls() (all []exchangeEvent) {
	c.collectReceived()
	for _, e := range c.events {
		switch {
		case e.what == "answered 200":
			all = append(all, e)
		case e.what == "BYE" || e.what == "released":
			all = removeEvents(all, func(o exchangeEvent) bool { return o.id == e.id && o.exchange == e.exchange })
		case e.what == "CLOSED":
			all = removeEvents(all, func(o exchangeEvent) bool {
				return o.exchange == e.exchange && o.conn == e.conn && e.at.Sub(o.at) < time.Second
			})
		}
	}
	return all
}

func pickRandom[T any](rng *rand.Rand, all []T) (v T, ok bool) {
	if len(all) == 0 {
		return v, false
	}
	return all[rng.IntN(len(all))], true
}

// stepCaller does the callers' part of a step, within an iteration.
func (c *randomRun) stepCaller() {
	switch i := c.rng.IntN(len(c.callers)); c.rng.IntN(5) {
	case 0, 1, 2:
		c.lastCall++
		id := fmt.Sprintf("%016x", c.lastCall)
		c.callerOf[id] = i
		c.openCalls = append(c.openCalls, id)
		_, _ = c.callers[i].conn.Write(jsonSetup(id, time.Duration(100+c.rng.IntN(2500))*time.Millisecond))
	case 3:
		if id, ok := pickRandom(c.rng, c.openCalls); ok {
			c.recordLeft(id)
			if k := c.testbed.findClient(id); k != nil && c.rng.IntN(2) == 0 {
				k.HandleData(jsonMessage(jsonl.Finish, id))
			} else {
				_, _ = c.callers[c.rng.IntN(len(c.callers))].conn.Write(jsonMessage(jsonl.Finish, id)) // on whatever connection
			}
		}
	default:
		for _, id := range c.openCalls {
			if c.callerOf[id] == i {
				c.recordLeft(id)
			}
		}
		if c.rng.IntN(2) == 0 {
			resetConn(c.callers[i].conn)
		} else {
			c.callers[i].close()
		}
		c.callers[i] = dialJSONCaller(c.t, c.jsonAddress(), c.answers, "cccccccc")
		c.callers[i].send(&jsonl.Message{Verb: jsonl.Finished, Tag: "0"}) // a silent connection is closed after a while
	}
}

func (c *randomRun) recordLeft(id string) {
	for i, o := range c.openCalls {
		if o == id {
			c.openCalls = append(c.openCalls[:i:i], c.openCalls[i+1:]...)
			c.record(exchangeEvent{exchange: -1, what: "left", id: id})
			return
		}
	}
}

// stepExchange does the exchanges' part of a step.
func (c *randomRun) stepExchange() {
	switch c.rng.IntN(8) {
	case 0, 1, 2, 3:
		if a, ok := pickRandom(c.rng, c.unansweredAttempts()); ok {
			status := []int{200, 200, 503, 504, 486}[c.rng.IntN(5)]
			c.record(exchangeEvent{exchange: a.exchange, what: fmt.Sprint("answered ", status), id: a.id, cseq: a.cseq, conn: a.conn})
			b := sipResponse(a.id, "INVITE", status, a.cseq, "x")
			if c.rng.IntN(4) == 0 {
				b = append(b, b...) // twice
			}
			c.exchanges[a.exchange].mu.Lock()
			conn := c.exchanges[a.exchange].conns[a.conn]
			c.exchanges[a.exchange].mu.Unlock()
			_, _ = conn.Write(b)
		}
	case 4, 5:
		if a, ok := pickRandom(c.rng, c.establishedCalls()); ok {
			c.record(exchangeEvent{exchange: a.exchange, what: "released", id: a.id})
			c.exchanges[a.exchange].send(sipRelease(a.id, 16))
		}
	case 6:
		resetConn(c.exchanges[c.rng.IntN(len(c.exchanges))].awaitConn())
	default:
		if c.drainingExchange++; c.drainingExchange == len(c.exchanges) {
			c.drainingExchange = -1
		}
		var lines []endpointLine
		for i, f := range c.exchanges {
			lines = append(lines, endpointLine{id: fmt.Sprint("s-", i), addr: f.addr(), pool: i, draining: i == c.drainingExchange})
		}
		c.discovery.set(lines...)
	}
}

func TestRandomCrossings(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { t.Parallel(); runRandomCrossings(t, seed) })
	}
}

func runRandomCrossings(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 5))
	module := &scriptedDecider{retryDelay: retryGuard}
	for range 20_000 {
		module.servers = append(module.servers, fmt.Sprint("s-", rng.IntN(3)))
	}
	far := []*fakeExchange{startFakeExchange(t, "127.0.0.1:0"), startFakeExchange(t, "127.0.0.1:0"), startFakeExchange(t, "127.0.0.1:0")}
	bed := startTestbed(t, far, module)
	c := &randomRun{testbed: bed, rng: rng, collected: make([]int, len(far)), callerOf: make(map[string]int), drainingExchange: -1}
	for range 4 {
		c.callers = append(c.callers, bed.dialCaller("cccccccc"))
	}
	for range 250 {
		bed.runIteration(func() {
			for range 1 + rng.IntN(3) {
				if rng.IntN(2) == 0 {
					c.stepCaller()
				} else {
					c.stepExchange()
				}
			}
		})
		for range rng.IntN(3) {
			bed.runIteration(func() {}) // what has come is read
		}
		c.maxDelay = max(c.maxDelay, schedulingDelay())
		if rng.IntN(8) == 0 {
			time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond) // retry guards and timeouts pass
		}
	}
	// All calls end: established calls are released by whoever can.
	quit, left := bed.dialCaller("dddddddd"), ""
	defer func() {
		if left != "" {
			t.Log(left)
		}
	}()
	eventually(t, "every call is over", func() bool {
		for _, id := range slices.Clone(c.openCalls) {
			if got := bed.answers.of(id); strings.HasPrefix(got, "stands") && !strings.Contains(got, "end") {
				quit.hangUp(id)
				c.recordLeft(id)
			}
		}
		for _, e := range c.events { // and again by their exchanges, since a release may be lost with its connection
			if e.what == "answered 200" && rng.IntN(10) == 0 {
				c.record(exchangeEvent{exchange: e.exchange, what: "released", id: e.id})
				c.exchanges[e.exchange].send(sipRelease(e.id, 16))
			}
		}
		open, standing := 0, 0
		bed.runIteration(func() { open, standing = bed.server.calls.OpenCalls(), bed.server.calls.EstablishedCalls() })
		left = fmt.Sprintf("%d open, %d standing, %v stand at exchanges", open, standing, c.establishedCalls())
		return open == 0 && standing == 0 && len(c.establishedCalls()) == 0
	})
	left = ""
	bed.awaitNoPendingWork()
	for _, k := range append(c.callers, quit) { // what is on its way to a caller comes before the echo
		n := len(strings.Fields(bed.answers.of("echo")))
		k.send(&jsonl.Message{Verb: jsonl.Echo, Tag: "t"})
		bed.answers.await(t, "echo", n+1)
	}
	c.check()
}

// check verifies the rules against all that was observed.
func (c *randomRun) check() {
	c.collectReceived()
	slices.SortStableFunc(c.events, func(a, b exchangeEvent) int { return a.at.Compare(b.at) })
	type life struct {
		far  int // where an attempt is open, -1: none
		via  int
		cseq int
		left time.Time
		ends time.Time // when the latest attempt that may have run ended
	}
	lives := make(map[string]*life)
	attempts, resent := 0, 0
	for _, e := range c.events {
		if e.what == "CLOSED" {
			for _, l := range lives {
				if l.far == e.exchange && l.via == e.conn {
					l.far, l.ends = -1, e.at
				}
			}
			continue
		}
		l := lives[e.id]
		if l == nil {
			l = &life{far: -1}
			lives[e.id] = l
		}
		switch {
		case e.what == "left":
			l.left = e.at
		case e.what == "INVITE":
			attempts++
			if l.cseq > 0 {
				resent++
			}
			if l.far >= 0 && c.maxDelay < retryGuard { // else a CANCEL may be read after the next attempt
				c.t.Errorf("%s: attempt %d at s-%d while %d is out at s-%d", e.id, e.cseq, e.exchange, l.cseq, l.far)
			}
			if !l.left.IsZero() && e.at.Sub(l.left) > 300*time.Millisecond+c.maxDelay {
				c.t.Errorf("%s: sent on %v after its caller had left", e.id, e.at.Sub(l.left))
			}
			if !l.ends.IsZero() && e.at.Sub(l.ends) < retryGuard-c.maxDelay {
				c.t.Errorf("%s: sent again %v after an attempt that may have run", e.id, e.at.Sub(l.ends))
			}
			l.far, l.via, l.cseq, l.ends = e.exchange, e.conn, e.cseq, time.Time{}
		case e.what == "CANCEL" || e.what == "answered 504":
			if l.far == e.exchange {
				l.far, l.ends = -1, e.at
			}
		case strings.HasPrefix(e.what, "answered"):
			if l.far == e.exchange {
				l.far = -1
			}
		}
	}
	for id := range c.callerOf {
		got, l := c.answers.of(id), lives[id]
		left := l != nil && !l.left.IsZero()
		stands, ends := strings.Count(got, "stands"), strings.Count(got, "end ")
		// The release of an established call may be sent again, on another connection, where the first has closed.
		if stands > 1 || !left && (stands == 0 && ends != 1 || stands == 1 && (ends == 0 || strings.HasPrefix(got, "end"))) {
			c.t.Errorf("%s: its caller got %q", id, got)
		}
	}
	if early, after := c.observations.total(&c.observations.earlyRetries), c.observations.total(&c.observations.abandonedAttempts); early+after != 0 { // to the millisecond, at the server
		c.t.Errorf("%d attempts sent again too early, %d for callers who had left", early, after)
	}
	if attempts < 30 || resent == 0 {
		c.t.Errorf("%d attempts, %d of them later ones: that tells little", attempts, resent)
	}
}
