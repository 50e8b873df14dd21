package overload

import (
	"cmp"
	"slices"
)

// A State is what a Member knows and does, for those who look. Its JSON names are printed by olivectl peers --json
// and stay as they were first released.
type State struct {
	Self, Peers     int
	Incarnation     uint32 `json:"Boot"`
	Aggregator      int    `json:"Teller"`
	AggregatorFor   Time   `json:"Since"` // for so long it has been this teller
	LimitsAge       Time   `json:"Heard"` // for so long nothing came of it; negative: nothing has yet
	AliveMembers    int    `json:"Live"`  // controllers there are, as the teller holds; those it held for there at most, of late
	PeakMembers     int    `json:"Of"`
	Partitioned     bool   `json:"Part"`    // far fewer are there than there were: it may be one part of several
	FrequentReports bool   `json:"Often"`   // reports are sent each period
	Ejected         int    `json:"Shunned"` // tellers that are passed over
	Servers         []ServerState
	Aggregates      []AggregateState `json:"Told"`      // of a teller: what it sums up
	Members         []MemberState    `json:"Reporters"` // of a teller: who reports to it
	Counters        Counters
}

// A ServerState is what is seen and obeyed of a server.
type ServerState struct {
	ID              string
	PendingAttempts int            `json:"Waiting"` // set-ups unanswered
	SetupTime       Time           `json:"Wait"`    // of answers, smoothed; 0: none of late
	Limited         bool           `json:"Obeyed"`  // a word holds
	ClaimedWait     Time           `json:"Claim"`   // the wait that the word claims
	ThrottleChance  [tiers]float64 `json:"Hold"`
	OverflowChance  float64        `json:"Over"` // of calls of second choice
	Throttled       int            `json:"Held"` // calls held back
}

// An AggregateState is what a teller holds of a server. Rates are a second.
type AggregateState struct {
	Key          uint32
	Offered      float64
	Overflow     float64 `json:"Over"`
	Answered     float64 `json:"Done"`
	Wait         Time
	WaitReports  int     `json:"Told"`
	AdmittedRate float64 `json:"Budget"` // +Inf: nothing is held back
}

// A MemberState is what a teller holds of a controller.
type MemberState struct {
	Number        int
	Status        MemberStatus `json:"Presence"`
	LastReportAge Time         `json:"Heard"` // ago
	Incarnation   uint32       `json:"Boot"`
	LossShare     float64      `json:"Lost"` // share of its reports
	ReportSpan    Time         `json:"Last"` // span of the last
}

// holds are the chances that a term holds a call back by, by tier.
func (t *term) holds() (h [tiers]float64) {
	for k := range h {
		switch {
		case k < t.tier && t.part > 0:
			h[k] = mostHeld / 255.0
		case k == t.tier:
			h[k] = float64(t.part) / 255
		}
	}
	return h
}

// State tells what is known now.
func (m *Member) State(now Time) *State {
	s := &State{Self: m.o.Self, Peers: m.o.Peers, Incarnation: m.o.Incarnation, Aggregator: m.at, AggregatorFor: now - m.since, LimitsAge: -1, AliveMembers: m.live, PeakMembers: max(m.of, m.live), FrequentReports: m.often(now),
		Ejected: len(m.shunned), Counters: m.Counters}
	s.Partitioned = s.AliveMembers*10 < s.PeakMembers*9
	if m.wordAt > 0 {
		s.LimitsAge = now - m.wordAt
	}
	for _, v := range m.views {
		x := ServerState{ID: v.server, PendingAttempts: len(v.pending), Limited: now < v.until, Throttled: v.held}
		if v.wait > 0 && now-v.waitAt < waitFresh {
			x.SetupTime = v.wait
		}
		if x.Limited {
			x.ClaimedWait, x.ThrottleChance, x.OverflowChance = Time(v.term.wait)*waitUnit, v.term.holds(), float64(v.term.over)/255
		}
		s.Servers = append(s.Servers, x)
	}
	slices.SortFunc(s.Servers, func(a, b ServerState) int { return cmp.Compare(a.ID, b.ID) })
	t := m.teller
	if m.at != m.o.Self && (t.heard == 0 || now-t.heard > 2*m.o.HeartbeatInterval) {
		return s // it tells nobody
	}
	for _, x := range t.sorted() {
		s.Aggregates = append(s.Aggregates, AggregateState{x.key, x.offered(), x.over, x.done, Time(x.wait * 1e9), x.told, x.budget})
	}
	for i := range t.peers {
		p := &t.peers[i]
		if p.heard == 0 {
			continue
		}
		y := MemberState{Number: i, Status: p.presence(now, m.o.HeartbeatInterval), LastReportAge: now - p.heard, Incarnation: p.boot}
		if n := p.got + p.lost; n > 0 {
			y.LossShare = p.lost / n
		}
		if p.last != nil {
			y.ReportSpan = Time(p.last.span) * waitUnit
		}
		s.Members = append(s.Members, y)
	}
	return s
}
