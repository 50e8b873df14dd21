package overload

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the selection of an aggregator.
const (
	// maxUnansweredReports is the number of unanswered reports after which the aggregator is ejected. At a loss rate of
	// three datagrams in ten, one run of unanswered reports in 1,400 is longer.
	maxUnansweredReports = 6
	maxBypassed          = 8 // number of higher-ranked members that are probed
	digestResetTerms     = 4 // interval, in terms, at which all members become eligible again
)

// noTerm is the term of a selection that has been invalidated.
const noTerm = -1

// An aggregatorSelection is a member's choice of its aggregator.
type aggregatorSelection struct {
	aggregator        int // number of the selected member
	since             Time
	term              int64 // term for which the aggregator was selected
	ejected           map[int]ejection
	bypassed          []int // higher-ranked members that were not selected, except those ejected as wrong
	unansweredReports int
	lastContactAt     Time // when a message from the aggregator was last received; 0: never
}

func newAggregatorSelection(now Time) aggregatorSelection {
	return aggregatorSelection{since: now, term: noTerm, ejected: make(map[int]ejection)}
}

// invalidate makes the next call of selectAggregator select again.
func (s *aggregatorSelection) invalidate() { s.term = noTerm }

// recordContact records that a message from the aggregator was received.
func (s *aggregatorSelection) recordContact(now Time) {
	s.unansweredReports = 0
	s.lastContactAt = now
}

// expireEjections makes members eligible again whose ejection has expired.
func (s *aggregatorSelection) expireEjections(now Time) {
	for number, e := range s.ejected {
		if now >= e.until {
			delete(s.ejected, number)
			s.invalidate()
		}
	}
}

// selectFrom selects the first of the ranked members that may be alive and is not ejected; self is always eligible.
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

// isOwnAggregator reports whether this controller has selected itself as its aggregator.
func (m *Member) isOwnAggregator() bool { return m.selection.aggregator == m.options.Self }

// selectAggregator selects the aggregator of the current term unless a valid selection for it exists.
func (m *Member) selectAggregator() {
	s := &m.selection
	s.expireEjections(m.now)
	term := int64(m.now / m.options.AggregatorTerm)
	if term == s.term {
		return
	}
	s.term = term
	if term%digestResetTerms == 0 {
		m.membership.members = nil // after a partition each part considers the other dead: try all members again
	}
	previous := s.aggregator
	s.selectFrom(rankMembers(term, m.options.Controllers), m.options.Self, &m.membership)
	if s.aggregator != previous {
		m.resetAggregatorState()
	}
}

// resetAggregatorState discards the state that belongs to the previous aggregator.
func (m *Member) resetAggregatorState() {
	m.AggregatorChanges++
	m.selection.unansweredReports = 0
	m.selection.since = m.now
	m.trust = aggregatorTrust{}
	m.limits.sequence = 0
	m.limits.incarnation = 0
}

// countUnansweredReport counts a report to the aggregator and ejects the aggregator if too many are unanswered.
func (m *Member) countUnansweredReport(now Time) {
	m.selection.unansweredReports++
	if m.selection.unansweredReports > maxUnansweredReports {
		m.AggregatorsUnresponsive++
		m.eject(now, ejectedAsUnresponsive)
		m.selection.unansweredReports = 1
	}
}

// readmitBypassed makes a bypassed member eligible again after a message from it was received.
func (m *Member) readmitBypassed(number int) {
	if !slices.Contains(m.selection.bypassed, number) {
		return
	}
	delete(m.selection.ejected, number)
	m.membership.markAlive(number)
	m.selection.invalidate()
	m.selectAggregator()
}

// rankMembers returns the numbers of n members in their order of preference as the aggregator of a term, by rendezvous
// hashing (Thaler and Ravishankar 1998).
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
