// Package fakeetcd is an in-memory etcd server for tests, written from etcd's published API. It serves the KV, Lease
// and Watch services with a bounded history over gRPC on loopback. It is a single member without replication, and
// stores nothing on disk. Tests inject faults: stalled watches, lost responses, a missing leader, a restore from a
// backup.
package fakeetcd

import (
	"fmt"
	"net"
	"sync"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"google.golang.org/grpc"
)

// A Server is an etcd server of one member. Its methods are safe for concurrent use, except for Serve and Stop, which
// its owner must not call concurrently.
type Server struct {
	pb.UnimplementedKVServer
	pb.UnimplementedWatchServer
	pb.UnimplementedLeaseServer
	server *grpc.Server
	addr   string

	mu         sync.Mutex
	changed    chan struct{} // closed when keys, the history or the faults change
	revision   int64
	compacted  int64 // revision up to which the history is compacted
	clusterID  uint64
	term       uint64
	keys       map[string]*mvccpb.KeyValue
	events     []*mvccpb.Event // the history; each event includes the previous value
	leases     map[int64]*lease
	nextLease  int64
	clockShift time.Duration // offset of the server's clock
	stopped    chan struct{} // closed when the server stops; nil while it is stopped
	faults     faults
}

var (
	_ pb.KVServer    = (*Server)(nil)
	_ pb.WatchServer = (*Server)(nil)
	_ pb.LeaseServer = (*Server)(nil)
)

// memberID is the id of the only member.
const memberID = 1

// Start starts a server on an address; port 0 selects a free one.
func Start(addr string) (*Server, error) {
	s := &Server{
		addr:      addr,
		changed:   make(chan struct{}),
		revision:  1,
		clusterID: 1,
		term:      1,
		keys:      make(map[string]*mvccpb.KeyValue),
		leases:    make(map[int64]*lease),
	}
	if err := s.Serve(); err != nil {
		return nil, err
	}
	return s, nil
}

// Serve starts a stopped server on the same address, with its keys unchanged. Stop ends its goroutines.
func (s *Server) Serve() error {
	listener, err := net.Listen("tcp", s.addr)
	if err != nil {
		return fmt.Errorf("etcd: %w", err)
	}
	s.addr = listener.Addr().String()
	s.server = grpc.NewServer()
	pb.RegisterKVServer(s.server, s)
	pb.RegisterWatchServer(s.server, s)
	pb.RegisterLeaseServer(s.server, s)
	stopped := make(chan struct{})
	s.mu.Lock()
	s.stopped = stopped
	s.mu.Unlock()
	go func() { _ = s.server.Serve(listener) }()
	go s.expireLeases(stopped)
	return nil
}

// Addr returns the address on which the server listens, as host:port.
func (s *Server) Addr() string { return s.addr }

// Stop resets all connections and stops serving.
func (s *Server) Stop() {
	s.mu.Lock()
	if s.stopped != nil {
		close(s.stopped)
		s.stopped = nil
	}
	s.mu.Unlock()
	s.server.Stop()
}

// Set sets a key; a nil value deletes it.
func (s *Server) Set(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.begin()
	if value == nil {
		c.remove(key)
	} else {
		c.put(key, value, noLease)
	}
	c.commit()
}

// Revision returns the current revision.
func (s *Server) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// header returns the header of a response. Server.mu is held.
func (s *Server) header() *pb.ResponseHeader {
	return &pb.ResponseHeader{ClusterId: s.clusterID, MemberId: memberID, Revision: s.revision, RaftTerm: s.term}
}

// notifyWatches wakes the watches. Server.mu is held.
func (s *Server) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}
