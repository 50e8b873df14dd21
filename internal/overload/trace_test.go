package overload_test

import (
	"crypto/sha256"
	"fmt"
	"hash"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"olivedale/internal/admission"
	"olivedale/internal/goldentest"
	"olivedale/internal/overload"
)

const (
	traceStep             = 10 * time.Millisecond
	traceDuration         = 150 * time.Second
	traceLatencyThreshold = 500 * time.Millisecond
	tracePriorities       = 4
)

// A traceServer is a simulated server that answers capacity set-ups per second.
type traceServer struct {
	id       string
	capacity float64
	tokens   float64
	queue    []traceAttempt
}

// A traceAttempt is a set-up that is queued at a traceServer.
type traceAttempt struct {
	member int
	sentAt time.Duration
}

// A traceDatagram is a datagram in transit.
type traceDatagram struct {
	arrival  time.Duration
	from, to int
	payload  []byte
}

// A traceRun drives several members through a scripted overload and hashes everything that they send and decide.
type traceRun struct {
	t              *testing.T
	now            time.Duration
	rng            *rand.Rand
	digest         hash.Hash
	members        []*overload.Member // nil: the member is down
	incarnation    []uint32
	clockOffset    []time.Duration
	servers        []traceServer
	inFlight       []traceDatagram
	forgedSequence uint32
	datagrams      int
	decisions      int
	totals         overload.Counters
}

func newTraceRun(t *testing.T, seed uint64) *traceRun {
	n := 4 + int(seed%5)
	r := &traceRun{
		t:           t,
		now:         1000 * time.Second,
		rng:         rand.New(rand.NewPCG(seed, 77)),
		digest:      sha256.New(),
		members:     make([]*overload.Member, n),
		incarnation: make([]uint32, n),
		clockOffset: make([]time.Duration, n),
	}
	for i := range 6 {
		r.servers = append(r.servers, traceServer{id: fmt.Sprintf("server-%d", i), capacity: 5 + 3*float64(i)})
	}
	for i := range n {
		r.clockOffset[i] = time.Duration(r.rng.IntN(5000)) * time.Millisecond
		r.start(i)
	}
	return r
}

func (r *traceRun) start(i int) {
	r.incarnation[i]++
	m, err := overload.New(r.clock(i), overload.Options{
		Self:             i,
		Controllers:      len(r.members),
		Incarnation:      r.incarnation[i],
		Seed:             uint64(100*i) + uint64(r.incarnation[i]),
		LatencyThreshold: traceLatencyThreshold,
		AggregatorTerm:   17 * time.Second,
	})
	if err != nil {
		r.t.Fatal(err)
	}
	r.members[i] = m
}

func (r *traceRun) stop(i int) {
	c := r.members[i].State(r.clock(i)).Counters
	r.totals.Throttled += c.Throttled
	r.totals.Admitted += c.Admitted
	r.totals.Malformed += c.Malformed
	r.totals.Misattributed += c.Misattributed
	r.totals.Stale += c.Stale
	r.totals.AggregatorChanges += c.AggregatorChanges
	r.totals.AggregatorsUnresponsive += c.AggregatorsUnresponsive
	r.totals.AggregatorsEjected += c.AggregatorsEjected
	r.members[i] = nil
}

// clock returns the reading of a member's own clock.
func (r *traceRun) clock(i int) time.Duration { return r.now + r.clockOffset[i] }

func (r *traceRun) record(values ...any) { _, _ = fmt.Fprintln(r.digest, values...) }

// elapsed returns the time since the run began.
func (r *traceRun) elapsed() time.Duration { return r.now - 1000*time.Second }

// isBetween reports whether the elapsed time in seconds is in [from, to).
func (r *traceRun) isBetween(from, to int) bool {
	return r.elapsed() >= time.Duration(from)*time.Second && r.elapsed() < time.Duration(to)*time.Second
}

// isPartitioned reports whether a partition now separates two members.
func (r *traceRun) isPartitioned(a, b int) bool { return r.isBetween(45, 62) && a%2 != b%2 }

// offeredRate returns the rate of calls per second that all members together offer now.
func (r *traceRun) offeredRate() float64 {
	switch {
	case r.isBetween(10, 40), r.isBetween(70, 100):
		return 160
	case r.isBetween(110, 120):
		return 0
	}
	return 50
}

func (r *traceRun) offerCalls() {
	for i, m := range r.members {
		if m == nil || r.rng.Float64() >= r.offeredRate()*traceStep.Seconds()/float64(len(r.members)) {
			continue
		}
		priority := admission.Priority(r.rng.IntN(tracePriorities + 1))
		first := r.rng.IntN(len(r.servers)) * r.rng.IntN(2)
		m.RecordOffered(r.clock(i), r.servers[first].id, priority)
		for choice := range 3 {
			s := &r.servers[(first+choice)%len(r.servers)]
			reason, limited := m.Throttle(r.clock(i), s.id, priority, choice == 0)
			r.decisions++
			r.record("throttle", r.now, i, s.id, priority, choice, string(reason), limited)
			if reason != "" {
				continue
			}
			m.RecordSent(r.clock(i), s.id, choice == 0)
			s.queue = append(s.queue, traceAttempt{i, r.now})
			break
		}
	}
}

func (r *traceRun) serveCalls() {
	for k := range r.servers {
		s := &r.servers[k]
		if k == 2 && r.isBetween(74, 84) {
			continue // the server does not respond
		}
		s.tokens += s.capacity * traceStep.Seconds()
		for ; s.tokens >= 1 && len(s.queue) > 0; s.tokens-- {
			attempt := s.queue[0]
			s.queue = s.queue[1:]
			m := r.members[attempt.member]
			if m == nil {
				continue
			}
			setupTime := r.now - attempt.sentAt + 60*time.Millisecond
			answered := r.rng.IntN(12) > 0
			measured := setupTime + time.Duration(r.rng.IntN(20)/19)*time.Millisecond
			m.RecordResult(r.clock(attempt.member), s.id, answered, measured)
			if setupTime > traceLatencyThreshold {
				m.RecordOverload(r.clock(attempt.member), s.id)
			}
		}
		s.tokens = min(s.tokens, 1)
	}
}

// send puts a datagram into the network: some are lost, duplicated or corrupted.
func (r *traceRun) send(from, to int, payload []byte) {
	r.datagrams++
	r.record("datagram", r.now, from, to, payload)
	if r.rng.Float64() < 0.1 || r.isPartitioned(from, to) {
		return
	}
	if r.rng.IntN(200) == 0 {
		payload = slices.Clone(payload)
		payload[r.rng.IntN(len(payload))] ^= 1 << r.rng.IntN(8)
	}
	for range 1 + r.rng.IntN(20)/19 {
		arrival := r.now + time.Duration(5+r.rng.IntN(35))*time.Millisecond
		r.inFlight = append(r.inFlight, traceDatagram{arrival, from, to, payload})
	}
}

func (r *traceRun) deliver() {
	var rest []traceDatagram
	for _, d := range r.inFlight {
		if d.arrival > r.now {
			rest = append(rest, d)
			continue
		}
		m := r.members[d.to]
		if m == nil {
			continue
		}
		err := m.Receive(r.clock(d.to), d.from, d.payload)
		r.record("received", r.now, d.from, d.to, err == nil)
	}
	r.inFlight = rest
}

// sendForged sends limit updates, load reports and membership digests with false values that claim the last member as
// their sender.
func (r *traceRun) sendForged() {
	claimedSender := len(r.members) - 1
	if !r.isBetween(30, 36) && !r.isBetween(88, 96) || r.elapsed()%(500*time.Millisecond) != 0 {
		return
	}
	r.forgedSequence++
	header := func(kind byte) []byte {
		b := []byte{1<<4 | kind}
		b = protowire.AppendVarint(b, uint64(claimedSender))
		b = protowire.AppendVarint(b, 90)
		return protowire.AppendVarint(b, uint64(r.forgedSequence))
	}
	for to := range claimedSender {
		update := protowire.AppendVarint(header(2), uint64(len(r.members)))
		report := protowire.AppendVarint(header(1), 50<<1|1)
		for _, s := range r.servers {
			key := overload.ServerKey(s.id)
			id := []byte{byte(key >> 16), byte(key >> 8), byte(key)}
			update = append(append(update, id...), 2, 128, 200)
			update = protowire.AppendVarint(update, 3000)
			report = append(append(report, id...), 1<<1|1<<6|1<<7)
			report = protowire.AppendVarint(report, 900)
			report = protowire.AppendVarint(report, 4000)
		}
		r.send(claimedSender, to, update)
		r.send(claimedSender, to, report)
		digest := protowire.AppendVarint(header(3), 1)
		digest = protowire.AppendVarint(digest, uint64(len(r.members)))
		r.send(claimedSender, to, append(digest, 0x55))
	}
}

// script applies faults to members at fixed times: stops, restarts, clock jumps and a flood of servers.
func (r *traceRun) script() {
	at := func(second int) bool { return r.elapsed() == time.Duration(second)*time.Second }
	switch {
	case at(20):
		stopped := 0
		for _, m := range r.members {
			stopped = m.Aggregator()
		}
		r.stop(stopped)
	case at(66):
		for i, m := range r.members {
			if m == nil {
				r.start(i)
			}
		}
	case at(78):
		r.clockOffset[1] += 5 * time.Second // its clock jumps as if it had been suspended
	case at(104):
		r.incarnation[1] -= min(r.incarnation[1], 3) // its clock was set back
		r.stop(1)
		r.start(1)
	}
	if r.isBetween(80, 82) && r.members[0] != nil {
		id := fmt.Sprintf("transient-%d", r.elapsed()/traceStep)
		r.members[0].RecordOffered(r.clock(0), id, 1)
	}
}

func (r *traceRun) tick() {
	for i, m := range r.members {
		if m == nil {
			continue
		}
		next := m.NextDeadline()
		r.record("deadline", i, next)
		if next > r.clock(i) {
			continue
		}
		for _, d := range m.Tick(r.clock(i)) {
			r.send(i, d.To, d.Payload)
		}
		r.record("aggregator", i, m.Aggregator())
	}
	if r.elapsed()%time.Second != 0 {
		return
	}
	for i, m := range r.members {
		if m != nil {
			_, _ = fmt.Fprintf(r.digest, "state %d %v\n", i, *m.State(r.clock(i)))
		}
	}
}

// Members send the same datagrams and make the same decisions as when the committed hashes were recorded.
func TestTraceIsUnchanged(t *testing.T) {
	var lines strings.Builder
	for seed := range uint64(8) {
		r := newTraceRun(t, seed)
		for r.elapsed() < traceDuration {
			r.now += traceStep
			r.script()
			r.deliver()
			r.offerCalls()
			r.serveCalls()
			r.sendForged()
			r.tick()
		}
		for i, m := range r.members {
			if m != nil {
				r.stop(i)
			}
		}
		_, _ = fmt.Fprintf(&lines, "seed %d: %d members, %d datagrams, %d decisions, %d throttled, %d admitted, "+
			"%d malformed, %d misattributed, %d stale, %d aggregator changes, %d unresponsive, %d ejected, sha256 %x\n",
			seed, len(r.members), r.datagrams, r.decisions, r.totals.Throttled, r.totals.Admitted,
			r.totals.Malformed, r.totals.Misattributed, r.totals.Stale, r.totals.AggregatorChanges,
			r.totals.AggregatorsUnresponsive, r.totals.AggregatorsEjected, r.digest.Sum(nil))
	}
	goldentest.CompareFile(t, "testdata/golden/trace.txt", []byte(lines.String()))
}

// Recording and throttling allocate nothing for a known server.
func TestRecordingDoesNotAllocate(t *testing.T) {
	now := 100 * time.Second
	m, err := overload.New(now, overload.Options{Controllers: 3, LatencyThreshold: traceLatencyThreshold})
	if err != nil {
		t.Fatal(err)
	}
	allocations := testing.AllocsPerRun(1000, func() {
		now += time.Millisecond
		m.RecordOffered(now, "server", 1)
		m.Throttle(now, "server", 1, true)
		m.RecordSent(now, "server", true)
		now += time.Millisecond
		m.RecordResult(now, "server", true, time.Millisecond)
		m.RecordOverload(now, "server")
	})
	if allocations != 0 {
		t.Errorf("%v allocations per call, want none", allocations)
	}
}
