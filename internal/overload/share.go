// Package share is what call controllers know and do together. Each tells what it sees of the servers to one
// of them, its teller, which sums up, settles how much the fleet may send to each server, and tells all who
// report to it by what chance a call is to be held back; each draws by that chance. Nobody is elected: a
// controller reports to the live one that rendezvous hashing names, and obeys that one only.
//
// The package owns who is there, the sums and the chances. It has no socket and no clock: what is heard, what
// the module does and the Time come in, datagrams go out. It never opens a server that the module would not
// send to by its own list and evidence: it is asked after those.
package overload

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"olivedale/internal/admission"
)

// A Time is a reading of the controller's own clock. Clocks of controllers need not agree.
type Time = time.Duration

const (
	ms     = time.Millisecond
	second = time.Second
)

// Options of a Member.
type Options struct {
	Self, Peers       int    // number of this controller, and how many numbers there are; at most 1600
	Incarnation       uint32 // greater at each start, as the seconds of the clock are
	Seed              uint64 // of chance
	LatencyThreshold  Time   // what the module takes for late
	ReportInterval    Time   // between reports while anything is pressed; 0: as Peers ask for, 500 ms up to 300
	HeartbeatInterval Time   // between reports while all is calm; 0: 10 s
	AggregatorTerm    Time   // a teller keeps its part for so long; 0: 2 min
}

// Check fills in the defaults and tells what is wrong.
func (o *Options) Check() error {
	switch {
	case o.Peers < 1 || o.Peers > mostPeers:
		return fmt.Errorf("share: %d controllers, 1 to %d can share", o.Peers, mostPeers)
	case o.Self < 0 || o.Self >= o.Peers:
		return fmt.Errorf("share: number %d of %d controllers", o.Self, o.Peers)
	case o.LatencyThreshold <= 0 || min(o.ReportInterval, o.HeartbeatInterval, o.AggregatorTerm) < 0:
		return errors.New("share: a time is nought or negative")
	}
	o.ReportInterval = cmp.Or(o.ReportInterval, max(500*ms, 500*ms*Time(o.Peers)/600))
	o.HeartbeatInterval = cmp.Or(o.HeartbeatInterval, 10*second)
	o.AggregatorTerm = cmp.Or(o.AggregatorTerm, 2*time.Minute)
	return nil
}

// A Datagram is a datagram to another controller.
type Datagram struct {
	To      int
	Payload []byte
}

// Bounds and times of a Member.
const (
	mostServers = 64          // of which a controller tells
	leastWord   = 2000 * ms   // a word holds for so long at least, and for four periods
	waitTeller  = 6           // reports without a word after which the next is asked: where three in ten get lost one run in 1,400 is so long
	shunFor     = 30 * second // a teller that was silent or wrong is passed over for so long
	asleep      = 2000 * ms   // a controller that stood still for longer forgets what it had counted
	atOnce      = 64          // datagrams that leave together
	spread      = 10 * ms     // between such
	compareFor  = 1000 * ms   // an answer is compared with a word that comes so much later at most
	tooMuch     = 4.0         // doubt: eight answers that are off by little, or two that are off by far, more than fit
	trusted     = 3           // answers that fit a teller's words before it may hold back more than
	untried     = 0.8         // this
	ratio       = 4           // between what a word tells of a wait and one's own
	waitFresh   = 2500 * ms   // an answer tells of the wait for so long
	keepServer  = 60 * second // a server nothing is sent to is forgotten
	mostPassed  = 8           // of those before the teller that are asked whether they are there
	retryAll    = 4           // slots after which nobody is held for gone any more
	never       = Time(1 << 62)
)

// A view is what this controller sees of a server, and what it was told.
type view struct {
	sight
	server   string
	pending  []Time // when the set-ups without an answer were sent, at most 16 of them
	wait     Time   // smoothed, of its answers; 0: none of late
	waitAt   Time
	took     Time // of the latest answer, which came then and was compared with a word, or not yet
	tookAt   Time
	compared bool
	used     Time
	term     term
	until    Time // the term holds
	held     int  // calls held back by it
}

// Counters count what a Member did.
type Counters struct {
	Sent                    int `json:"Said"`
	SentBytes               int `json:"SaidBytes"`
	Received                int `json:"Heard"`
	ReceivedBytes           int `json:"HeardBytes"`
	Malformed               int `json:"Unread"` // could not be read; from whom they may not come; overtaken
	Misattributed           int `json:"Alien"`
	Stale                   int
	Throttled               int `json:"Held"` // calls that a word held back, and let go
	Admitted                int `json:"Passed"`
	AggregatorChanges       int `json:"Tellers"` // changes of teller; because it was silent; because it was wrong
	AggregatorsUnresponsive int `json:"Silent"`
	AggregatorsEjected      int `json:"Wrong"`
}

// A Member is a controller's part. It is not safe for concurrent use.
type Member struct {
	Counters
	o       Options
	rng     *rand.Rand
	views   map[string]*view
	byKey   map[uint32]*view
	now     Time
	counted Time // the span of the next report began
	reportAt,
	tellAt, rollAt Time
	seq     uint32
	hot     Time // own evidence of pressure came last; 0: never
	asked   Time // a teller last wanted reports often; 0: never
	wordAt  Time // the latest word came
	wordSeq uint32
	terms   []term // of the latest word
	termsTo Time   // they hold until then
	wordOf  uint32 // boot of the teller it came from
	since   Time   // reports go to this teller since
	owed    int    // reports it has had without a word
	shunned map[int]shunned
	passed  []int // those that rendezvous hashing names before the teller: they are asked now and then whether they are there
	knockAt Time
	ringOf  int64   // slot that the teller was chosen for
	at      int     // the teller
	fits    int     // answers that fit the teller's words
	doubt   float64 // of the teller's words, by one's own answers
	present []byte  // by the latest roll; nil: all
	live    int
	of      int // controllers there were at most, by the latest roll
	teller  *teller
	out     []Datagram
	outAt   Time
}

// New makes a Member of a controller that has just started.
func New(now Time, o Options) (*Member, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	m := &Member{o: o, rng: rand.New(rand.NewPCG(o.Seed, 5)), views: make(map[string]*view), byKey: make(map[uint32]*view), now: now, counted: now,
		shunned: make(map[int]shunned), teller: newTeller(o.Peers, o.LatencyThreshold, o.HeartbeatInterval, o.ReportInterval), live: o.Peers, ringOf: -1, since: now}
	m.teller.ran = now
	// Guards against a fleet that starts together and then always speaks together.
	m.reportAt = now + Time(m.rng.Float64()*float64(o.HeartbeatInterval)/4)
	m.tellAt, m.rollAt = now+Time(m.rng.Float64()*float64(o.ReportInterval)), now+Time(m.rng.Float64()*float64(o.HeartbeatInterval))
	m.choose()
	return m, nil
}

// ServerKey is by what a server is named between controllers.
func ServerKey(server string) uint32 { return uint32(xxhash.Sum64String(server) & 0xffffff) }

// view is what is seen of a server; nil: there are too many.
func (m *Member) view(server string) *view {
	v := m.views[server]
	if v == nil {
		if len(m.views) >= mostServers {
			for name, o := range m.views { // guards memory against servers that come and go
				if len(o.pending) == 0 && m.now-o.used > keepServer {
					delete(m.views, name)
					delete(m.byKey, o.key)
				}
			}
			if len(m.views) >= mostServers {
				return nil
			}
		}
		v = &view{server: server, sight: sight{key: ServerKey(server)}}
		if m.byKey[v.key] != nil {
			return nil // guards against two servers under one name: the second goes untold
		}
		m.views[server], m.byKey[v.key] = v, v
		// A word may have told of it before: where calls are few, most servers are met for the first time in a jam.
		if i := slices.IndexFunc(m.terms, func(t term) bool { return t.key == v.key }); i >= 0 {
			v.term, v.until = m.terms[i], m.termsTo
		}
	}
	v.used = m.now
	return v
}

// RecordOffered implements admission.Fleet.
func (m *Member) RecordOffered(now Time, server string, tier int) {
	m.pass(now)
	if v := m.view(server); v != nil && tier >= 0 && tier < tiers {
		v.off[tier]++
	}
}

// RecordSent implements admission.Fleet.
func (m *Member) RecordSent(now Time, server string, first bool) {
	m.pass(now)
	if v := m.view(server); v != nil {
		if !first {
			v.over++
		}
		if len(v.pending) < 16 {
			v.pending = append(v.pending, now)
		}
	}
}

// RecordResult implements admission.Fleet.
func (m *Member) RecordResult(now Time, server string, stood bool, took Time) {
	m.pass(now)
	v := m.view(server)
	if v == nil {
		return
	}
	if i := slices.Index(v.pending, now-took); i >= 0 {
		v.pending = slices.Delete(v.pending, i, i+1)
	} else if len(v.pending) > 0 {
		v.pending = v.pending[1:] // the host measures took by a clock of its own
	}
	if !stood {
		return
	}
	v.done++
	if v.wait == 0 || now-v.waitAt > waitFresh {
		v.wait = took
	} else {
		v.wait += (took - v.wait) / 2
	}
	v.waitAt = now
	v.took, v.tookAt, v.compared = took, now, false
	m.compare(now, v)
}

// RecordOverload implements admission.Fleet.
func (m *Member) RecordOverload(now Time, server string) {
	m.pass(now)
	if v := m.view(server); v != nil {
		v.pressed = true
	}
	if m.o.Peers > 1 && !m.often(now) {
		m.reportAt = min(m.reportAt, now) // the first sign is told at once
	}
	m.hot = now
}

// Throttle implements admission.Fleet.
func (m *Member) Throttle(now Time, server string, tier int, first bool) (holds admission.Reason, told bool) {
	m.pass(now)
	v := m.view(server)
	if v == nil || now >= v.until {
		return "", false
	}
	part := float64(v.term.over) / 255
	if first && tier >= 0 && tier < tiers {
		part = v.term.holds()[tier]
	}
	// A word that holds nothing back of a call says nothing of a server that it does not hold to be pressed.
	if first && v.term.tier == 0 && v.term.part == 0 && !v.term.presses(m.o.LatencyThreshold) {
		return "", false
	}
	if (m.fits < trusted || m.doubt > 0) && m.at != m.o.Self {
		// Guards against a liar that has all held back: then no answer would come that tells.
		part = min(part, untried)
	}
	if m.rng.Float64() < part {
		m.Throttled++
		v.held++
		return admission.ReasonFleetThrottle, true
	}
	m.Admitted++
	return "", true
}

// presses tells whether a term claims that calls wait there.
func (t *term) presses(late Time) bool { return Time(t.wait)*waitUnit > Time(target/2*float64(late)) }

// pass moves the clock. A controller that stood still has figures that nobody can use.
func (m *Member) pass(now Time) {
	if now-m.now > asleep {
		m.counted = now
		for _, v := range m.views {
			v.off, v.over, v.done, v.wait, v.pressed, v.until = [tiers]int{}, 0, 0, 0, false, 0
		}
		m.owed, m.hot, m.asked, m.terms = 0, 0, 0, nil
	}
	m.now = max(m.now, now)
}

// compare holds a word against an answer of one's own that came just now. A teller whose words do not fit what
// this controller sees, more than they do, is wrong or lies, and is passed over; whatever it said no longer
// counts. A claim that is further off counts for more: who says that all wait for half a minute where calls
// stand at once is found out by two or three answers.
func (m *Member) compare(now Time, v *view) {
	if v.compared || now >= v.until || m.at == m.o.Self || now-v.tookAt > compareFor {
		return
	}
	v.compared = true
	claim, took := float64(Time(v.term.wait)*waitUnit), float64(v.took)
	floor := float64(m.o.LatencyThreshold) / 8
	off := math.Abs(math.Log(max(claim, floor)/max(took, floor))) / math.Log(ratio)
	if off <= 1 {
		m.doubt = max(m.doubt-1, 0)
		m.fits++
		return
	}
	if m.doubt += min(off, 4) / 2; m.doubt >= tooMuch {
		m.AggregatorsEjected++
		m.shun(now, true)
	}
}

// A shunned teller is passed over until a time, or until it speaks again unless it was wrong.
type shunned struct {
	until Time
	wrong bool
}

// shun passes over the teller, and forgets what it said.
func (m *Member) shun(now Time, wrong bool) {
	if len(m.shunned) >= m.o.Peers/2 { // guards against a controller that is cut off: it would shun all
		clear(m.shunned)
	}
	m.shunned[m.at] = shunned{now + shunFor, wrong}
	m.terms = nil
	for _, v := range m.views {
		v.until = 0
	}
	m.ringOf = -1
	m.choose()
}

// wordFor is how long a word holds: some may get lost.
func (m *Member) wordFor() Time { return max(leastWord, 4*m.o.ReportInterval) }

// Aggregator is whom this controller reports to and obeys.
func (m *Member) Aggregator() int { return m.at }

// ranks are the numbers of n controllers in the order in which they are to be the teller of a slot: rendezvous
// hashing (Thaler and Ravishankar 1998). The registry's go-rendezvous tells the first only, and its Remove leaves
// the index of the name that it moves as it was.
func ranks(slot int64, n int) []int {
	all, weight := make([]int, n), make([]uint64, n)
	b := binary.LittleEndian.AppendUint64(make([]byte, 0, 16), uint64(slot))
	for i := range all {
		all[i], weight[i] = i, xxhash.Sum64(binary.LittleEndian.AppendUint64(b, uint64(i)))
	}
	slices.SortFunc(all, func(i, j int) int { return cmp.Compare(weight[j], weight[i]) })
	return all
}

// choose names the teller of this slot: the first by rendezvous hashing of those that are not gone or passed
// over.
func (m *Member) choose() {
	slot := int64(m.now / m.o.AggregatorTerm)
	for i, s := range m.shunned {
		if m.now >= s.until {
			delete(m.shunned, i)
			m.ringOf = -1
		}
	}
	if slot == m.ringOf {
		return
	}
	if m.ringOf = slot; slot%retryAll == 0 {
		m.present = nil // those held for gone may be there and hold this one for gone: all are tried again
	}
	was := m.at
	m.passed = m.passed[:0]
	for _, m.at = range ranks(slot, m.o.Peers) {
		s, shunned := m.shunned[m.at]
		if m.at == m.o.Self || !shunned && (m.present == nil || has(m.present, m.at)) {
			break
		}
		if !s.wrong && len(m.passed) < mostPassed {
			m.passed = append(m.passed, m.at)
		}
	}
	if m.at != was {
		m.AggregatorChanges++
		m.owed, m.doubt, m.fits, m.wordSeq, m.wordOf, m.since = 0, 0, 0, 0, 0, m.now
	}
}

// often tells whether reports are to be sent each period.
func (m *Member) often(now Time) bool {
	return m.hot > 0 && now-m.hot < coolDown || m.asked > 0 && now-m.asked < m.wordFor()
}

// Tick does what is due and returns what is to be sent.
func (m *Member) Tick(now Time) []Datagram {
	if m.o.Peers == 1 {
		return nil
	}
	m.pass(now)
	m.choose()
	if now >= m.reportAt {
		m.report(now)
	}
	if now >= m.tellAt {
		m.tellAt = now + m.o.ReportInterval
		m.tell(now)
	}
	if now >= m.rollAt {
		m.rollAt = now + m.o.HeartbeatInterval
		m.call(now)
	}
	if len(m.out) == 0 || now < m.outAt {
		return nil
	}
	n := min(len(m.out), atOnce)
	sent := m.out[:n:n]
	m.out, m.outAt = m.out[n:], now+spread
	for _, p := range sent {
		m.Sent++
		m.SentBytes += len(p.Payload)
	}
	return sent
}

// NextDeadline is when Tick is due.
func (m *Member) NextDeadline() Time {
	if m.o.Peers == 1 {
		return never
	}
	next := min(m.reportAt, m.rollAt, m.now+asleep/2) // else it would take a quiet time for one in which it stood still
	if m.teller.reporting(m.now) {
		next = min(next, m.tellAt)
	}
	if len(m.out) > 0 {
		next = min(next, m.outAt)
	}
	return next
}

// post queues a message.
func (m *Member) post(to int, b []byte) {
	if len(m.out) >= 2*m.o.Peers+16 {
		return // guards memory where nothing leaves; what is said is soon old
	}
	m.out = append(m.out, Datagram{to, b})
}

// report tells the teller what was seen.
func (m *Member) report(now Time) {
	often := m.often(now)
	gap := m.o.HeartbeatInterval
	if often {
		gap = m.o.ReportInterval
	}
	// Even where all began at once, reports come evenly: each draws a little.
	m.reportAt = now + gap*9/10 + Time(m.rng.Float64()*float64(gap)/5)
	if m.at != m.o.Self {
		if m.owed++; m.owed > waitTeller {
			m.AggregatorsUnresponsive++
			m.shun(now, false)
			m.owed = 1
		}
	}
	m.seq++
	r := &report{head: head{kind: kindReport, from: m.o.Self, boot: m.o.Incarnation, seq: m.seq}, span: min(int((now-m.counted)/waitUnit), mostWait),
		hot: m.hot > 0 && now-m.hot < coolDown}
	m.counted = now
	for _, v := range m.views {
		x := v.sight
		if v.wait > 0 && now-v.waitAt < waitFresh {
			x.wait = int(v.wait / waitUnit)
		}
		if len(v.pending) > 0 {
			x.wait = max(x.wait, int((now-v.pending[0])/waitUnit))
		}
		x.wait = min(x.wait, mostWait)
		if busy := x.off != [tiers]int{} || x.over > 0 || x.done > 0 || x.wait > 0; busy {
			r.sights = append(r.sights, x)
		}
		v.off, v.over, v.done, v.pressed = [tiers]int{}, 0, 0, false
	}
	// What matters most comes first, in an order that does not hang on the map's.
	slices.SortFunc(r.sights, func(a, b sight) int {
		return cmp.Or(cmp.Compare(b.wait, a.wait), cmp.Compare(a.key, b.key))
	})
	if m.at == m.o.Self {
		m.teller.hear(now, r)
	} else {
		m.post(m.at, r.append(nil))
	}
	if len(m.passed) > 0 && now >= m.knockAt {
		// One before the teller may be there after all, as after a cut. It is told nothing, so that no sum has this
		// controller twice; if it answers it is obeyed again, and all come to obey the same.
		m.knockAt = now + m.o.HeartbeatInterval
		r.sights, r.hot = nil, false
		m.post(m.passed[m.rng.IntN(len(m.passed))], r.append(nil))
	}
}

// back notes that one spoke that was passed over.
func (m *Member) back(from int) {
	if !slices.Contains(m.passed, from) {
		return
	}
	delete(m.shunned, from)
	if m.present != nil {
		m.present[from/8] |= 1 << (from % 8)
	}
	m.ringOf = -1
	m.choose()
}

// tell makes the sums and tells those who report.
func (m *Member) tell(now Time) {
	t := m.teller
	if !t.reporting(now) {
		return
	}
	t.count(now)
	live, _ := estimate(t.peers, now, m.o.HeartbeatInterval)
	t.most = max(t.most, int(live+0.5))
	t.period++
	w := word{head: head{kind: kindWord, from: m.o.Self, boot: m.o.Incarnation, seq: t.period}, live: min(int(live+0.5), mostPeers), terms: t.terms()}
	b := w.append(nil)
	all := now-t.called >= callIn
	if all {
		t.called = now
	}
	for i := range t.peers {
		p := &t.peers[i]
		// Those who report often are told each time; the others now and then, so that they begin to.
		if i == m.o.Self || p.heard == 0 || p.presence(now, m.o.HeartbeatInterval) == Dead || now-p.heard > t.freshFor && !all {
			continue
		}
		m.post(i, b)
	}
	if m.at == m.o.Self {
		m.obey(now, &w)
	}
}

// call tells who is there to those who reported within the last beats.
func (m *Member) call(now Time) {
	t := m.teller
	live, _ := estimate(t.peers, now, m.o.HeartbeatInterval)
	if live < 1 {
		return
	}
	t.most = max(t.most*15/16, int(live+0.5))
	r := roll{head: head{kind: kindRoll, from: m.o.Self, boot: m.o.Incarnation, seq: t.period}, live: int(live + 0.5), of: t.most, present: bits(t.peers, now, m.o.HeartbeatInterval)}
	b := r.append(nil)
	for i := range t.peers {
		if i != m.o.Self && t.peers[i].presence(now, m.o.HeartbeatInterval) == Alive {
			m.post(i, b)
		}
	}
}

// Receive takes a datagram. from is the number that its address or signature stands for, -1 where neither
// tells one. An error says what is wrong with it; nothing of such a one is used.
func (m *Member) Receive(now Time, from int, b []byte) error {
	m.pass(now)
	m.Received++
	m.ReceivedBytes += len(b)
	x, err := decode(b)
	if err != nil {
		m.Malformed++
		return err
	}
	var h *head
	switch x := x.(type) {
	case *report:
		h = &x.head
	case *word:
		h = &x.head
	case *roll:
		h = &x.head
	}
	if from >= 0 && h.from != from || h.from >= m.o.Peers || h.from == m.o.Self {
		m.Misattributed++
		return fmt.Errorf("share: it says that it is of controller %d and came from %d", h.from, from)
	}
	if h.kind != kindReport {
		m.back(h.from)
	}
	switch x := x.(type) {
	case *report:
		was := m.teller.reporting(now)
		if !m.teller.hear(now, x) {
			m.Stale++
		} else if !was && m.teller.reporting(now) {
			m.tellAt, m.teller.ran = now, now-m.o.ReportInterval
		}
	case *word:
		if h.from != m.at || h.boot < m.wordOf || h.boot == m.wordOf && h.seq <= m.wordSeq {
			m.Stale++ // of another teller, or overtaken
			return nil
		}
		m.wordOf, m.wordSeq = h.boot, h.seq
		m.obey(now, x)
	case *roll:
		if h.from != m.at {
			m.Stale++
			return nil
		}
		m.owed, m.wordAt, m.live, m.of = 0, now, x.live, x.of
		m.present = append(x.present, make([]byte, max((m.o.Peers+7)/8-len(x.present), 0))...)
		m.ringOf = -1
	}
	return nil
}

// obey takes a word.
func (m *Member) obey(now Time, w *word) {
	if m.asked == 0 || now-m.asked > m.wordFor() {
		// Called in: the next report comes within a period, not all of them now.
		m.reportAt = min(m.reportAt, now+Time(m.rng.Float64()*float64(m.o.ReportInterval)))
	}
	m.owed, m.wordAt, m.asked, m.live = 0, now, now, w.live
	for _, v := range m.views {
		v.until = 0 // the word is the whole of what is held back
	}
	m.terms, m.termsTo = w.terms, now+m.wordFor()
	for _, t := range w.terms {
		if v := m.byKey[t.key]; v != nil { // a server that the own list does not name is nobody
			v.term, v.until = t, m.termsTo
		}
	}
	for _, t := range w.terms { // in their order, not the map's: a run is to repeat
		if v := m.byKey[t.key]; v != nil {
			m.compare(now, v)
		}
	}
}
