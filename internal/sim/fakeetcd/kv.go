package fakeetcd

import (
	"bytes"
	"cmp"
	"context"
	"maps"
	"slices"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
)

// Range implements the KV service.
func (s *Server) Range(_ context.Context, r *pb.RangeRequest) (*pb.RangeResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkLeader(); err != nil && !r.Serializable {
		return nil, err
	}
	isStale := r.Serializable && s.faults.staleRevisions > 0 && r.Revision == 0
	if !isStale {
		return s.read(r)
	}
	r.Revision = max(s.revision-s.faults.staleRevisions, s.compacted, 1)
	response, err := s.read(r)
	if err != nil {
		return nil, err
	}
	response.Header.Revision = r.Revision
	return response, nil
}

// read answers a range request. Server.mu is held.
func (s *Server) read(r *pb.RangeRequest) (*pb.RangeResponse, error) {
	if len(r.Key) == 0 {
		return nil, rpctypes.ErrGRPCEmptyKey
	}
	keys := s.keys
	if r.Revision > 0 {
		var err error
		if keys, err = s.keysAt(r.Revision); err != nil {
			return nil, err
		}
	}
	found := slices.DeleteFunc(slices.Collect(maps.Values(keys)), func(kv *mvccpb.KeyValue) bool {
		return !inRange(kv.Key, r.Key, r.RangeEnd)
	})
	response := &pb.RangeResponse{Header: s.header(), Count: int64(len(found))}
	found = slices.DeleteFunc(found, func(kv *mvccpb.KeyValue) bool { return !inRevisionBounds(r, kv) })
	sortKeys(r, found)
	isLimited := r.Limit > 0 && int64(len(found)) > r.Limit
	if isLimited {
		found = found[:r.Limit]
	}
	if r.CountOnly {
		return response, nil
	}
	response.More = isLimited
	response.Kvs = found
	if r.KeysOnly {
		response.Kvs = withoutValues(found)
	}
	return response, nil
}

// inRevisionBounds reports whether the revisions of a key are within the bounds of a request.
func inRevisionBounds(r *pb.RangeRequest, kv *mvccpb.KeyValue) bool {
	switch {
	case kv.ModRevision < r.MinModRevision, kv.CreateRevision < r.MinCreateRevision:
		return false
	case r.MaxModRevision > 0 && kv.ModRevision > r.MaxModRevision:
		return false
	case r.MaxCreateRevision > 0 && kv.CreateRevision > r.MaxCreateRevision:
		return false
	}
	return true
}

// sortKeys sorts by the target of the request, and by key where that is equal.
func sortKeys(r *pb.RangeRequest, all []*mvccpb.KeyValue) {
	slices.SortFunc(all, compareKeys)
	slices.SortStableFunc(all, func(a, b *mvccpb.KeyValue) int {
		if r.SortOrder == pb.RangeRequest_DESCEND {
			a, b = b, a
		}
		switch r.SortTarget {
		case pb.RangeRequest_VERSION:
			return cmp.Compare(a.Version, b.Version)
		case pb.RangeRequest_CREATE:
			return cmp.Compare(a.CreateRevision, b.CreateRevision)
		case pb.RangeRequest_MOD:
			return cmp.Compare(a.ModRevision, b.ModRevision)
		case pb.RangeRequest_VALUE:
			return bytes.Compare(a.Value, b.Value)
		default:
			return compareKeys(a, b)
		}
	})
}

func compareKeys(a, b *mvccpb.KeyValue) int { return bytes.Compare(a.Key, b.Key) }

// withoutValues returns copies of the keys without their values.
func withoutValues(all []*mvccpb.KeyValue) []*mvccpb.KeyValue {
	var keys []*mvccpb.KeyValue
	for _, kv := range all {
		keys = append(keys, &mvccpb.KeyValue{
			Key:            kv.Key,
			CreateRevision: kv.CreateRevision,
			ModRevision:    kv.ModRevision,
			Version:        kv.Version,
			Lease:          kv.Lease,
		})
	}
	return keys
}

// write applies a change, and returns an error if its response is to be lost. apply must check everything that can fail
// before it changes anything. Server.mu is held.
func (s *Server) write(apply func(c *change) error) error {
	if err := s.checkLeader(); err != nil {
		return err
	}
	c := s.begin()
	if err := apply(c); err != nil {
		return err
	}
	c.commit()
	return s.loseResponse()
}

// Put implements the KV service.
func (s *Server) Put(_ context.Context, r *pb.PutRequest) (*pb.PutResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var response *pb.PutResponse
	err := s.write(func(c *change) error {
		if err := s.checkPut(r); err != nil {
			return err
		}
		response = c.applyPut(r)
		return nil
	})
	if err != nil {
		return nil, err
	}
	response.Header = s.header()
	return response, nil
}

// checkPut returns an error if a put cannot be applied.
func (s *Server) checkPut(r *pb.PutRequest) error {
	switch {
	case len(r.Key) == 0:
		return rpctypes.ErrGRPCEmptyKey
	case r.IgnoreValue && len(r.Value) > 0:
		return rpctypes.ErrGRPCValueProvided
	case r.IgnoreLease && r.Lease != noLease:
		return rpctypes.ErrGRPCLeaseProvided
	case (r.IgnoreValue || r.IgnoreLease) && s.keys[string(r.Key)] == nil:
		return rpctypes.ErrGRPCKeyNotFound
	case r.Lease != noLease && s.leases[r.Lease] == nil:
		return rpctypes.ErrGRPCLeaseNotFound
	}
	return nil
}

func (c *change) applyPut(r *pb.PutRequest) *pb.PutResponse {
	value, leaseID := r.Value, r.Lease
	if previous := c.server.keys[string(r.Key)]; previous != nil {
		if r.IgnoreValue {
			value = previous.Value
		}
		if r.IgnoreLease {
			leaseID = previous.Lease
		}
	}
	response := &pb.PutResponse{}
	previous := c.put(string(r.Key), value, leaseID)
	if r.PrevKv {
		response.PrevKv = previous
	}
	return response
}

// DeleteRange implements the KV service.
func (s *Server) DeleteRange(_ context.Context, r *pb.DeleteRangeRequest) (*pb.DeleteRangeResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var response *pb.DeleteRangeResponse
	err := s.write(func(c *change) error {
		if len(r.Key) == 0 {
			return rpctypes.ErrGRPCEmptyKey
		}
		response = c.applyDelete(r)
		return nil
	})
	if err != nil {
		return nil, err
	}
	response.Header = s.header()
	return response, nil
}

func (c *change) applyDelete(r *pb.DeleteRangeRequest) *pb.DeleteRangeResponse {
	response := &pb.DeleteRangeResponse{}
	for _, key := range slices.Sorted(maps.Keys(c.server.keys)) {
		if !inRange([]byte(key), r.Key, r.RangeEnd) {
			continue
		}
		response.Deleted++
		previous := c.remove(key)
		if r.PrevKv {
			response.PrevKvs = append(response.PrevKvs, previous)
		}
	}
	return response
}

// Compact implements the KV service.
func (s *Server) Compact(_ context.Context, r *pb.CompactionRequest) (*pb.CompactionResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkLeader(); err != nil {
		return nil, err
	}
	switch {
	case r.Revision > s.revision:
		return nil, rpctypes.ErrGRPCFutureRev
	case r.Revision <= s.compacted:
		return nil, rpctypes.ErrGRPCCompacted
	}
	s.compact(r.Revision)
	s.notifyWatches()
	return &pb.CompactionResponse{Header: s.header()}, nil
}
