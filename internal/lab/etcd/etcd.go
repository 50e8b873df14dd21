// Package etcd is a stand-in for etcd: Range and Watch over a small history of its own, by the
// published API, on loopback. It keeps nothing on disk and forgets its history when it is told to.
package etcd

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"google.golang.org/grpc"
)

// A Server is one. Its methods may be called from anywhere.
type Server struct {
	pb.UnimplementedKVServer
	pb.UnimplementedWatchServer
	mu        sync.Mutex
	changed   chan struct{} // closed at a change
	revision  int64
	compacted int64
	keys      map[string]*mvccpb.KeyValue
	events    []*mvccpb.Event
	server    *grpc.Server
	addr      string
}

// mostEvents bounds the history; what is older is compacted.
const mostEvents = 4096

// Start serves on an address; port 0 takes a free one.
func Start(addr string) (*Server, error) {
	s := &Server{changed: make(chan struct{}), revision: 1, keys: make(map[string]*mvccpb.KeyValue), addr: addr}
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
	go func() { _ = s.server.Serve(ln) }()
	return nil
}

// Addr is where it serves.
func (s *Server) Addr() string { return s.addr }

// Stop resets all connections.
func (s *Server) Stop() { s.server.Stop() }

// Set sets a key; a nil value deletes it.
func (s *Server) Set(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	kv := &mvccpb.KeyValue{Key: []byte(key), Value: value, ModRevision: s.revision}
	e := &mvccpb.Event{Type: mvccpb.PUT, Kv: kv}
	if value == nil {
		e.Type = mvccpb.DELETE
		delete(s.keys, key)
	} else {
		s.keys[key] = kv
	}
	if s.events = append(s.events, e); len(s.events) > mostEvents {
		s.compacted = s.events[0].Kv.ModRevision
		s.events = slices.Delete(s.events, 0, 1)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Forget compacts the history; watches that are behind it are told so.
func (s *Server) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.events = nil
}

// Range implements the KV service: keys of a range, in their order.
func (s *Server) Range(_ context.Context, r *pb.RangeRequest) (*pb.RangeResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &pb.RangeResponse{Header: &pb.ResponseHeader{Revision: s.revision}}
	for _, kv := range s.keys {
		key := string(kv.Key)
		if key == string(r.Key) || len(r.RangeEnd) > 0 && key >= string(r.Key) && key < string(r.RangeEnd) {
			out.Kvs = append(out.Kvs, kv)
		}
	}
	slices.SortFunc(out.Kvs, func(a, b *mvccpb.KeyValue) int { return strings.Compare(string(a.Key), string(b.Key)) })
	out.Count = int64(len(out.Kvs))
	return out, nil
}

// Watch implements the Watch service, one watch a stream.
func (s *Server) Watch(stream pb.Watch_WatchServer) error {
	r, err := stream.Recv()
	if err != nil {
		return err
	}
	create := r.GetCreateRequest()
	from := create.GetStartRevision()
	if err := stream.Send(&pb.WatchResponse{Header: &pb.ResponseHeader{Revision: from}, Created: true}); err != nil {
		return err
	}
	wanted := func(kv *mvccpb.KeyValue) bool {
		key, first, end := string(kv.Key), string(create.GetKey()), string(create.GetRangeEnd())
		return key == first || end != "" && key >= first && key < end
	}
	for {
		s.mu.Lock()
		changed, compacted := s.changed, s.compacted
		out := &pb.WatchResponse{Header: &pb.ResponseHeader{Revision: s.revision}}
		for _, e := range s.events {
			if e.Kv.ModRevision >= from && wanted(e.Kv) {
				out.Events = append(out.Events, e)
			}
		}
		next := s.revision + 1
		s.mu.Unlock()
		if from <= compacted {
			return stream.Send(&pb.WatchResponse{Header: out.Header, Canceled: true, CompactRevision: compacted + 1})
		}
		if len(out.Events) > 0 {
			if err := stream.Send(out); err != nil {
				return err
			}
		}
		from = next
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-changed:
		}
	}
}
