package overload

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	ms     = time.Millisecond
	second = time.Second
)

const latencyThreshold = 500 * ms

// stepSeconds is the duration of a step.
const stepSeconds = 0.01

// A cluster simulates several members, the network between them and a server "s" that they share.
type cluster struct {
	t             testing.TB
	now           Time
	rng           *rand.Rand
	members       []*Member // nil: the member is down
	incarnations  []uint32
	inFlight      []delayedDatagram
	lossRate      float64
	isPartitioned func(a, b int) bool // nil: never
	serverQueue   []pendingAttempt
	serverTokens  float64 // token bucket of the server's capacity
}

// A pendingAttempt is a set-up that is queued at the server.
type pendingAttempt struct {
	member *Member
	sentAt Time
}

// A delayedDatagram is a datagram in transit.
type delayedDatagram struct {
	arrival  Time
	from, to int
	payload  []byte
}

func newCluster(t testing.TB, n int, seed uint64) *cluster {
	c := &cluster{
		t:            t,
		now:          1000 * second,
		rng:          rand.New(rand.NewPCG(seed, 3)),
		members:      make([]*Member, n),
		incarnations: make([]uint32, n),
	}
	for i := range c.members {
		c.start(i)
	}
	return c
}

// start starts or restarts a member.
func (c *cluster) start(i int) {
	c.incarnations[i]++
	m, err := New(c.now, Options{
		Self:             i,
		Controllers:      len(c.members),
		Incarnation:      c.incarnations[i],
		Seed:             uint64(i) + 1000*uint64(c.incarnations[i]),
		LatencyThreshold: latencyThreshold,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.members[i] = m
}

// step advances the clock by 10 ms, delivers datagrams and runs each member. Datagrams are delayed by 5 to 40 ms and
// may be reordered.
func (c *cluster) step(work func(i int, m *Member)) {
	c.now += 10 * ms
	c.deliver()
	for i, m := range c.members {
		if m == nil {
			continue
		}
		if work != nil {
			work(i, m)
		}
		if m.NextDeadline() > c.now {
			continue
		}
		for _, d := range m.Tick(c.now) {
			c.transmit(i, d)
		}
	}
}

// deliver delivers the datagrams that have arrived.
func (c *cluster) deliver() {
	var rest []delayedDatagram
	for _, d := range c.inFlight {
		if d.arrival > c.now {
			rest = append(rest, d)
		} else if m := c.members[d.to]; m != nil {
			_ = m.Receive(c.now, d.from, d.payload) // errors are counted
		}
	}
	c.inFlight = rest
}

// transmit puts a datagram into the network. It may be lost, and one in twenty is duplicated.
func (c *cluster) transmit(from int, d Datagram) {
	if len(d.Payload) > MaxMessageBytes {
		c.t.Fatalf("a message has %d bytes, want at most %d", len(d.Payload), MaxMessageBytes)
	}
	if c.rng.Float64() < c.lossRate || c.isPartitioned != nil && c.isPartitioned(from, d.To) {
		return
	}
	for range 1 + c.rng.IntN(20)/19 {
		arrival := c.now + Time(5+c.rng.IntN(35))*ms
		c.inFlight = append(c.inFlight, delayedDatagram{arrival, from, d.To, d.Payload})
	}
}

// run advances the clock step by step for a duration.
func (c *cluster) run(d Time, work func(i int, m *Member)) {
	for end := c.now + d; c.now < end; {
		c.step(work)
	}
}

// runOverload offers calls to the server, which answers up to its capacity; both are rates per second. It returns the
// rate of set-ups sent in the second half of the duration.
func (c *cluster) runOverload(d Time, offered, capacity float64) (sentRate float64) {
	countFrom := c.now + d/2
	sent := 0
	running := c.running()
	for end := c.now + d; c.now < end; {
		c.step(func(_ int, m *Member) {
			if c.rng.Float64() >= offered*stepSeconds/float64(running) {
				return
			}
			if c.offerCall(m) && c.now > countFrom {
				sent++
			}
		})
		c.serveCalls(capacity)
	}
	return float64(sent) / (d / 2).Seconds()
}

// running returns the number of members that are not down.
func (c *cluster) running() int {
	n := 0
	for _, m := range c.members {
		if m != nil {
			n++
		}
	}
	return n
}

// offerCall offers a call to a member and reports whether a set-up was sent.
func (c *cluster) offerCall(m *Member) bool {
	m.RecordOffered(c.now, "s", 1)
	if reason, _ := m.Throttle(c.now, "s", 1, true); reason != "" {
		return false
	}
	m.RecordSent(c.now, "s", true)
	c.serverQueue = append(c.serverQueue, pendingAttempt{m, c.now})
	return true
}

// serveCalls answers as many calls as the server has capacity for.
func (c *cluster) serveCalls(capacity float64) {
	for c.serverTokens += capacity * stepSeconds; c.serverTokens >= 1 && len(c.serverQueue) > 0; c.serverTokens-- {
		attempt := c.serverQueue[0]
		c.serverQueue = c.serverQueue[1:]
		elapsed := c.now - attempt.sentAt + 60*ms
		attempt.member.RecordResult(c.now, "s", true, elapsed) // has no effect if the member is down
		if elapsed > latencyThreshold {
			attempt.member.RecordOverload(c.now, "s")
		}
	}
	c.serverTokens = min(c.serverTokens, 1)
}

// aggregators returns the selected aggregators with the number of members that selected them. Members that have
// ejected an aggregator as wrong are not counted: when an overload begins or ends, one in a few hundred does so.
func (c *cluster) aggregators() map[int]int {
	selected := make(map[int]int)
	for _, m := range c.members {
		if m == nil {
			continue
		}
		ejections := slices.Collect(maps.Values(m.selection.ejected))
		if !slices.ContainsFunc(ejections, func(e ejection) bool { return e.reason == ejectedAsWrong }) {
			selected[m.selection.aggregator]++
		}
	}
	return selected
}
