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

// Crossings by chance: what callers, exchanges and the list do is drawn from a seed, several things in one turn of the
// loop, and what is owed is checked at the end as exchanges and callers saw it. Times come from the machine: a seed
// repeats what was done, not the moment at which each side reads of it.

// A seen is one thing on the exchanges' side, in the order in which it happened there.
type seen struct {
	at   time.Time
	far  int
	what string // INVITE, CANCEL, BYE, CLOSED; "answered N", "released" by the exchange; "left" by the caller
	id   string
	cseq int
	via  int // the connection to the exchange
}

// A chance is a run.
type chance struct {
	*scene
	rng     *rand.Rand
	log     []seen
	read    []int // so much of what came to each exchange has been taken down
	callers []*jsonCaller
	asked   map[string]int // by id: the caller
	open    []string       // asked for and not left; it may have been answered
	drained int            // the exchange that drains, -1: none
	next    int
	lag     time.Duration // the most there was
}

func (c *chance) note(s seen) {
	if s.at.IsZero() {
		s.at = time.Now()
	}
	c.log = append(c.log, s)
}

// collect takes down what came to the exchanges since.
func (c *chance) collect() {
	for i, f := range c.far {
		f.mu.Lock()
		came, via, when := f.came[c.read[i]:], f.via[c.read[i]:], f.when[c.read[i]:]
		c.read[i] = len(f.came)
		f.mu.Unlock()
		for j, s := range came {
			e := seen{far: i, via: via[j], at: when[j]}
			_, _ = fmt.Sscan(s, &e.what, &e.id, &e.cseq)
			c.note(e)
		}
	}
}

// waiting are the attempts that an exchange has not answered.
func (c *chance) waiting() (all []seen) {
	c.collect()
	for _, e := range c.log {
		switch {
		case e.what == "INVITE":
			all = append(all, e)
		case e.what == "CANCEL" || strings.HasPrefix(e.what, "answered"):
			all = without(all, func(o seen) bool { return o.id == e.id && o.far == e.far })
		case e.what == "CLOSED": // what is open on a connection ends with it
			all = without(all, func(o seen) bool { return o.far == e.far && o.via == e.via })
		}
	}
	return all
}

func without(all []seen, is func(seen) bool) (left []seen) {
	for _, s := range all {
		if !is(s) {
			left = append(left, s)
		}
	}
	return left
}

// stands are the calls that an exchange answered and of which it has heard no end, nor told one. Those whose connection
// ended just after are left out: the answer may be lost on the way, and then nobody else knows of the call.
func (c *chance) stands() (all []seen) {
	c.collect()
	for _, e := range c.log {
		switch {
		case e.what == "answered 200":
			all = append(all, e)
		case e.what == "BYE" || e.what == "released":
			all = without(all, func(o seen) bool { return o.id == e.id && o.far == e.far })
		case e.what == "CLOSED":
			all = without(all, func(o seen) bool { return o.far == e.far && o.via == e.via && e.at.Sub(o.at) < time.Second })
		}
	}
	return all
}

func pick[T any](rng *rand.Rand, all []T) (v T, ok bool) {
	if len(all) == 0 {
		return v, false
	}
	return all[rng.IntN(len(all))], true
}

// callers' side of a step, within a turn.
func (c *chance) caller() {
	switch i := c.rng.IntN(len(c.callers)); c.rng.IntN(5) {
	case 0, 1, 2:
		c.next++
		id := fmt.Sprintf("%016x", c.next)
		c.asked[id] = i
		c.open = append(c.open, id)
		_, _ = c.callers[i].c.Write(start(id, time.Duration(100+c.rng.IntN(2500))*time.Millisecond))
	case 3:
		if id, ok := pick(c.rng, c.open); ok {
			c.left(id)
			if k := c.scene.client(id); k != nil && c.rng.IntN(2) == 0 {
				k.HandleData(line(jsonl.Finish, id))
			} else {
				_, _ = c.callers[c.rng.IntN(len(c.callers))].c.Write(line(jsonl.Finish, id)) // on whatever connection
			}
		}
	default:
		for _, id := range c.open {
			if c.asked[id] == i {
				c.left(id)
			}
		}
		if c.rng.IntN(2) == 0 {
			reset(c.callers[i].c)
		} else {
			c.callers[i].close()
		}
		c.callers[i] = dialJSON(c.t, c.json(), c.h, "cccccccc")
		c.callers[i].send(&jsonl.Message{Verb: jsonl.Finished, Tag: "0"}) // who says nothing is closed after a while
	}
}

func (c *chance) left(id string) {
	for i, o := range c.open {
		if o == id {
			c.open = append(c.open[:i:i], c.open[i+1:]...)
			c.note(seen{far: -1, what: "left", id: id})
			return
		}
	}
}

// exchange is the exchanges' side of a step.
func (c *chance) exchange() {
	switch c.rng.IntN(8) {
	case 0, 1, 2, 3:
		if a, ok := pick(c.rng, c.waiting()); ok {
			status := []int{200, 200, 503, 504, 486}[c.rng.IntN(5)]
			c.note(seen{far: a.far, what: fmt.Sprint("answered ", status), id: a.id, cseq: a.cseq, via: a.via})
			b := response(a.id, "INVITE", status, a.cseq, "x")
			if c.rng.IntN(4) == 0 {
				b = append(b, b...) // twice
			}
			c.far[a.far].mu.Lock()
			conn := c.far[a.far].all[a.via]
			c.far[a.far].mu.Unlock()
			_, _ = conn.Write(b)
		}
	case 4, 5:
		if a, ok := pick(c.rng, c.stands()); ok {
			c.note(seen{far: a.far, what: "released", id: a.id})
			c.far[a.far].send(finish(a.id, 16))
		}
	case 6:
		reset(c.far[c.rng.IntN(len(c.far))].connected())
	default:
		if c.drained++; c.drained == len(c.far) {
			c.drained = -1
		}
		var lines []nameLine
		for i, f := range c.far {
			lines = append(lines, nameLine{id: fmt.Sprint("s-", i), addr: f.addr(), cell: i, draining: i == c.drained})
		}
		c.names.set(lines...)
	}
}

func TestCrossingsByChance(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { t.Parallel(); crossByChance(t, seed) })
	}
}

func crossByChance(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 5))
	module := &fixed{wait: guard}
	for range 20_000 {
		module.servers = append(module.servers, fmt.Sprint("s-", rng.IntN(3)))
	}
	far := []*far{startFar(t, "127.0.0.1:0"), startFar(t, "127.0.0.1:0"), startFar(t, "127.0.0.1:0")}
	x := startScene(t, far, module)
	c := &chance{scene: x, rng: rng, read: make([]int, len(far)), asked: make(map[string]int), drained: -1}
	for range 4 {
		c.callers = append(c.callers, x.dial("cccccccc"))
	}
	for range 250 {
		x.turn(func() {
			for range 1 + rng.IntN(3) {
				if rng.IntN(2) == 0 {
					c.caller()
				} else {
					c.exchange()
				}
			}
		})
		for range rng.IntN(3) {
			x.turn(func() {}) // what has come is read
		}
		c.lag = max(c.lag, lag())
		if rng.IntN(8) == 0 {
			time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond) // guards and time-outs pass
		}
	}
	// Everything comes to its end: calls that stand are released by whoever can.
	quit, left := x.dial("dddddddd"), ""
	defer func() {
		if left != "" {
			t.Log(left)
		}
	}()
	eventually(t, "every call is over", func() bool {
		for _, id := range slices.Clone(c.open) {
			if got := x.h.of(id); strings.HasPrefix(got, "stands") && !strings.Contains(got, "end") {
				quit.hangUp(id)
				c.left(id)
			}
		}
		for _, e := range c.log { // and by their exchanges, again, since a release may be lost with its connection
			if e.what == "answered 200" && rng.IntN(10) == 0 {
				c.note(seen{far: e.far, what: "released", id: e.id})
				c.far[e.far].send(finish(e.id, 16))
			}
		}
		open, standing := 0, 0
		x.turn(func() { open, standing = x.n.calls.OpenCalls(), x.n.calls.EstablishedCalls() })
		left = fmt.Sprintf("%d open, %d standing, %v stand at exchanges", open, standing, c.stands())
		return open == 0 && standing == 0 && len(c.stands()) == 0
	})
	left = ""
	x.settled()
	for _, k := range append(c.callers, quit) { // what is on its way to a caller comes before the echo
		n := len(strings.Fields(x.h.of("echo")))
		k.send(&jsonl.Message{Verb: jsonl.Echo, Tag: "t"})
		x.h.wait(t, "echo", n+1)
	}
	c.check()
}

// check looks at all that was seen.
func (c *chance) check() {
	c.collect()
	slices.SortStableFunc(c.log, func(a, b seen) int { return a.at.Compare(b.at) })
	type life struct {
		far  int // where an attempt is out, -1: none
		via  int
		cseq int
		left time.Time
		ends time.Time // when the latest attempt that may have run ended
	}
	lives := make(map[string]*life)
	attempts, resent := 0, 0
	for _, e := range c.log {
		if e.what == "CLOSED" {
			for _, l := range lives {
				if l.far == e.far && l.via == e.via {
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
			if l.far >= 0 && c.lag < guard { // else a CANCEL may be read after the next attempt
				c.t.Errorf("%s: attempt %d at s-%d while %d is out at s-%d", e.id, e.cseq, e.far, l.cseq, l.far)
			}
			if !l.left.IsZero() && e.at.Sub(l.left) > 300*time.Millisecond+c.lag {
				c.t.Errorf("%s: sent on %v after its caller had left", e.id, e.at.Sub(l.left))
			}
			if !l.ends.IsZero() && e.at.Sub(l.ends) < guard-c.lag {
				c.t.Errorf("%s: sent again %v after an attempt that may have run", e.id, e.at.Sub(l.ends))
			}
			l.far, l.via, l.cseq, l.ends = e.far, e.via, e.cseq, time.Time{}
		case e.what == "CANCEL" || e.what == "answered 504":
			if l.far == e.far {
				l.far, l.ends = -1, e.at
			}
		case strings.HasPrefix(e.what, "answered"):
			if l.far == e.far {
				l.far = -1
			}
		}
	}
	for id := range c.asked {
		got, l := c.h.of(id), lives[id]
		left := l != nil && !l.left.IsZero()
		stands, ends := strings.Count(got, "stands"), strings.Count(got, "end ")
		// The end of a call that stood may be told again, on another connection, where the first has closed.
		if stands > 1 || !left && (stands == 0 && ends != 1 || stands == 1 && (ends == 0 || strings.HasPrefix(got, "end"))) {
			c.t.Errorf("%s: its caller heard %q", id, got)
		}
	}
	if early, after := c.r.total(&c.r.early), c.r.total(&c.r.after); early+after != 0 { // to the millisecond, at the node
		c.t.Errorf("%d attempts sent again too early, %d for callers who had left", early, after)
	}
	if attempts < 30 || resent == 0 {
		c.t.Errorf("%d attempts, %d of them later ones: that tells little", attempts, resent)
	}
}
