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
	case o.Peers < 1 || o.Peers > maxMembers:
		return fmt.Errorf("share: %d controllers, 1 to %d can share", o.Peers, maxMembers)
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
	maxServers           = 64          // of which a controller tells
	minLimitLifetime     = 2000 * ms   // a word holds for so long at least, and for four periods
	maxUnansweredReports = 6           // reports without a word after which the next is asked: where three in ten get lost one run in 1,400 is so long
	ejectionTime         = 30 * second // a teller that was silent or wrong is passed over for so long
	maxClockJump         = 2000 * ms   // a controller that stood still for longer forgets what it had counted
	burstSize            = 64          // datagrams that leave together
	burstInterval        = 10 * ms     // between such
	comparisonWindow     = 1000 * ms   // an answer is compared with a word that comes so much later at most
	suspicionThreshold   = 4.0         // doubt: eight answers that are off by little, or two that are off by far, more than fit
	minMatchingResults   = 3           // answers that fit a teller's words before it may hold back more than
	maxUntrustedThrottle = 0.8         // this
	claimTolerance       = 4           // between what a word tells of a wait and one's own
	setupTimeLifetime    = 2500 * ms   // an answer tells of the wait for so long
	serverRetention      = 60 * second // a server nothing is sent to is forgotten
	maxBypassed          = 8           // of those before the teller that are asked whether they are there
	digestResetTerms     = 4           // slots after which nobody is held for gone any more
	neverDue             = Time(1 << 62)
)

// A serverView is what this controller sees of a server, and what it was told.
type serverView struct {
	serverSample
	id           string
	pendingSince []Time // when the set-ups without an answer were sent, at most 16 of them
	setupTime    Time   // smoothed, of its answers; 0: none of late
	setupTimeAt  Time
	lastResult   Time // of the latest answer, which came then and was compared with a word, or not yet
	lastResultAt Time
	compared     bool
	lastUsed     Time
	limit        serverLimit
	limitedUntil Time // the term holds
	throttled    int  // calls held back by it
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
	options      Options
	rng          *rand.Rand
	servers      map[string]*serverView
	serversByKey map[uint32]*serverView
	now          Time
	spanStart    Time // the span of the next report began
	nextReport,
	nextLimitUpdate, nextDigest Time
	reportSequence     uint32
	overloadedAt       Time // own evidence of pressure came last; 0: never
	reportsRequestedAt Time // a teller last wanted reports often; 0: never
	lastHeardAt        Time // the latest word came
	limitSequence      uint32
	limits             []serverLimit // of the latest word
	limitsUntil        Time          // they hold until then
	limitIncarnation   uint32        // boot of the teller it came from
	since              Time          // reports go to this teller since
	unansweredReports  int           // reports it has had without a word
	ejected            map[int]ejection
	bypassed           []int // those that rendezvous hashing names before the teller: they are asked now and then whether they are there
	nextProbe          Time
	selectedTerm       int64   // slot that the teller was chosen for
	selected           int     // the teller
	matchingResults    int     // answers that fit the teller's words
	suspicion          float64 // of the teller's words, by one's own answers
	knownMembers       []byte  // by the latest roll; nil: all
	aliveMembers       int
	peakMembers        int // controllers there were at most, by the latest roll
	aggregator         *aggregator
	outbox             []Datagram
	nextBurst          Time
}

// New makes a Member of a controller that has just started.
func New(now Time, o Options) (*Member, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	m := &Member{options: o, rng: rand.New(rand.NewPCG(o.Seed, 5)), servers: make(map[string]*serverView), serversByKey: make(map[uint32]*serverView), now: now, spanStart: now,
		ejected: make(map[int]ejection), aggregator: newAggregator(o.Peers, o.LatencyThreshold, o.HeartbeatInterval, o.ReportInterval), aliveMembers: o.Peers, selectedTerm: -1, since: now}
	m.aggregator.aggregatedAt = now
	// Guards against a fleet that starts together and then always speaks together.
	m.nextReport = now + Time(m.rng.Float64()*float64(o.HeartbeatInterval)/4)
	m.nextLimitUpdate, m.nextDigest = now+Time(m.rng.Float64()*float64(o.ReportInterval)), now+Time(m.rng.Float64()*float64(o.HeartbeatInterval))
	m.selectAggregator()
	return m, nil
}

// ServerKey is by what a server is named between controllers.
func ServerKey(server string) uint32 { return uint32(xxhash.Sum64String(server) & 0xffffff) }

// lookupServer is what is seen of a server; nil: there are too many.
func (m *Member) lookupServer(server string) *serverView {
	v := m.servers[server]
	if v == nil {
		if len(m.servers) >= maxServers {
			for name, o := range m.servers { // guards memory against servers that come and go
				if len(o.pendingSince) == 0 && m.now-o.lastUsed > serverRetention {
					delete(m.servers, name)
					delete(m.serversByKey, o.key)
				}
			}
			if len(m.servers) >= maxServers {
				return nil
			}
		}
		v = &serverView{id: server, serverSample: serverSample{key: ServerKey(server)}}
		if m.serversByKey[v.key] != nil {
			return nil // guards against two servers under one name: the second goes untold
		}
		m.servers[server], m.serversByKey[v.key] = v, v
		// A word may have told of it before: where calls are few, most servers are met for the first time in a jam.
		if i := slices.IndexFunc(m.limits, func(t serverLimit) bool { return t.key == v.key }); i >= 0 {
			v.limit, v.limitedUntil = m.limits[i], m.limitsUntil
		}
	}
	v.lastUsed = m.now
	return v
}

// RecordOffered implements admission.Fleet.
func (m *Member) RecordOffered(now Time, server string, tier int) {
	m.advance(now)
	if v := m.lookupServer(server); v != nil && tier >= 0 && tier < priorityCount {
		v.offered[tier]++
	}
}

// RecordSent implements admission.Fleet.
func (m *Member) RecordSent(now Time, server string, first bool) {
	m.advance(now)
	if v := m.lookupServer(server); v != nil {
		if !first {
			v.overflow++
		}
		if len(v.pendingSince) < 16 {
			v.pendingSince = append(v.pendingSince, now)
		}
	}
}

// RecordResult implements admission.Fleet.
func (m *Member) RecordResult(now Time, server string, stood bool, took Time) {
	m.advance(now)
	v := m.lookupServer(server)
	if v == nil {
		return
	}
	if i := slices.Index(v.pendingSince, now-took); i >= 0 {
		v.pendingSince = slices.Delete(v.pendingSince, i, i+1)
	} else if len(v.pendingSince) > 0 {
		v.pendingSince = v.pendingSince[1:] // the host measures took by a clock of its own
	}
	if !stood {
		return
	}
	v.answered++
	if v.setupTime == 0 || now-v.setupTimeAt > setupTimeLifetime {
		v.setupTime = took
	} else {
		v.setupTime += (took - v.setupTime) / 2
	}
	v.setupTimeAt = now
	v.lastResult, v.lastResultAt, v.compared = took, now, false
	m.compareClaim(now, v)
}

// RecordOverload implements admission.Fleet.
func (m *Member) RecordOverload(now Time, server string) {
	m.advance(now)
	if v := m.lookupServer(server); v != nil {
		v.overloaded = true
	}
	if m.options.Peers > 1 && !m.reportsFrequently(now) {
		m.nextReport = min(m.nextReport, now) // the first sign is told at once
	}
	m.overloadedAt = now
}

// Throttle implements admission.Fleet.
func (m *Member) Throttle(now Time, server string, tier int, first bool) (holds admission.Reason, told bool) {
	m.advance(now)
	v := m.lookupServer(server)
	if v == nil || now >= v.limitedUntil {
		return "", false
	}
	part := float64(v.limit.overflowThrottle) / 255
	if first && tier >= 0 && tier < priorityCount {
		part = v.limit.throttleChances()[tier]
	}
	// A word that holds nothing back of a call says nothing of a server that it does not hold to be pressed.
	if first && v.limit.priority == 0 && v.limit.throttle == 0 && !v.limit.claimsOverload(m.options.LatencyThreshold) {
		return "", false
	}
	if (m.matchingResults < minMatchingResults || m.suspicion > 0) && m.selected != m.options.Self {
		// Guards against a liar that has all held back: then no answer would come that tells.
		part = min(part, maxUntrustedThrottle)
	}
	if m.rng.Float64() < part {
		m.Throttled++
		v.throttled++
		return admission.ReasonFleetThrottle, true
	}
	m.Admitted++
	return "", true
}

// claimsOverload tells whether a term claims that calls wait there.
func (t *serverLimit) claimsOverload(late Time) bool {
	return Time(t.wait)*timeUnit > Time(waitTarget/2*float64(late))
}

// advance moves the clock. A controller that stood still has figures that nobody can use.
func (m *Member) advance(now Time) {
	if now-m.now > maxClockJump {
		m.spanStart = now
		for _, v := range m.servers {
			v.offered, v.overflow, v.answered, v.setupTime, v.overloaded, v.limitedUntil = [priorityCount]int{}, 0, 0, 0, false, 0
		}
		m.unansweredReports, m.overloadedAt, m.reportsRequestedAt, m.limits = 0, 0, 0, nil
	}
	m.now = max(m.now, now)
}

// compareClaim holds a word against an answer of one's own that came just now. A teller whose words do not fit what
// this controller sees, more than they do, is wrong or lies, and is passed over; whatever it said no longer
// counts. A claim that is further off counts for more: who says that all wait for half a minute where calls
// stand at once is found out by two or three answers.
func (m *Member) compareClaim(now Time, v *serverView) {
	if v.compared || now >= v.limitedUntil || m.selected == m.options.Self || now-v.lastResultAt > comparisonWindow {
		return
	}
	v.compared = true
	claim, took := float64(Time(v.limit.wait)*timeUnit), float64(v.lastResult)
	floor := float64(m.options.LatencyThreshold) / 8
	off := math.Abs(math.Log(max(claim, floor)/max(took, floor))) / math.Log(claimTolerance)
	if off <= 1 {
		m.suspicion = max(m.suspicion-1, 0)
		m.matchingResults++
		return
	}
	if m.suspicion += min(off, 4) / 2; m.suspicion >= suspicionThreshold {
		m.AggregatorsEjected++
		m.eject(now, true)
	}
}

// A ejection teller is passed over until a time, or until it speaks again unless it was wrong.
type ejection struct {
	until Time
	wrong bool
}

// eject passes over the teller, and forgets what it said.
func (m *Member) eject(now Time, wrong bool) {
	if len(m.ejected) >= m.options.Peers/2 { // guards against a controller that is cut off: it would shun all
		clear(m.ejected)
	}
	m.ejected[m.selected] = ejection{now + ejectionTime, wrong}
	m.limits = nil
	for _, v := range m.servers {
		v.limitedUntil = 0
	}
	m.selectedTerm = -1
	m.selectAggregator()
}

// limitLifetime is how long a word holds: some may get lost.
func (m *Member) limitLifetime() Time { return max(minLimitLifetime, 4*m.options.ReportInterval) }

// Aggregator is whom this controller reports to and obeys.
func (m *Member) Aggregator() int { return m.selected }

// rankMembers are the numbers of n controllers in the order in which they are to be the teller of a slot: rendezvous
// hashing (Thaler and Ravishankar 1998). The registry's go-rendezvous tells the first only, and its Remove leaves
// the index of the name that it moves as it was.
func rankMembers(slot int64, n int) []int {
	all, weight := make([]int, n), make([]uint64, n)
	b := binary.LittleEndian.AppendUint64(make([]byte, 0, 16), uint64(slot))
	for i := range all {
		all[i], weight[i] = i, xxhash.Sum64(binary.LittleEndian.AppendUint64(b, uint64(i)))
	}
	slices.SortFunc(all, func(i, j int) int { return cmp.Compare(weight[j], weight[i]) })
	return all
}

// selectAggregator names the teller of this slot: the first by rendezvous hashing of those that are not gone or passed
// over.
func (m *Member) selectAggregator() {
	slot := int64(m.now / m.options.AggregatorTerm)
	for i, s := range m.ejected {
		if m.now >= s.until {
			delete(m.ejected, i)
			m.selectedTerm = -1
		}
	}
	if slot == m.selectedTerm {
		return
	}
	if m.selectedTerm = slot; slot%digestResetTerms == 0 {
		m.knownMembers = nil // those held for gone may be there and hold this one for gone: all are tried again
	}
	was := m.selected
	m.bypassed = m.bypassed[:0]
	for _, m.selected = range rankMembers(slot, m.options.Peers) {
		s, shunned := m.ejected[m.selected]
		if m.selected == m.options.Self || !shunned && (m.knownMembers == nil || hasBit(m.knownMembers, m.selected)) {
			break
		}
		if !s.wrong && len(m.bypassed) < maxBypassed {
			m.bypassed = append(m.bypassed, m.selected)
		}
	}
	if m.selected != was {
		m.AggregatorChanges++
		m.unansweredReports, m.suspicion, m.matchingResults, m.limitSequence, m.limitIncarnation, m.since = 0, 0, 0, 0, 0, m.now
	}
}

// reportsFrequently tells whether reports are to be sent each period.
func (m *Member) reportsFrequently(now Time) bool {
	return m.overloadedAt > 0 && now-m.overloadedAt < overloadMemory || m.reportsRequestedAt > 0 && now-m.reportsRequestedAt < m.limitLifetime()
}

// Tick does what is due and returns what is to be sent.
func (m *Member) Tick(now Time) []Datagram {
	if m.options.Peers == 1 {
		return nil
	}
	m.advance(now)
	m.selectAggregator()
	if now >= m.nextReport {
		m.sendReport(now)
	}
	if now >= m.nextLimitUpdate {
		m.nextLimitUpdate = now + m.options.ReportInterval
		m.sendLimitUpdates(now)
	}
	if now >= m.nextDigest {
		m.nextDigest = now + m.options.HeartbeatInterval
		m.sendMembershipDigest(now)
	}
	if len(m.outbox) == 0 || now < m.nextBurst {
		return nil
	}
	n := min(len(m.outbox), burstSize)
	sent := m.outbox[:n:n]
	m.outbox, m.nextBurst = m.outbox[n:], now+burstInterval
	for _, p := range sent {
		m.Sent++
		m.SentBytes += len(p.Payload)
	}
	return sent
}

// NextDeadline is when Tick is due.
func (m *Member) NextDeadline() Time {
	if m.options.Peers == 1 {
		return neverDue
	}
	next := min(m.nextReport, m.nextDigest, m.now+maxClockJump/2) // else it would take a quiet time for one in which it stood still
	if m.aggregator.wantsFrequentReports(m.now) {
		next = min(next, m.nextLimitUpdate)
	}
	if len(m.outbox) > 0 {
		next = min(next, m.nextBurst)
	}
	return next
}

// enqueue queues a message.
func (m *Member) enqueue(to int, b []byte) {
	if len(m.outbox) >= 2*m.options.Peers+16 {
		return // guards memory where nothing leaves; what is said is soon old
	}
	m.outbox = append(m.outbox, Datagram{to, b})
}

// sendReport tells the teller what was seen.
func (m *Member) sendReport(now Time) {
	often := m.reportsFrequently(now)
	gap := m.options.HeartbeatInterval
	if often {
		gap = m.options.ReportInterval
	}
	// Even where all began at once, reports come evenly: each draws a little.
	m.nextReport = now + gap*9/10 + Time(m.rng.Float64()*float64(gap)/5)
	if m.selected != m.options.Self {
		if m.unansweredReports++; m.unansweredReports > maxUnansweredReports {
			m.AggregatorsUnresponsive++
			m.eject(now, false)
			m.unansweredReports = 1
		}
	}
	m.reportSequence++
	r := &loadReport{messageHeader: messageHeader{kind: kindLoadReport, sender: m.options.Self, incarnation: m.options.Incarnation, sequence: m.reportSequence}, span: min(int((now-m.spanStart)/timeUnit), maxWait),
		overloaded: m.overloadedAt > 0 && now-m.overloadedAt < overloadMemory}
	m.spanStart = now
	for _, v := range m.servers {
		x := v.serverSample
		if v.setupTime > 0 && now-v.setupTimeAt < setupTimeLifetime {
			x.wait = int(v.setupTime / timeUnit)
		}
		if len(v.pendingSince) > 0 {
			x.wait = max(x.wait, int((now-v.pendingSince[0])/timeUnit))
		}
		x.wait = min(x.wait, maxWait)
		if busy := x.offered != [priorityCount]int{} || x.overflow > 0 || x.answered > 0 || x.wait > 0; busy {
			r.samples = append(r.samples, x)
		}
		v.offered, v.overflow, v.answered, v.overloaded = [priorityCount]int{}, 0, 0, false
	}
	// What matters most comes first, in an order that does not hang on the map's.
	slices.SortFunc(r.samples, func(a, b serverSample) int {
		return cmp.Or(cmp.Compare(b.wait, a.wait), cmp.Compare(a.key, b.key))
	})
	if m.selected == m.options.Self {
		m.aggregator.acceptReport(now, r)
	} else {
		m.enqueue(m.selected, r.append(nil))
	}
	if len(m.bypassed) > 0 && now >= m.nextProbe {
		// One before the teller may be there after all, as after a cut. It is told nothing, so that no sum has this
		// controller twice; if it answers it is obeyed again, and all come to obey the same.
		m.nextProbe = now + m.options.HeartbeatInterval
		r.samples, r.overloaded = nil, false
		m.enqueue(m.bypassed[m.rng.IntN(len(m.bypassed))], r.append(nil))
	}
}

// readmit notes that one spoke that was passed over.
func (m *Member) readmit(from int) {
	if !slices.Contains(m.bypassed, from) {
		return
	}
	delete(m.ejected, from)
	if m.knownMembers != nil {
		m.knownMembers[from/8] |= 1 << (from % 8)
	}
	m.selectedTerm = -1
	m.selectAggregator()
}

// sendLimitUpdates makes the sums and tells those who report.
func (m *Member) sendLimitUpdates(now Time) {
	t := m.aggregator
	if !t.wantsFrequentReports(now) {
		return
	}
	t.aggregate(now)
	live, _ := estimateAlive(t.members, now, m.options.HeartbeatInterval)
	t.peakMembers = max(t.peakMembers, int(live+0.5))
	t.sequence++
	w := limitUpdate{messageHeader: messageHeader{kind: kindLimitUpdate, sender: m.options.Self, incarnation: m.options.Incarnation, sequence: t.sequence}, aliveMembers: min(int(live+0.5), maxMembers), limits: t.serverLimits()}
	b := w.append(nil)
	all := now-t.lastPollAt >= pollInterval
	if all {
		t.lastPollAt = now
	}
	for i := range t.members {
		p := &t.members[i]
		// Those who report often are told each time; the others now and then, so that they begin to.
		if i == m.options.Self || p.lastReportAt == 0 || p.status(now, m.options.HeartbeatInterval) == Dead || now-p.lastReportAt > t.reportLifetime && !all {
			continue
		}
		m.enqueue(i, b)
	}
	if m.selected == m.options.Self {
		m.applyLimits(now, &w)
	}
}

// sendMembershipDigest tells who is there to those who reported within the last beats.
func (m *Member) sendMembershipDigest(now Time) {
	t := m.aggregator
	live, _ := estimateAlive(t.members, now, m.options.HeartbeatInterval)
	if live < 1 {
		return
	}
	t.peakMembers = max(t.peakMembers*15/16, int(live+0.5))
	r := membershipDigest{messageHeader: messageHeader{kind: kindMembershipDigest, sender: m.options.Self, incarnation: m.options.Incarnation, sequence: t.sequence}, aliveMembers: int(live + 0.5), peakMembers: t.peakMembers, members: memberBits(t.members, now, m.options.HeartbeatInterval)}
	b := r.append(nil)
	for i := range t.members {
		if i != m.options.Self && t.members[i].status(now, m.options.HeartbeatInterval) == Alive {
			m.enqueue(i, b)
		}
	}
}

// Receive takes a datagram. from is the number that its address or signature stands for, -1 where neither
// tells one. An error says what is wrong with it; nothing of such a one is used.
func (m *Member) Receive(now Time, from int, b []byte) error {
	m.advance(now)
	m.Received++
	m.ReceivedBytes += len(b)
	x, err := decode(b)
	if err != nil {
		m.Malformed++
		return err
	}
	var h *messageHeader
	switch x := x.(type) {
	case *loadReport:
		h = &x.messageHeader
	case *limitUpdate:
		h = &x.messageHeader
	case *membershipDigest:
		h = &x.messageHeader
	}
	if from >= 0 && h.sender != from || h.sender >= m.options.Peers || h.sender == m.options.Self {
		m.Misattributed++
		return fmt.Errorf("share: it says that it is of controller %d and came from %d", h.sender, from)
	}
	if h.kind != kindLoadReport {
		m.readmit(h.sender)
	}
	switch x := x.(type) {
	case *loadReport:
		was := m.aggregator.wantsFrequentReports(now)
		if !m.aggregator.acceptReport(now, x) {
			m.Stale++
		} else if !was && m.aggregator.wantsFrequentReports(now) {
			m.nextLimitUpdate, m.aggregator.aggregatedAt = now, now-m.options.ReportInterval
		}
	case *limitUpdate:
		if h.sender != m.selected || h.incarnation < m.limitIncarnation || h.incarnation == m.limitIncarnation && h.sequence <= m.limitSequence {
			m.Stale++ // of another teller, or overtaken
			return nil
		}
		m.limitIncarnation, m.limitSequence = h.incarnation, h.sequence
		m.applyLimits(now, x)
	case *membershipDigest:
		if h.sender != m.selected {
			m.Stale++
			return nil
		}
		m.unansweredReports, m.lastHeardAt, m.aliveMembers, m.peakMembers = 0, now, x.aliveMembers, x.peakMembers
		m.knownMembers = append(x.members, make([]byte, max((m.options.Peers+7)/8-len(x.members), 0))...)
		m.selectedTerm = -1
	}
	return nil
}

// applyLimits takes a word.
func (m *Member) applyLimits(now Time, w *limitUpdate) {
	if m.reportsRequestedAt == 0 || now-m.reportsRequestedAt > m.limitLifetime() {
		// Called in: the next report comes within a period, not all of them now.
		m.nextReport = min(m.nextReport, now+Time(m.rng.Float64()*float64(m.options.ReportInterval)))
	}
	m.unansweredReports, m.lastHeardAt, m.reportsRequestedAt, m.aliveMembers = 0, now, now, w.aliveMembers
	for _, v := range m.servers {
		v.limitedUntil = 0 // the word is the whole of what is held back
	}
	m.limits, m.limitsUntil = w.limits, now+m.limitLifetime()
	for _, t := range w.limits {
		if v := m.serversByKey[t.key]; v != nil { // a server that the own list does not name is nobody
			v.limit, v.limitedUntil = t, m.limitsUntil
		}
	}
	for _, t := range w.limits { // in their order, not the map's: a run is to repeat
		if v := m.serversByKey[t.key]; v != nil {
			m.compareClaim(now, v)
		}
	}
}
