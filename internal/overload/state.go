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
	PendingAttempts int                    `json:"Waiting"` // set-ups unanswered
	SetupTime       Time                   `json:"Wait"`    // of answers, smoothed; 0: none of late
	Limited         bool                   `json:"Obeyed"`  // a word holds
	ClaimedWait     Time                   `json:"Claim"`   // the wait that the word claims
	ThrottleChance  [priorityCount]float64 `json:"Hold"`
	OverflowChance  float64                `json:"Over"` // of calls of second choice
	Throttled       int                    `json:"Held"` // calls held back
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

// throttleChances are the chances that a term throttleChances a call back by, by tier.
func (t *serverLimit) throttleChances() (h [priorityCount]float64) {
	for k := range h {
		switch {
		case k < t.priority && t.throttle > 0:
			h[k] = maxThrottle / 255.0
		case k == t.priority:
			h[k] = float64(t.throttle) / 255
		}
	}
	return h
}

// State tells what is known now.
func (m *Member) State(now Time) *State {
	s := &State{Self: m.options.Self, Peers: m.options.Peers, Incarnation: m.options.Incarnation, Aggregator: m.selected, AggregatorFor: now - m.since, LimitsAge: -1, AliveMembers: m.aliveMembers, PeakMembers: max(m.peakMembers, m.aliveMembers), FrequentReports: m.reportsFrequently(now),
		Ejected: len(m.ejected), Counters: m.Counters}
	s.Partitioned = s.AliveMembers*10 < s.PeakMembers*9
	if m.lastHeardAt > 0 {
		s.LimitsAge = now - m.lastHeardAt
	}
	for _, v := range m.servers {
		x := ServerState{ID: v.id, PendingAttempts: len(v.pendingSince), Limited: now < v.limitedUntil, Throttled: v.throttled}
		if v.setupTime > 0 && now-v.setupTimeAt < setupTimeLifetime {
			x.SetupTime = v.setupTime
		}
		if x.Limited {
			x.ClaimedWait, x.ThrottleChance, x.OverflowChance = Time(v.limit.wait)*timeUnit, v.limit.throttleChances(), float64(v.limit.overflowThrottle)/255
		}
		s.Servers = append(s.Servers, x)
	}
	slices.SortFunc(s.Servers, func(a, b ServerState) int { return cmp.Compare(a.ID, b.ID) })
	t := m.aggregator
	if m.selected != m.options.Self && (t.lastReportAt == 0 || now-t.lastReportAt > 2*m.options.HeartbeatInterval) {
		return s // it tells nobody
	}
	for _, x := range t.sortedServers() {
		s.Aggregates = append(s.Aggregates, AggregateState{x.key, x.totalOffered(), x.overflow, x.answered, Time(x.wait * 1e9), x.waitReports, x.admittedRate})
	}
	for i := range t.members {
		p := &t.members[i]
		if p.lastReportAt == 0 {
			continue
		}
		y := MemberState{Number: i, Status: p.status(now, m.options.HeartbeatInterval), LastReportAge: now - p.lastReportAt, Incarnation: p.incarnation}
		if n := p.received + p.lost; n > 0 {
			y.LossShare = p.lost / n
		}
		if p.lastReport != nil {
			y.ReportSpan = Time(p.lastReport.span) * timeUnit
		}
		s.Members = append(s.Members, y)
	}
	return s
}
