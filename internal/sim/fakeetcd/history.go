package fakeetcd

import (
	"maps"

	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
)

// maxEvents bounds the number of events in the history. Older ones are compacted.
const maxEvents = 4096

// noLease is the lease id of keys without a lease.
const noLease = 0

// compact removes the events up to a revision from the history. Server.mu is held.
func (s *Server) compact(revision int64) {
	s.compacted = max(s.compacted, revision)
	for len(s.events) > 0 && s.events[0].Kv.ModRevision <= revision {
		s.events = s.events[1:]
	}
}

// keysAt returns the keys at a revision. Server.mu is held.
func (s *Server) keysAt(revision int64) (map[string]*mvccpb.KeyValue, error) {
	switch {
	case revision > s.revision:
		return nil, rpctypes.ErrGRPCFutureRev
	case revision < s.compacted:
		return nil, rpctypes.ErrGRPCCompacted
	}
	keys := maps.Clone(s.keys)
	for i := len(s.events) - 1; i >= 0 && s.events[i].Kv.ModRevision > revision; i-- {
		e := s.events[i]
		if e.PrevKv == nil {
			delete(keys, string(e.Kv.Key))
		} else {
			keys[string(e.Kv.Key)] = e.PrevKv
		}
	}
	return keys, nil
}

// A change is a transaction, whose events all have the same revision.
type change struct {
	server *Server
	events []*mvccpb.Event
}

// begin starts a change. Server.mu must be held until commit.
func (s *Server) begin() *change { return &change{server: s} }

// put sets a key, attaches it to a lease and returns its previous value.
func (c *change) put(key string, value []byte, leaseID int64) *mvccpb.KeyValue {
	s := c.server
	revision := s.revision + 1
	kv := &mvccpb.KeyValue{
		Key:            []byte(key),
		Value:          value,
		ModRevision:    revision,
		CreateRevision: revision,
		Version:        1,
		Lease:          leaseID,
	}
	previous := s.keys[key]
	if previous != nil {
		kv.CreateRevision = previous.CreateRevision
		kv.Version = previous.Version + 1
		s.detachLease(previous)
	}
	s.keys[key] = kv
	if l := s.leases[leaseID]; l != nil {
		l.keys[key] = true
	}
	c.events = append(c.events, &mvccpb.Event{Type: mvccpb.PUT, Kv: kv, PrevKv: previous})
	return previous
}

// remove deletes a key and returns its previous value, or nil if there is no such key.
func (c *change) remove(key string) *mvccpb.KeyValue {
	s := c.server
	previous := s.keys[key]
	if previous == nil {
		return nil
	}
	delete(s.keys, key)
	s.detachLease(previous)
	tombstone := &mvccpb.KeyValue{Key: []byte(key), ModRevision: s.revision + 1}
	c.events = append(c.events, &mvccpb.Event{Type: mvccpb.DELETE, Kv: tombstone, PrevKv: previous})
	return previous
}

// commit adds the events to the history as one revision, if there are any.
func (c *change) commit() {
	if len(c.events) == 0 {
		return
	}
	s := c.server
	s.revision++
	s.events = append(s.events, c.events...)
	if n := len(s.events) - maxEvents; n > 0 {
		s.compact(s.events[n-1].Kv.ModRevision)
	}
	s.notifyWatches()
}

// inRange reports whether a key is in a range as the API defines it: without an end the range has the key first only,
// and the end "\x00" means all keys from first on.
func inRange(key, first, end []byte) bool {
	k := string(key)
	isOpenEnded := len(end) == 1 && end[0] == 0
	switch {
	case len(end) == 0:
		return k == string(first)
	case isOpenEnded:
		return k >= string(first)
	default:
		return k >= string(first) && k < string(end)
	}
}
