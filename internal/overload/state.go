package overload

import (
	"cmp"
	"slices"
)

// A State is a snapshot of a Member. Its JSON names are printed by olivectl peers --json and stay as they were first
// released.
type State struct {
	Self, Peers     int
	Incarnation     uint32 `json:"Boot"`
	Aggregator      int    `json:"Teller"`
	AggregatorFor   Time   `json:"Since"` // time since the aggregator was selected
	LimitsAge       Time   `json:"Heard"` // time since the aggregator was last heard; negative: never
	AliveMembers    int    `json:"Live"`  // estimated by the aggregator
	PeakMembers     int    `json:"Of"`    // the most that were alive in the last minutes
	Partitioned     bool   `json:"Part"`  // far fewer members are alive than before: the network may be partitioned
	FrequentReports bool   `json:"Often"` // reports are sent each report interval
	Ejected         int    `json:"Shunned"`
	Servers         []ServerState
	Aggregates      []AggregateState `json:"Told"`      // of an aggregator
	Members         []MemberState    `json:"Reporters"` // of an aggregator: the members that have reported
	Counters        Counters
}

// A ServerState is what a member measures at a server and the limit that it applies there.
type ServerState struct {
	ID              string
	PendingAttempts int                    `json:"Waiting"`
	SetupTime       Time                   `json:"Wait"`   // smoothed; 0: no answer lately
	Limited         bool                   `json:"Obeyed"` // a limit applies
	ClaimedWait     Time                   `json:"Claim"`  // set-up time that the aggregator claims
	ThrottleChance  [priorityCount]float64 `json:"Hold"`   // by priority
	OverflowChance  float64                `json:"Over"`   // for set-ups that are not a call's first choice
	Throttled       int                    `json:"Held"`   // calls
}

// An AggregateState is what an aggregator concludes about a server. Rates are events a second.
type AggregateState struct {
	Key          uint32
	Offered      float64
	Overflow     float64 `json:"Over"`
	Answered     float64 `json:"Done"`
	Wait         Time
	WaitReports  int     `json:"Told"`
	AdmittedRate float64 `json:"Budget"` // +Inf: not limited
}

// A MemberState is what an aggregator knows of a member.
type MemberState struct {
	Number        int
	Status        MemberStatus `json:"Presence"`
	LastReportAge Time         `json:"Heard"`
	Incarnation   uint32       `json:"Boot"`
	LossShare     float64      `json:"Lost"` // of its reports
	ReportSpan    Time         `json:"Last"` // of the latest report
}

// State returns a snapshot of the member.
func (m *Member) State(now Time) *State {
	s := &State{
		Self:            m.options.Self,
		Peers:           m.options.Controllers,
		Incarnation:     m.options.Incarnation,
		Aggregator:      m.selection.aggregator,
		AggregatorFor:   now - m.selection.since,
		LimitsAge:       -1,
		AliveMembers:    m.membership.aliveMembers,
		PeakMembers:     max(m.membership.peakMembers, m.membership.aliveMembers),
		FrequentReports: m.reportsFrequently(now),
		Ejected:         len(m.selection.ejected),
		Servers:         m.servers.states(now),
		Counters:        m.Counters,
	}
	s.Partitioned = s.AliveMembers*10 < s.PeakMembers*9
	if m.selection.lastHeardAt > 0 {
		s.LimitsAge = now - m.selection.lastHeardAt
	}
	hasReporters := m.aggregator.lastReportAt > 0 && now-m.aggregator.lastReportAt <= 2*m.options.HeartbeatInterval
	if m.isOwnAggregator() || hasReporters {
		s.Aggregates = m.aggregator.serverStates()
		s.Members = m.aggregator.memberStates(now)
	}
	return s
}

// states returns the states of all servers, sorted by id.
func (t *serverTable) states(now Time) []ServerState {
	var states []ServerState
	for _, v := range t.byID {
		states = append(states, v.state(now))
	}
	slices.SortFunc(states, func(a, b ServerState) int { return cmp.Compare(a.ID, b.ID) })
	return states
}

func (v *serverView) state(now Time) ServerState {
	s := ServerState{
		ID:              v.id,
		PendingAttempts: len(v.pendingSince),
		SetupTime:       v.recentSetupTime(now),
		Limited:         v.hasLimit(now),
		Throttled:       v.throttled,
	}
	if s.Limited {
		s.ClaimedWait = v.limit.claimedWait()
		s.ThrottleChance = v.limit.throttleChances()
		s.OverflowChance = v.limit.overflowChance()
	}
	return s
}

// serverStates returns the states of all aggregates, sorted by key.
func (a *aggregator) serverStates() []AggregateState {
	var states []AggregateState
	for _, s := range a.sortedServers() {
		states = append(states, AggregateState{
			Key:          s.key,
			Offered:      s.totalOffered(),
			Overflow:     s.overflow,
			Answered:     s.answered,
			Wait:         Time(s.wait * 1e9),
			WaitReports:  s.waitReports,
			AdmittedRate: s.admittedRate,
		})
	}
	return states
}

// memberStates returns the states of all members that have reported, by number.
func (a *aggregator) memberStates(now Time) []MemberState {
	var states []MemberState
	for number := range a.members {
		r := &a.members[number]
		if r.lastReportAt == 0 {
			continue
		}
		state := MemberState{
			Number:        number,
			Status:        r.status(now, a.heartbeatInterval),
			LastReportAge: now - r.lastReportAt,
			Incarnation:   r.incarnation,
			LossShare:     r.lossShare(),
		}
		if r.lastReport != nil {
			state.ReportSpan = durationOf(r.lastReport.span)
		}
		states = append(states, state)
	}
	return states
}
