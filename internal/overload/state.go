package overload

import (
	"cmp"
	"slices"
)

// A State is a snapshot of a Member. Its JSON names are part of the output of olivectl peers --json and must stay as
// first released.
type State struct {
	Self, Peers     int
	Incarnation     uint32 `json:"Boot"`
	Aggregator      int    `json:"Teller"`
	AggregatorFor   Time   `json:"Since"` // time since the aggregator was selected
	LastContactAge  Time   `json:"Heard"` // time since the last message from the aggregator; negative: never
	AliveMembers    int    `json:"Live"`  // estimated number of living members
	PeakMembers     int    `json:"Of"`    // highest number of living members in the last minutes
	Partitioned     bool   `json:"Part"`  // under 9/10 of the peak are alive: the network may be partitioned
	FrequentReports bool   `json:"Often"` // load reports are sent each report interval
	Ejected         int    `json:"Shunned"`
	Servers         []ServerState
	Aggregates      []AggregateState `json:"Told"`      // set on an aggregator
	Members         []MemberState    `json:"Reporters"` // set on an aggregator: the members that have reported
	Counters        Counters
}

// A ServerState holds a member's measurements of a server and the limit that it applies.
type ServerState struct {
	ID                  string
	PendingAttempts     int                    `json:"Waiting"`
	SetupTime           Time                   `json:"Wait"`   // smoothed; 0: no recent answer
	Limited             bool                   `json:"Obeyed"` // a limit is in force
	ClaimedWait         Time                   `json:"Claim"`  // set-up time claimed by the aggregator
	ThrottleProbability [priorityCount]float64 `json:"Hold"`   // by priority
	OverflowProbability float64                `json:"Over"`   // for set-ups that are not a call's first choice
	Throttled           int                    `json:"Held"`   // number of throttled calls
}

// An AggregateState is an aggregator's view of a server. Rates are events per second.
type AggregateState struct {
	Key          uint32
	Offered      float64
	Overflow     float64 `json:"Over"`
	Answered     float64 `json:"Done"`
	Wait         Time
	WaitReports  int     `json:"Told"`
	AdmittedRate float64 `json:"Budget"` // +Inf: not limited
}

// A MemberState is an aggregator's view of a member.
type MemberState struct {
	Number        int
	Status        MemberStatus `json:"Presence"`
	LastReportAge Time         `json:"Heard"`
	Incarnation   uint32       `json:"Boot"`
	LossShare     float64      `json:"Lost"` // share of its reports that were lost
	ReportSpan    Time         `json:"Last"` // time that the latest report covers
}

// State returns a snapshot of the member.
func (m *Member) State(now Time) *State {
	s := &State{
		Self:            m.options.Self,
		Peers:           m.options.Controllers,
		Incarnation:     m.options.Incarnation,
		Aggregator:      m.selection.aggregator,
		AggregatorFor:   now - m.selection.since,
		LastContactAge:  -1,
		AliveMembers:    m.membership.aliveMembers,
		PeakMembers:     max(m.membership.peakMembers, m.membership.aliveMembers),
		FrequentReports: m.reportsFrequently(now),
		Ejected:         len(m.selection.ejected),
		Servers:         m.servers.states(now),
		Counters:        m.Counters,
	}
	s.Partitioned = s.AliveMembers*10 < s.PeakMembers*9
	if m.selection.lastContactAt > 0 {
		s.LastContactAge = now - m.selection.lastContactAt
	}
	hasReporters := m.aggregator.lastReportAt > 0 && now-m.aggregator.lastReportAt <= 2*m.options.HeartbeatInterval
	if m.isOwnAggregator() || hasReporters {
		s.Aggregates = m.aggregator.serverStates()
		s.Members = m.aggregator.memberStates(now)
	}
	return s
}

// states returns the state of each server, sorted by id.
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
		s.ThrottleProbability = v.limit.throttleProbabilities()
		s.OverflowProbability = v.limit.overflowProbability()
	}
	return s
}

// serverStates returns the state of each aggregate, sorted by key.
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

// memberStates returns the state of each member that has reported, sorted by number.
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
