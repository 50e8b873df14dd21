package portability

import "slices"

// lookup is the look-up of a number on behalf of all calls that wait for its result.
type lookup struct {
	number       string
	queryID      uint16 // of the last query
	server       int    // of the last query; -1: no query has been sent
	tries        int    // number of queries sent
	queryTimeout Time   // time at which the last query times out
	waiters      []waiter
}

// waiter is a call that waits for the result of a look-up until its deadline.
type waiter struct {
	call     string
	deadline Time
}

// removeWaiter removes the waiter of a call.
func (l *lookup) removeWaiter(call string) {
	l.waiters = slices.DeleteFunc(l.waiters, func(w waiter) bool { return w.call == call })
}

// removeExpired removes the waiters whose deadline has passed and returns them.
func (l *lookup) removeExpired(now Time) []waiter {
	var expired []waiter
	l.waiters = slices.DeleteFunc(l.waiters, func(w waiter) bool {
		isExpired := now >= w.deadline
		if isExpired {
			expired = append(expired, w)
		}
		return isExpired
	})
	return expired
}

// nextDeadline returns the earliest time at which the query times out or the deadline of a waiter passes.
func (l *lookup) nextDeadline() Time {
	next := l.queryTimeout
	for _, w := range l.waiters {
		next = min(next, w.deadline)
	}
	return next
}

// lookupTable indexes the open look-ups by number, by the ID of the last query and by waiting call.
type lookupTable struct {
	byNumber map[string]*lookup
	byID     map[uint16]*lookup
	byCall   map[string]*lookup
}

func newLookupTable() lookupTable {
	return lookupTable{
		byNumber: make(map[string]*lookup),
		byID:     make(map[uint16]*lookup),
		byCall:   make(map[string]*lookup),
	}
}

// add adds a look-up of a number. It has no query and no waiters yet.
func (t *lookupTable) add(number string) *lookup {
	l := &lookup{number: number, server: -1}
	t.byNumber[number] = l
	return l
}

func (t *lookupTable) addWaiter(l *lookup, w waiter) {
	l.waiters = append(l.waiters, w)
	t.byCall[w.call] = l
}

// setQueryID sets the ID of the current query of a look-up. The previous query must have been removed.
func (t *lookupTable) setQueryID(l *lookup, id uint16) {
	l.queryID = id
	t.byID[id] = l
}

// removeQuery removes the current query of a look-up from the index. Its answer counts as unmatched from now on.
func (t *lookupTable) removeQuery(l *lookup) {
	if l.tries > 0 {
		delete(t.byID, l.queryID)
	}
}

// remove removes a look-up and its waiters.
func (t *lookupTable) remove(l *lookup) {
	t.removeQuery(l)
	delete(t.byNumber, l.number)
	for _, w := range l.waiters {
		delete(t.byCall, w.call)
	}
}

// sorted returns all look-ups, sorted by query ID.
func (t *lookupTable) sorted() []*lookup {
	all := make([]*lookup, 0, len(t.byNumber))
	for _, l := range t.byNumber {
		all = append(all, l)
	}
	slices.SortFunc(all, func(a, b *lookup) int { return int(a.queryID) - int(b.queryID) })
	return all
}
