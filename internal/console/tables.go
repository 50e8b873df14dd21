package console

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// maxFreshAge is the age above which the data of an instance is marked, unless the instance has ended.
const maxFreshAge = 10 * time.Second

// numberingColumnIndex is the index of the column of numbering tables in the fleet table, if there are any.
const numberingColumnIndex = 3

// fleetTable returns a row for each instance.
func (s *Snapshot) fleetTable() *table {
	columns := []column[Instance]{
		textColumn("INSTANCE", 14, func(i *Instance) cell { return textCell(i.Name) }),
		textColumn("STATE", 9, (*Instance).stateCell),
		numberColumn("AGE", 6, func(i *Instance) cell { return instanceAgeCell(i, s.At) }),
		numberColumn("OFFER/S", 8, func(i *Instance) cell { return rateCell(i.Rates.Offered) }),
		numberColumn("STOOD/S", 8, func(i *Instance) cell { return rateCell(i.Rates.Established) }),
		numberColumn("REFUS/S", 8, func(i *Instance) cell { return faultRateCell(i.Rates.Rejected) }),
		numberColumn("FAIL/S", 7, func(i *Instance) cell { return faultRateCell(i.Rates.Failed) }),
		numberColumn("OPEN", 6, func(i *Instance) cell { return intCell(i.OpenCalls) }),
		numberColumn("STAND", 7, func(i *Instance) cell { return intCell(i.EstablishedCalls) }),
		numberColumn("CUT", 6, func(i *Instance) cell { return countCell(i.Total.Dropped) }),
		numberColumn("LATE", 6, func(i *Instance) cell { return countCell(i.Total.Late) }),
		numberColumn("LOST", 6, func(i *Instance) cell { return faultCountCell(i.LostRecords) }),
		numberColumn("OFFERED", 9, func(i *Instance) cell { return countCell(i.Total.Offered) }),
		numberColumn("STARTS", 7, func(i *Instance) cell { return intCell(i.Starts) }),
	}
	if majority := s.MajorityNumbering(); majority != "" {
		columns = slices.Insert(columns, numberingColumnIndex, numberingColumn(majority))
	}
	return newTable(s.Instances, func(i *Instance) string { return i.Name }, columns)
}

func (i *Instance) stateCell() cell { return textCell(i.State.String()).markedIf(i.State.isFault()) }

func numberingColumn(majority string) column[Instance] {
	return textColumn("NUMBERS", 8, func(i *Instance) cell {
		return textCell(shortDigest(i.NumberingDigest)).markedIf(i.hasOtherNumbering(majority))
	})
}

func instanceAgeCell(i *Instance, now time.Time) cell {
	age := now.Sub(i.Seen)
	if i.Seen.IsZero() {
		age = 0
	}
	return ageCell(age).markedIf(age > maxFreshAge && i.State != StateEnded)
}

// A serverScope says whether a table shows the servers as the fleet or as one instance knows them.
type serverScope int

// The scopes of a server table.
const (
	scopeFleet serverScope = iota
	scopeInstance
)

// String implements fmt.Stringer.
func (s serverScope) String() string {
	if s == scopeInstance {
		return "instance"
	}
	return "fleet"
}

// serverTable returns a row for each server.
func serverTable(servers []Server, scope serverScope) *table {
	limitedBy := (*Server).limitedByCell
	if scope == scopeInstance {
		limitedBy = (*Server).isLimitedCell
	}
	return newTable(servers, func(s *Server) string { return s.Name }, []column[Server]{
		textColumn("SERVER", 22, func(s *Server) cell { return textCell(s.Name) }),
		numberColumn("POOL", 4, func(s *Server) cell { return intCell(s.Pool) }),
		textColumn("PHASE", 7, (*Server).phaseCell),
		numberColumn("CEILING", 8, (*Server).rateLimitCell),
		textColumn("PRESSED", 8, limitedBy),
		numberColumn("TRIES/S", 8, func(s *Server) cell { return rateCell(s.AttemptRate) }),
		numberColumn("TRIES", 9, func(s *Server) cell { return countCell(s.Attempts) }),
		numberColumn("STOOD", 9, func(s *Server) cell { return countCell(s.Established) }),
		numberColumn("CUT", 6, func(s *Server) cell { return faultCountCell(s.Dropped) }),
	})
}

func (s *Server) phaseCell() cell {
	if s.InSlowStart {
		return textCell("cold").markedIf(true)
	}
	return textCell(s.Phase.String()).markedIf(s.Phase != phaseActive && s.Phase != "")
}

func (s *Server) rateLimitCell() cell {
	if !s.isLimited() {
		return cell{text: "none", key: math.Inf(1)}
	}
	return rateCell(s.RateLimit).markedIf(true)
}

func (s *Server) isLimitedCell() cell {
	if !s.isLimited() {
		return cell{text: "-", key: 0}
	}
	return cell{text: "yes", key: 1, isFault: true}
}

func (s *Server) limitedByCell() cell {
	return cell{
		text:    fmt.Sprintf("%d of %d", s.LimitedBy, s.KnownBy),
		key:     float64(s.LimitedBy),
		isFault: s.LimitedBy > 0,
	}
}

// classTable returns a row for each class of calls.
func classTable(classes []Class) *table {
	return newTable(classes, func(c *Class) string { return c.Name }, []column[Class]{
		textColumn("CLASS", 16, func(c *Class) cell { return textCell(c.Name) }),
		numberColumn("OFFER/S", 8, func(c *Class) cell { return rateCell(c.Rates.Offered) }),
		numberColumn("STOOD/S", 8, func(c *Class) cell { return rateCell(c.Rates.Established) }),
		numberColumn("REFUS/S", 8, func(c *Class) cell { return faultRateCell(c.Rates.Rejected) }),
		numberColumn("FAIL/S", 7, func(c *Class) cell { return faultRateCell(c.Rates.Failed) }),
		numberColumn("OFFERED", 9, func(c *Class) cell { return countCell(c.Offered) }),
		numberColumn("STOOD", 9, func(c *Class) cell { return countCell(c.Established) }),
		numberColumn("LATE", 7, func(c *Class) cell { return countCell(c.Late) }),
		numberColumn("REFUSED", 8, func(c *Class) cell { return countCell(c.Rejected) }),
		numberColumn("FAILED", 7, func(c *Class) cell { return countCell(c.Failed) }),
		numberColumn("GAVE UP", 7, func(c *Class) cell { return countCell(c.Abandoned) }),
		numberColumn("CUT", 6, func(c *Class) cell { return countCell(c.Dropped) }),
	})
}

// eventTable returns a row for each event.
func eventTable(events []Event) *table {
	return newTable(events, func(e *Event) string { return e.Instance + e.Server }, []column[Event]{
		textColumn("AT", 12, func(e *Event) cell { return timeCell(e.At) }),
		textColumn("INSTANCE", 12, func(e *Event) cell { return textCell(e.Instance) }),
		textColumn("WHAT", 18, func(e *Event) cell { return textCell(e.Kind.String()).markedIf(e.IsFault) }),
		textColumn("SERVER", 14, func(e *Event) cell { return textCell(e.Server) }),
		textColumn("ACCOUNT", 60, func(e *Event) cell { return textCell(e.Text) }),
	})
}

// callTable returns a row for each call.
func callTable(calls []Call) *table {
	return newTable(calls, (*Call).key, []column[Call]{
		textColumn("CALL", 16, func(c *Call) cell { return textCell(c.ID) }),
		textColumn("AT", 12, func(c *Call) cell { return timeCell(c.At) }),
		textColumn("INSTANCE", 9, func(c *Call) cell { return textCell(c.Instance) }),
		textColumn("SERVER", 10, func(c *Call) cell { return textCell(c.Server) }),
		textColumn("OUTCOME", 17, func(c *Call) cell { return textCell(c.Outcome).markedIf(c.isFault()) }),
		numberColumn("TOOK", 9, (*Call).tookCell),
		textColumn("CLASS", 10, func(c *Call) cell { return textCell(c.Class) }),
		numberColumn("TRIES", 5, func(c *Call) cell { return intCell(c.Attempts) }),
	})
}

func (c *Call) tookCell() cell {
	if c.Outcome == outcomeOpen {
		return cell{text: "-", key: c.Took.Seconds()}
	}
	milliseconds := float64(c.Took) / float64(time.Millisecond)
	return cell{text: fmt.Sprintf("%.1fms", milliseconds), key: c.Took.Seconds()}
}

// faultlessOutcomes are the outcomes, and the prefixes of outcomes, that are no fault: an open call, an established
// call, and its normal ends.
var faultlessOutcomes = struct{ whole, prefixes []string }{
	whole:    []string{outcomeOpen, "stood"},
	prefixes: []string{"stood, completed", "stood, caller"},
}

// isFault reports whether the call was not established or was dropped.
func (c *Call) isFault() bool {
	if slices.Contains(faultlessOutcomes.whole, c.Outcome) {
		return false
	}
	hasPrefix := func(prefix string) bool { return strings.HasPrefix(c.Outcome, prefix) }
	return !slices.ContainsFunc(faultlessOutcomes.prefixes, hasPrefix)
}
