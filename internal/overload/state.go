package overload

import (
	"cmp"
	"slices"
)

// A State is what a Member knows and does, for those who look.
type State struct {
	Self, Peers int
	Boot        uint32
	Teller      int
	Since       Time // for so long it has been this teller
	Heard       Time // for so long nothing came of it; negative: nothing has yet
	Live, Of    int  // controllers there are, as the teller holds; those it held for there at most, of late
	Part        bool // far fewer are there than there were: it may be one part of several
	Often       bool // reports are sent each period
	Shunned     int  // tellers that are passed over
	Servers     []ServerState
	Told        []SumState  // of a teller: what it sums up
	Reporters   []PeerState // of a teller: who reports to it
	Counters    Counters
}

// A ServerState is what is seen and obeyed of a server.
type ServerState struct {
	ID      string
	Waiting int  // set-ups unanswered
	Wait    Time // of answers, smoothed; 0: none of late
	Obeyed  bool // a word holds
	Claim   Time // the wait that the word claims
	Hold    [tiers]float64
	Over    float64 // of calls of second choice
	Held    int     // calls held back
}

// A SumState is what a teller holds of a server. Rates are a second.
type SumState struct {
	Key                 uint32
	Offered, Over, Done float64
	Wait                Time
	Told                int
	Budget              float64 // +Inf: nothing is held back
}

// A PeerState is what a teller holds of a controller.
type PeerState struct {
	Number   int
	Presence Presence
	Heard    Time // ago
	Boot     uint32
	Lost     float64 // share of its reports
	Last     Time    // span of the last
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
	s := &State{Self: m.o.Self, Peers: m.o.Peers, Boot: m.o.Boot, Teller: m.at, Since: now - m.since, Heard: -1, Live: m.live, Of: max(m.of, m.live), Often: m.often(now),
		Shunned: len(m.shunned), Counters: m.Counters}
	s.Part = s.Live*10 < s.Of*9
	if m.wordAt > 0 {
		s.Heard = now - m.wordAt
	}
	for _, v := range m.views {
		x := ServerState{ID: v.server, Waiting: len(v.pending), Obeyed: now < v.until, Held: v.held}
		if v.wait > 0 && now-v.waitAt < waitFresh {
			x.Wait = v.wait
		}
		if x.Obeyed {
			x.Claim, x.Hold, x.Over = Time(v.term.wait)*waitUnit, v.term.holds(), float64(v.term.over)/255
		}
		s.Servers = append(s.Servers, x)
	}
	slices.SortFunc(s.Servers, func(a, b ServerState) int { return cmp.Compare(a.ID, b.ID) })
	t := m.teller
	if m.at != m.o.Self && (t.heard == 0 || now-t.heard > 2*m.o.Beat) {
		return s // it tells nobody
	}
	for _, x := range t.sorted() {
		s.Told = append(s.Told, SumState{x.key, x.offered(), x.over, x.done, Time(x.wait * 1e9), x.told, x.budget})
	}
	for i := range t.peers {
		p := &t.peers[i]
		if p.heard == 0 {
			continue
		}
		y := PeerState{Number: i, Presence: p.presence(now, m.o.Beat), Heard: now - p.heard, Boot: p.boot}
		if n := p.got + p.lost; n > 0 {
			y.Lost = p.lost / n
		}
		if p.last != nil {
			y.Last = Time(p.last.span) * waitUnit
		}
		s.Reporters = append(s.Reporters, y)
	}
	return s
}
