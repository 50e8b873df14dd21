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

// A lease expires after its TTL unless it is kept alive. Its keys are deleted when it expires.
type lease struct {
	id      int64
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
}

// Limits of leases.
const (
	maxLeases = 4096
	// maxRequestedTTL is etcd's limit of the TTL that a client may request, in seconds.
	maxRequestedTTL = 9_000_000_000
	// maxTTL bounds the TTL that a lease gets, in seconds: one year.
	maxTTL              = 365 * 24 * 3600
	leaseExpiryInterval = 20 * time.Millisecond
	// ttlOfNoLease is the TTL in the response about a lease that does not exist.
	ttlOfNoLease = -1
)

func (s *Server) now() time.Time { return time.Now().Add(s.clockShift) }

// expireLeases revokes expired leases until the server stops.
func (s *Server) expireLeases(stopped <-chan struct{}) {
	ticker := time.NewTicker(leaseExpiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stopped:
			return
		case <-ticker.C:
			s.mu.Lock()
			s.revokeExpired()
			s.mu.Unlock()
		}
	}
}

// revokeExpired revokes expired leases. Server.mu is held.
func (s *Server) revokeExpired() {
	now := s.now()
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if l := s.leases[id]; now.After(l.expires) {
			s.revoke(l)
		}
	}
}

// revoke deletes a lease and its keys. Server.mu is held.
func (s *Server) revoke(l *lease) {
	c := s.begin()
	for _, key := range slices.Sorted(maps.Keys(l.keys)) {
		c.remove(key)
	}
	delete(s.leases, l.id)
	c.commit()
}

// detachLease detaches a key from its lease. Server.mu is held.
func (s *Server) detachLease(kv *mvccpb.KeyValue) {
	if l := s.leases[kv.Lease]; l != nil {
		delete(l.keys, string(kv.Key))
	}
}

// LeaseGrant implements the Lease service.
func (s *Server) LeaseGrant(_ context.Context, r *pb.LeaseGrantRequest) (*pb.LeaseGrantResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkLeader(); err != nil {
		return nil, err
	}
	id := r.ID
	if id == noLease {
		id = s.newLeaseID()
	}
	switch {
	case s.leases[id] != nil:
		return nil, rpctypes.ErrGRPCLeaseExist
	case r.TTL <= 0 || r.TTL > maxRequestedTTL:
		return nil, rpctypes.ErrGRPCLeaseTTLTooLarge
	case len(s.leases) >= maxLeases:
		return nil, rpctypes.ErrGRPCNoSpace
	}
	ttl := time.Duration(min(r.TTL, maxTTL)) * time.Second
	s.leases[id] = &lease{id: id, ttl: ttl, expires: s.now().Add(ttl), keys: make(map[string]bool)}
	if err := s.loseResponse(); err != nil {
		return nil, err
	}
	return &pb.LeaseGrantResponse{Header: s.header(), ID: id, TTL: r.TTL}, nil
}

// newLeaseID returns an id that no lease has. Server.mu is held.
func (s *Server) newLeaseID() int64 {
	for {
		s.nextLease++
		if s.leases[s.nextLease] == nil {
			return s.nextLease
		}
	}
}

// LeaseRevoke implements the Lease service.
func (s *Server) LeaseRevoke(_ context.Context, r *pb.LeaseRevokeRequest) (*pb.LeaseRevokeResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkLeader(); err != nil {
		return nil, err
	}
	l := s.leases[r.ID]
	if l == nil {
		return nil, rpctypes.ErrGRPCLeaseNotFound
	}
	s.revoke(l)
	return &pb.LeaseRevokeResponse{Header: s.header()}, nil
}

// LeaseKeepAlive implements the Lease service. While keep-alives are ignored it receives requests but does not respond.
func (s *Server) LeaseKeepAlive(stream pb.Lease_LeaseKeepAliveServer) error {
	for {
		r, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		response, err := s.keepAlive(r.ID)
		if err != nil {
			return err
		}
		if response == nil {
			continue
		}
		if err := stream.Send(response); err != nil {
			return err
		}
	}
}

// keepAlive renews a lease. The response is nil while keep-alives are ignored, and has the TTL 0 if the lease does not
// exist.
func (s *Server) keepAlive(id int64) (*pb.LeaseKeepAliveResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkLeader(); err != nil {
		return nil, err
	}
	if s.faults.keepAlivesIgnored {
		return nil, nil
	}
	response := &pb.LeaseKeepAliveResponse{Header: s.header(), ID: id}
	if l := s.leases[id]; l != nil {
		l.expires = s.now().Add(l.ttl)
		response.TTL = int64(l.ttl / time.Second)
	}
	return response, nil
}

// LeaseTimeToLive implements the Lease service.
func (s *Server) LeaseTimeToLive(
	_ context.Context, r *pb.LeaseTimeToLiveRequest,
) (*pb.LeaseTimeToLiveResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	response := &pb.LeaseTimeToLiveResponse{Header: s.header(), ID: r.ID, TTL: ttlOfNoLease}
	l := s.leases[r.ID]
	if l == nil {
		return response, nil
	}
	response.TTL = int64(l.expires.Sub(s.now()) / time.Second)
	response.GrantedTTL = int64(l.ttl / time.Second)
	if r.Keys {
		for _, key := range slices.Sorted(maps.Keys(l.keys)) {
			response.Keys = append(response.Keys, []byte(key))
		}
	}
	return response, nil
}

// LeaseLeases implements the Lease service.
func (s *Server) LeaseLeases(context.Context, *pb.LeaseLeasesRequest) (*pb.LeaseLeasesResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	response := &pb.LeaseLeasesResponse{Header: s.header()}
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		response.Leases = append(response.Leases, &pb.LeaseStatus{ID: id})
	}
	return response, nil
}
