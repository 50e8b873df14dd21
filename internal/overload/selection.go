package overload

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the selection of an aggregator.
const (
	// maxUnansweredReports is the number after which the aggregator is ejected. Where three datagrams in ten are lost,
	// one run in 1,400 is longer.
	maxUnansweredReports = 6
	maxBypassed          = 8 // higher-ranked members that are probed
	digestResetTerms     = 4 // terms after which all members are tried again
)

// noTerm is the term of a selection that must be made again.
const noTerm = -1

// An aggregatorSelection is a member's choice of its aggregator.
type aggregatorSelection struct {
	aggregator        int // number of the selected member
	since             Time
	term              int64 // for which it was selected
	ejected           map[int]ejection
	bypassed          []int // members of a higher rank that were not selected, without those ejected as wrong
	unansweredReports int
	lastHeardAt       Time // when the aggregator last sent something; 0: never
}

func newAggregatorSelection(now Time) aggregatorSelection {
	return aggregatorSelection{since: now, term: noTerm, ejected: make(map[int]ejection)}
}

// invalidate has the next call of selectAggregator select anew.
func (s *aggregatorSelection) invalidate() { s.term = noTerm }

// noteHeard notes that the aggregator sent something.
func (s *aggregatorSelection) noteHeard(now Time) {
	s.unansweredReports = 0
	s.lastHeardAt = now
}

// expireEjections admits the members whose ejection has ended.
func (s *aggregatorSelection) expireEjections(now Time) {
	for number, e := range s.ejected {
		if now >= e.until {
			delete(s.ejected, number)
			s.invalidate()
		}
	}
}

// selectFrom selects the first of the ranked members that may be alive and is not ejected; self always qualifies.
func (s *aggregatorSelection) selectFrom(ranked []int, self int, membership *membershipView) {
	s.bypassed = s.bypassed[:0]
	for _, candidate := range ranked {
		s.aggregator = candidate
		ejection, isEjected := s.ejected[candidate]
		isEligible := !isEjected && membership.mayBeAlive(candidate)
		if candidate == self || isEligible {
			return
		}
		isWrong := isEjected && ejection.reason == ejectedAsWrong
		if !isWrong && len(s.bypassed) < maxBypassed {
			s.bypassed = append(s.bypassed, candidate)
		}
	}
}

// Aggregator returns the number of the controller that this one reports to.
func (m *Member) Aggregator() int { return m.selection.aggregator }

// isOwnAggregator says whether this controller has selected itself.
func (m *Member) isOwnAggregator() bool { return m.selection.aggregator == m.options.Self }

// selectAggregator selects the aggregator of the current term, if that has not been done.
func (m *Member) selectAggregator() {
	s := &m.selection
	s.expireEjections(m.now)
	term := int64(m.now / m.options.AggregatorTerm)
	if term == s.term {
		return
	}
	s.term = term
	if term%digestResetTerms == 0 {
		m.membership.members = nil // after a partition both parts count the other as dead: try all members again
	}
	previous := s.aggregator
	s.selectFrom(rankMembers(term, m.options.Controllers), m.options.Self, &m.membership)
	if s.aggregator != previous {
		m.beginSelection()
	}
}

// beginSelection resets what is known of the previous aggregator.
func (m *Member) beginSelection() {
	m.AggregatorChanges++
	m.selection.unansweredReports = 0
	m.selection.since = m.now
	m.trust = aggregatorTrust{}
	m.limits.sequence = 0
	m.limits.incarnation = 0
}

// countUnansweredReport counts a report to the aggregator and ejects it if too many remain unanswered.
func (m *Member) countUnansweredReport(now Time) {
	m.selection.unansweredReports++
	if m.selection.unansweredReports > maxUnansweredReports {
		m.AggregatorsUnresponsive++
		m.eject(now, ejectedAsSilent)
		m.selection.unansweredReports = 1
	}
}

// readmit makes a bypassed member eligible again, as it was heard.
func (m *Member) readmit(number int) {
	if !slices.Contains(m.selection.bypassed, number) {
		return
	}
	delete(m.selection.ejected, number)
	m.membership.markAlive(number)
	m.selection.invalidate()
	m.selectAggregator()
}

// rankMembers returns the numbers of n members in the order in which they are to be the aggregator of a term, by
// rendezvous hashing (Thaler and Ravishankar 1998).
func rankMembers(term int64, n int) []int {
	type rankedMember struct {
		number int
		weight uint64
	}
	ranked := make([]rankedMember, n)
	prefix := binary.LittleEndian.AppendUint64(make([]byte, 0, 16), uint64(term))
	for number := range ranked {
		key := binary.LittleEndian.AppendUint64(prefix, uint64(number))
		ranked[number] = rankedMember{number: number, weight: xxhash.Sum64(key)}
	}
	slices.SortFunc(ranked, func(a, b rankedMember) int { return cmp.Compare(b.weight, a.weight) })
	numbers := make([]int, n)
	for i, member := range ranked {
		numbers[i] = member.number
	}
	return numbers
}
