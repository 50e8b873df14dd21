package incident

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Kinds of findings. They are values in the JSON form of a report, so their wording does not change.
const (
	FoundOverload     = "server under pressure"
	FoundRejections   = "calls turned away"
	FoundDropped      = "calls cut"
	FoundDrain        = "drain"
	FoundLateSend     = "sent to a server after the news"
	FoundCold         = "cold start"
	FoundColdOverload = "cold server pushed"
	FoundKilled       = "instance ended without a word"
	FoundGap          = "records lost"
	FoundStep         = "clock set"
	FoundSkew         = "clocks differ"
	FoundUnanswered   = "set-ups without an answer"
)

// Bounds of the lists of a finding.
const (
	maxNotices        = 64
	maxRefs           = 64
	maxUnansweredRefs = 16
)

// A Finding is one event of an incident, detected by a rule.
type Finding struct {
	Kind       string
	Server     string
	Instance   string
	From, To   Moment // To is From for an event without a duration
	Ongoing    bool   // it was not over at the end of the records
	IsFault    bool   // a rule is broken or service was lost; otherwise the finding is informational
	Text       string
	Noticed    []Notice
	Refs       []Ref // records that it is based on
	Incomplete bool  // records of that time are lost
}

// A Notice says when one instance noticed the event of a finding.
type Notice struct {
	Instance           string
	At                 Moment
	MinDelay, MaxDelay time.Duration // after the first notice
	Order              Order         // relative to the first notice
	End                Moment
	Ongoing            bool
	MinRate            float64 // lowest rate limit, attempts per second
}

// addRef adds references to records unless the list is full.
func (f *Finding) addRef(refs ...Ref) {
	if len(f.Refs) < maxRefs {
		f.Refs = append(f.Refs, refs...)
	}
}

// findAll applies all rules and sorts the findings by time.
func (r *Report) findAll(parts []*Part) {
	r.findOverload(parts)
	r.findSurges()
	r.findDrains(parts)
	r.findColdStarts(parts)
	r.findLosses(parts)
	r.findClockFaults()
	byTime := func(a, b Finding) int { return compareMid(a.From, b.From) }
	slices.SortStableFunc(r.Findings, byTime)
	if n := len(r.Findings) - maxFindings; n > 0 {
		// Informational findings are dropped before faults.
		slices.SortStableFunc(r.Findings, func(a, b Finding) int {
			return cmp.Compare(faultRank(a), faultRank(b))
		})
		r.OmittedEntries += uint64(n)
		r.Findings = r.Findings[:maxFindings]
		slices.SortStableFunc(r.Findings, byTime)
	}
}

// faultRank sorts faults first.
func faultRank(f Finding) int {
	if f.IsFault {
		return 0
	}
	return 1
}

func (r *Report) add(f Finding) { r.Findings = append(r.Findings, f) }

// formatCount formats a count, as a lower bound if records are lost.
func formatCount(n uint64, incomplete bool) string {
	if incomplete {
		return fmt.Sprintf("at least %d", n)
	}
	return fmt.Sprint(n)
}
