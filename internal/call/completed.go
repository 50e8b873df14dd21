package call

import "time"

// completedCallRetention is how long the ids of completed calls are kept, to recognize releases that cross
// each other or are repeated.
const completedCallRetention = 30 * time.Second

// minCompletedCallRetention is how long the id of a call that may have run is kept in any case: no set-up is
// accepted if its id could displace a more recent one. A set-up that is sent again after its connection has
// closed comes within this time, and so does the end of the retry guard.
const minCompletedCallRetention = 5 * time.Second

// expiringIDs is a set of ids with expiry times. It holds a bounded number of entries: if it is full, the
// oldest entry is removed early. Ids must be added in the order of their expiry.
type expiringIDs struct {
	entries    map[string]int // number of entries of queue per id
	queue      []expiringID   // in the order of addition; entries before head have been removed
	head       int
	maxEntries int
}

// An expiringID is an entry of expiringIDs.
type expiringID struct {
	id        string
	expiresAt Time
}

func newExpiringIDs(maxEntries int) *expiringIDs {
	return &expiringIDs{entries: make(map[string]int), maxEntries: maxEntries}
}

// contains reports whether the set contains an id.
func (s *expiringIDs) contains(id string) bool { return s.entries[id] > 0 }

// isFullSince reports whether the set is full and its oldest entry expires at expiresAt or later.
func (s *expiringIDs) isFullSince(expiresAt Time) bool {
	isFull := len(s.queue)-s.head >= s.maxEntries
	return isFull && s.head < len(s.queue) && s.queue[s.head].expiresAt >= expiresAt
}

// add adds an id that expires at the given time. If the set already contains the id, the later expiry
// applies.
func (s *expiringIDs) add(id string, expiresAt Time) {
	queued := len(s.queue) - s.head
	if queued > 0 && queued >= s.maxEntries {
		s.removeOldest()
	}
	s.entries[id]++
	s.queue = append(s.queue, expiringID{id: id, expiresAt: expiresAt})
}

// removeOldest removes the oldest entry and compacts the queue when more than half of it is unused.
func (s *expiringIDs) removeOldest() {
	oldest := &s.queue[s.head]
	s.entries[oldest.id]--
	if s.entries[oldest.id] == 0 {
		delete(s.entries, oldest.id)
	}
	*oldest = expiringID{} // drops the reference to the id
	s.head++
	if s.head > len(s.queue)/2 {
		s.queue = append(s.queue[:0], s.queue[s.head:]...)
		s.head = 0
	}
}

// removeExpired removes the entries that expired before now.
func (s *expiringIDs) removeExpired(now Time) {
	for s.head < len(s.queue) && s.queue[s.head].expiresAt < now {
		s.removeOldest()
	}
}
