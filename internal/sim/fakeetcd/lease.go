package fakeetcd

import (
	"context"
	"errors"
	"io"
	"maps"
	"slices"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
)

// A lease is what keys are tied to.
type lease struct {
	id   int64
	ttl  time.Duration
	ends time.Time
	keys map[string]bool
}

// mostLeases bounds them.
const mostLeases = 4096

func (s *Server) now() time.Time { return time.Now().Add(s.ahead) }

// clock ends leases whose time is over.
func (s *Server) clock(stop <-chan struct{}) {
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}
}

// expire ends leases; the lock is held.
func (s *Server) expire() {
	now := s.now()
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if l := s.leases[id]; now.After(l.ends) {
			s.revoke(l)
		}
	}
}

func (s *Server) revoke(l *lease) {
	t := s.begin()
	for _, key := range slices.Sorted(maps.Keys(l.keys)) {
		t.remove(key)
	}
	delete(s.leases, l.id)
	t.end()
}

// untie takes a key off its lease.
func (s *Server) untie(kv *mvccpb.KeyValue) {
	if l := s.leases[kv.Lease]; l != nil {
		delete(l.keys, string(kv.Key))
	}
}

// LeaseGrant implements the Lease service.
func (s *Server) LeaseGrant(_ context.Context, r *pb.LeaseGrantRequest) (*pb.LeaseGrantResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.ready(); err != nil {
		return nil, err
	}
	id := r.ID
	for id == 0 || r.ID == 0 && s.leases[id] != nil {
		s.nextLease++
		id = s.nextLease
	}
	switch {
	case s.leases[id] != nil:
		return nil, rpctypes.ErrGRPCLeaseExist
	case r.TTL <= 0 || r.TTL > 9_000_000_000:
		return nil, rpctypes.ErrGRPCLeaseTTLTooLarge
	case len(s.leases) >= mostLeases:
		return nil, rpctypes.ErrGRPCNoSpace
	}
	ttl := time.Duration(min(r.TTL, 3600*24*365)) * time.Second
	s.leases[id] = &lease{id: id, ttl: ttl, ends: s.now().Add(ttl), keys: make(map[string]bool)}
	if err := s.lost(); err != nil {
		return nil, err
	}
	return &pb.LeaseGrantResponse{Header: s.header(), ID: id, TTL: r.TTL}, nil
}

// LeaseRevoke implements the Lease service.
func (s *Server) LeaseRevoke(_ context.Context, r *pb.LeaseRevokeRequest) (*pb.LeaseRevokeResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.ready(); err != nil {
		return nil, err
	}
	l := s.leases[r.ID]
	if l == nil {
		return nil, rpctypes.ErrGRPCLeaseNotFound
	}
	s.revoke(l)
	return &pb.LeaseRevokeResponse{Header: s.header()}, nil
}

// LeaseKeepAlive implements the Lease service. While leases are mute it takes requests and says nothing.
func (s *Server) LeaseKeepAlive(stream pb.Lease_LeaseKeepAliveServer) error {
	for {
		r, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		s.mu.Lock()
		if err := s.ready(); err != nil {
			s.mu.Unlock()
			return err
		}
		out := &pb.LeaseKeepAliveResponse{Header: s.header(), ID: r.ID} // no time left: there is none
		mute := s.faults.muteLease
		if l := s.leases[r.ID]; l != nil && !mute {
			l.ends = s.now().Add(l.ttl)
			out.TTL = int64(l.ttl / time.Second)
		}
		s.mu.Unlock()
		if mute {
			continue
		}
		if err := stream.Send(out); err != nil {
			return err
		}
	}
}

// LeaseTimeToLive implements the Lease service.
func (s *Server) LeaseTimeToLive(_ context.Context, r *pb.LeaseTimeToLiveRequest) (*pb.LeaseTimeToLiveResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &pb.LeaseTimeToLiveResponse{Header: s.header(), ID: r.ID, TTL: -1}
	if l := s.leases[r.ID]; l != nil {
		out.TTL, out.GrantedTTL = int64(l.ends.Sub(s.now())/time.Second), int64(l.ttl/time.Second)
		if r.Keys {
			for _, key := range slices.Sorted(maps.Keys(l.keys)) {
				out.Keys = append(out.Keys, []byte(key))
			}
		}
	}
	return out, nil
}

// LeaseLeases implements the Lease service.
func (s *Server) LeaseLeases(context.Context, *pb.LeaseLeasesRequest) (*pb.LeaseLeasesResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &pb.LeaseLeasesResponse{Header: s.header()}
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		out.Leases = append(out.Leases, &pb.LeaseStatus{ID: id})
	}
	return out, nil
}
