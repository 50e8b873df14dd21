// Package etcd is a stand-in for etcd, by its published API alone: KV, Lease and Watch over a bounded
// history, on loopback gRPC. It is one member that keeps nothing on disk, and it goes wrong as it is
// told to: watches that stall, answers that get lost, a leader that is away, a restore from backup.
package fakeetcd

import (
	"cmp"
	"fmt"
	"net"
	"sync"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// A Server is one. Its methods may be called from anywhere.
type Server struct {
	pb.UnimplementedKVServer
	pb.UnimplementedWatchServer
	pb.UnimplementedLeaseServer
	server *grpc.Server
	addr   string

	mu        sync.Mutex
	changed   chan struct{} // closed at a change, and when faults change
	revision  int64
	compacted int64
	cluster   uint64
	term      uint64
	keys      map[string]*mvccpb.KeyValue
	events    []*mvccpb.Event // each with what was there before
	leases    map[int64]*lease
	nextLease int64
	ahead     time.Duration // its clock is so much ahead
	stop      chan struct{} // closed: it does not serve
	faults    faults
}

// faults are what goes wrong now.
type faults struct {
	stalled   bool  // watches are accepted and bring nothing, without an error
	noLeader  bool  // requests fail, watches that ask for a leader end
	muteLease bool  // leases are not kept alive, and nobody is told
	stale     int64 // serializable reads are so many revisions behind
	lose      int   // so many answers to writes that took hold are lost
}

// mostEvents bounds the history; what is older is compacted.
const mostEvents = 4096

// Start serves on an address; port 0 takes a free one.
func Start(addr string) (*Server, error) {
	s := &Server{changed: make(chan struct{}), revision: 1, cluster: 1, term: 1, keys: make(map[string]*mvccpb.KeyValue), leases: make(map[int64]*lease), addr: addr}
	if err := s.Serve(); err != nil {
		return nil, err
	}
	return s, nil
}

// Serve serves again after Stop, on the same address, with what it holds.
func (s *Server) Serve() error {
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		return fmt.Errorf("etcd: %w", err)
	}
	s.addr = ln.Addr().String()
	s.server = grpc.NewServer()
	pb.RegisterKVServer(s.server, s)
	pb.RegisterWatchServer(s.server, s)
	pb.RegisterLeaseServer(s.server, s)
	stop := make(chan struct{})
	s.mu.Lock()
	s.stop = stop
	s.mu.Unlock()
	go func() { _ = s.server.Serve(ln) }()
	go s.clock(stop)
	return nil
}

// Addr is where it serves.
func (s *Server) Addr() string { return s.addr }

// Stop resets all connections.
func (s *Server) Stop() {
	s.mu.Lock()
	if s.stop != nil {
		close(s.stop)
		s.stop = nil
	}
	s.mu.Unlock()
	s.server.Stop()
}

// Set sets a key; a nil value deletes it.
func (s *Server) Set(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.begin()
	if value == nil {
		t.remove(key)
	} else {
		t.put(key, value, 0)
	}
	t.end()
}

// Forget compacts the history; watches that are behind it are told so.
func (s *Server) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compact(s.revision)
	s.touch()
}

// compact forgets what was before a revision.
func (s *Server) compact(revision int64) {
	s.compacted = max(s.compacted, revision)
	for len(s.events) > 0 && s.events[0].Kv.ModRevision <= revision {
		s.events = s.events[1:]
	}
}

// touch wakes watches.
func (s *Server) touch() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// fault changes what goes wrong.
func (s *Server) fault(f func(*faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.faults)
	s.touch()
}

// Stall has watches bring nothing, without an error, until it is taken back.
func (s *Server) Stall(on bool) { s.fault(func(f *faults) { f.stalled = on }) }

// NoLeader has requests fail for want of a leader, until one is elected again.
func (s *Server) NoLeader(on bool) {
	s.fault(func(f *faults) {
		f.noLeader = on
		s.term++
	})
}

// MuteLeases has leases not be kept alive, though nobody is told: those of clients who trust them end.
func (s *Server) MuteLeases(on bool) { s.fault(func(f *faults) { f.muteLease = on }) }

// Stale has serializable reads tell what was so many revisions ago, as a member does that lags.
func (s *Server) Stale(revisions int64) { s.fault(func(f *faults) { f.stale = revisions }) }

// LoseAnswers has the answers to the next n writes get lost, though they take hold.
func (s *Server) LoseAnswers(n int) { s.fault(func(f *faults) { f.lose = n }) }

// Advance moves its clock, by which leases end.
func (s *Server) Advance(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ahead += d
	s.expire()
}

// Revision is that of now.
func (s *Server) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Restore goes back to what was at a revision, as a restore from a backup does: the revision is lower
// from then on, leases are gone, and the cluster is another if anew. Watches end without a word.
func (s *Server) Restore(revision int64, anew bool) error {
	s.mu.Lock()
	keys, err := s.at(revision)
	if err != nil {
		s.mu.Unlock()
		return err
	}
	s.keys, s.revision, s.events, s.leases = keys, revision, nil, make(map[int64]*lease)
	s.compacted = min(s.compacted, revision)
	if anew {
		s.cluster++
	}
	s.mu.Unlock()
	s.Stop()
	return s.Serve()
}

// header of an answer; the lock is held.
func (s *Server) header() *pb.ResponseHeader {
	return &pb.ResponseHeader{ClusterId: s.cluster, MemberId: 1, Revision: s.revision, RaftTerm: s.term}
}

// ready tells why nothing can be asked now.
func (s *Server) ready() error {
	if s.faults.noLeader {
		return rpctypes.ErrGRPCNoLeader
	}
	return nil
}

// lost takes the answer to a write away, if it is one that is to get lost.
func (s *Server) lost() error {
	if s.faults.lose == 0 {
		return nil
	}
	s.faults.lose--
	return status.Error(codes.Unavailable, "the answer was lost on its way")
}

// at is what was there at a revision; the lock is held.
func (s *Server) at(revision int64) (map[string]*mvccpb.KeyValue, error) {
	switch {
	case revision > s.revision:
		return nil, rpctypes.ErrGRPCFutureRev
	case revision < s.compacted:
		return nil, rpctypes.ErrGRPCCompacted
	}
	keys := make(map[string]*mvccpb.KeyValue, len(s.keys))
	for k, v := range s.keys {
		keys[k] = v
	}
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

// A change is one transaction: all that it does has one revision.
type change struct {
	s      *Server
	events []*mvccpb.Event
}

func (s *Server) begin() *change { return &change{s: s} }

// put sets a key, and ties it to a lease (0: to none).
func (c *change) put(key string, value []byte, to int64) (old *mvccpb.KeyValue) {
	s := c.s
	old = s.keys[key]
	kv := &mvccpb.KeyValue{Key: []byte(key), Value: value, ModRevision: s.revision + 1, CreateRevision: s.revision + 1, Version: 1, Lease: to}
	if old != nil {
		kv.CreateRevision, kv.Version = old.CreateRevision, old.Version+1
		s.untie(old)
	}
	s.keys[key] = kv
	if l := s.leases[to]; l != nil {
		l.keys[key] = true
	}
	c.events = append(c.events, &mvccpb.Event{Type: mvccpb.PUT, Kv: kv, PrevKv: old})
	return old
}

func (c *change) remove(key string) (old *mvccpb.KeyValue) {
	s := c.s
	if old = s.keys[key]; old == nil {
		return nil
	}
	delete(s.keys, key)
	s.untie(old)
	c.events = append(c.events, &mvccpb.Event{Type: mvccpb.DELETE, Kv: &mvccpb.KeyValue{Key: []byte(key), ModRevision: s.revision + 1}, PrevKv: old})
	return old
}

// end makes what was done one revision, if anything was.
func (c *change) end() {
	s := c.s
	if len(c.events) == 0 {
		return
	}
	s.revision++
	s.events = append(s.events, c.events...)
	if n := len(s.events) - mostEvents; n > 0 {
		s.compact(s.events[n-1].Kv.ModRevision)
	}
	s.touch()
}

// within tells whether a key lies in a range as etcd writes them: an end of nothing is the key alone,
// of one nought byte all from there on.
func within(key, first, end []byte) bool {
	k := string(key)
	switch {
	case len(end) == 0:
		return k == string(first)
	case len(end) == 1 && end[0] == 0:
		return k >= string(first)
	}
	return k >= string(first) && k < string(end)
}

func byKey(a, b *mvccpb.KeyValue) int { return cmp.Compare(string(a.Key), string(b.Key)) }

var (
	_ pb.KVServer    = (*Server)(nil)
	_ pb.WatchServer = (*Server)(nil)
	_ pb.LeaseServer = (*Server)(nil)
)
