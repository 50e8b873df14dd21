package overload

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the state that a member keeps about servers.
const (
	maxServers        = 64 // servers that a member measures
	serverRetention   = 60 * time.Second
	maxPending        = 16 // pending set-ups of a server whose age is measured
	setupTimeLifetime = 2500 * time.Millisecond
)

// serverKeyMask truncates the hash of a server's id to 24 bits.
const serverKeyMask = 0xffffff

// ServerKey returns the key that identifies a server in messages: a hash of its id.
func ServerKey(server string) uint32 { return uint32(xxhash.Sum64String(server) & serverKeyMask) }

// A serverView holds a member's measurements of a server and the limit that its aggregator set.
type serverView struct {
	id           string
	sample       serverSample // counts since the previous report; takeSample sets the wait
	pendingSince []Time       // when the pending set-ups were sent, oldest first
	setupTime    Time         // smoothed set-up time of answers; 0: none yet
	setupTimeAt  Time         // when the latest answer was received
	claim        claimCheck
	lastUsedAt   Time
	limit        serverLimit
	limitedUntil Time // when the limit expires
	throttled    int  // calls throttled by a limit
}

// hasLimit reports whether a limit is in force.
func (v *serverView) hasLimit(now Time) bool { return now < v.limitedUntil }

// setLimit puts a limit in force until a time.
func (v *serverView) setLimit(limit serverLimit, until Time) {
	v.limit = limit
	v.limitedUntil = until
}

// removeLimit ends the limit at once.
func (v *serverView) removeLimit() { v.limitedUntil = 0 }

// addPending records that a set-up was sent.
func (v *serverView) addPending(now Time) {
	if len(v.pendingSince) < maxPending {
		v.pendingSince = append(v.pendingSince, now)
	}
}

// removePending records that the set-up sent at a time has ended. If no set-up was sent at exactly that time, as the
// caller may use a different clock, the oldest one is removed.
func (v *serverView) removePending(sentAt Time) {
	if i := slices.Index(v.pendingSince, sentAt); i >= 0 {
		v.pendingSince = slices.Delete(v.pendingSince, i, i+1)
	} else if len(v.pendingSince) > 0 {
		v.pendingSince = v.pendingSince[1:]
	}
}

// recordAnswer counts an answer and updates the smoothed set-up time.
func (v *serverView) recordAnswer(now, setupTime Time) {
	v.sample.answered++
	if v.setupTime == 0 || now-v.setupTimeAt > setupTimeLifetime {
		v.setupTime = setupTime
	} else {
		v.setupTime += (setupTime - v.setupTime) / 2
	}
	v.setupTimeAt = now
	v.claim = claimCheck{measured: setupTime, measuredAt: now}
}

// recentSetupTime returns the smoothed set-up time, or 0 if there was no recent answer.
func (v *serverView) recentSetupTime(now Time) Time {
	if v.setupTime > 0 && now-v.setupTimeAt < setupTimeLifetime {
		return v.setupTime
	}
	return 0
}

// takeSample returns the measurements since the previous call and resets the counts.
func (v *serverView) takeSample(now Time) serverSample {
	sample := v.sample
	sample.wait = unitsOf(v.recentSetupTime(now))
	if len(v.pendingSince) > 0 {
		sample.wait = max(sample.wait, unitsOf(now-v.pendingSince[0]))
	}
	sample.wait = min(sample.wait, maxWait)
	v.resetCounts()
	return sample
}

func (v *serverView) resetCounts() { v.sample = serverSample{key: v.sample.key} }

// reset discards the counts, the set-up time and the limit.
func (v *serverView) reset() {
	v.resetCounts()
	v.setupTime = 0
	v.removeLimit()
}

// hasActivity reports whether the sample is worth reporting.
func (s *serverSample) hasActivity() bool {
	return s.offered != [priorityCount]int{} || s.overflow > 0 || s.answered > 0 || s.wait > 0
}

// A serverTable holds the servers that a member measures.
type serverTable struct {
	byID  map[string]*serverView
	byKey map[uint32]*serverView
}

func newServerTable() serverTable {
	return serverTable{byID: make(map[string]*serverView), byKey: make(map[uint32]*serverView)}
}

// add adds a server. It returns nil if the table is full or another server has the same key; the server is then not
// measured.
func (t *serverTable) add(now Time, id string) *serverView {
	if len(t.byID) >= maxServers {
		t.removeUnused(now)
	}
	key := ServerKey(id)
	if len(t.byID) >= maxServers || t.byKey[key] != nil {
		return nil
	}
	v := &serverView{id: id, sample: serverSample{key: key}}
	t.byID[id] = v
	t.byKey[key] = v
	return v
}

// removeUnused removes servers that have no pending set-ups and have not been used for serverRetention.
func (t *serverTable) removeUnused(now Time) {
	for id, v := range t.byID {
		if len(v.pendingSince) == 0 && now-v.lastUsedAt > serverRetention {
			delete(t.byID, id)
			delete(t.byKey, v.sample.key)
		}
	}
}

func (t *serverTable) resetAll() {
	for _, v := range t.byID {
		v.reset()
	}
}

func (t *serverTable) removeLimits() {
	for _, v := range t.byID {
		v.removeLimit()
	}
}

// lookupServer returns the view of a server, adding it if needed. It returns nil if the server cannot be measured.
func (m *Member) lookupServer(id string) *serverView {
	v := m.servers.byID[id]
	if v == nil {
		v = m.servers.add(m.now, id)
		if v == nil {
			return nil
		}
		// The latest update may have a limit for the server: if a controller has few calls, it uses most servers for
		// the first time during an overload.
		if limit, found := m.limits.find(v.sample.key); found {
			v.setLimit(limit, m.limits.until)
		}
	}
	v.lastUsedAt = m.now
	return v
}
