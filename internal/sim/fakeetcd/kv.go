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
	if err := s.ready(); err != nil && !r.Serializable {
		return nil, err
	}
	if r.Serializable && s.faults.stale > 0 && r.Revision == 0 { // of a member that lags
		r.Revision = max(s.revision-s.faults.stale, s.compacted, 1)
		out, err := s.read(r)
		if err == nil {
			out.Header.Revision = r.Revision
		}
		return out, err
	}
	return s.read(r)
}

// read answers a Range; the lock is held.
func (s *Server) read(r *pb.RangeRequest) (*pb.RangeResponse, error) {
	if len(r.Key) == 0 {
		return nil, rpctypes.ErrGRPCEmptyKey
	}
	keys := s.keys
	if r.Revision > 0 {
		var err error
		if keys, err = s.at(r.Revision); err != nil {
			return nil, err
		}
	}
	all := slices.DeleteFunc(slices.Collect(maps.Values(keys)), func(kv *mvccpb.KeyValue) bool {
		return !within(kv.Key, r.Key, r.RangeEnd)
	})
	out := &pb.RangeResponse{Header: s.header(), Count: int64(len(all))}
	all = slices.DeleteFunc(all, func(kv *mvccpb.KeyValue) bool {
		return kv.ModRevision < r.MinModRevision || r.MaxModRevision > 0 && kv.ModRevision > r.MaxModRevision ||
			kv.CreateRevision < r.MinCreateRevision || r.MaxCreateRevision > 0 && kv.CreateRevision > r.MaxCreateRevision
	})
	slices.SortFunc(all, byKey)
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
		}
		return byKey(a, b)
	})
	if out.More = r.Limit > 0 && int64(len(all)) > r.Limit; out.More {
		all = all[:r.Limit]
	}
	switch {
	case r.CountOnly:
		out.More = false
	case r.KeysOnly:
		for _, kv := range all {
			out.Kvs = append(out.Kvs, &mvccpb.KeyValue{Key: kv.Key, CreateRevision: kv.CreateRevision, ModRevision: kv.ModRevision, Version: kv.Version, Lease: kv.Lease})
		}
	default:
		out.Kvs = all
	}
	return out, nil
}

// write has a transaction done, and its answer get lost if it is to be.
func (s *Server) write(f func(t *change) error) error {
	if err := s.ready(); err != nil {
		return err
	}
	t := s.begin()
	if err := f(t); err != nil {
		return err // nothing was done: what can fail is looked at first
	}
	t.end()
	return s.lost()
}

// Put implements the KV service.
func (s *Server) Put(_ context.Context, r *pb.PutRequest) (out *pb.PutResponse, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	err = s.write(func(t *change) error {
		if err := s.puts(r); err != nil {
			return err
		}
		out = t.putAs(r)
		return nil
	})
	if err != nil {
		return nil, err
	}
	out.Header = s.header()
	return out, nil
}

// puts tells why a Put cannot be done.
func (s *Server) puts(r *pb.PutRequest) error {
	switch {
	case len(r.Key) == 0:
		return rpctypes.ErrGRPCEmptyKey
	case r.IgnoreValue && len(r.Value) > 0:
		return rpctypes.ErrGRPCValueProvided
	case r.IgnoreLease && r.Lease != 0:
		return rpctypes.ErrGRPCLeaseProvided
	case (r.IgnoreValue || r.IgnoreLease) && s.keys[string(r.Key)] == nil:
		return rpctypes.ErrGRPCKeyNotFound
	case r.Lease != 0 && s.leases[r.Lease] == nil:
		return rpctypes.ErrGRPCLeaseNotFound
	}
	return nil
}

func (c *change) putAs(r *pb.PutRequest) *pb.PutResponse {
	value, to := r.Value, r.Lease
	if old := c.s.keys[string(r.Key)]; old != nil {
		if r.IgnoreValue {
			value = old.Value
		}
		if r.IgnoreLease {
			to = old.Lease
		}
	}
	out := &pb.PutResponse{}
	if old := c.put(string(r.Key), value, to); r.PrevKv {
		out.PrevKv = old
	}
	return out
}

// DeleteRange implements the KV service.
func (s *Server) DeleteRange(_ context.Context, r *pb.DeleteRangeRequest) (out *pb.DeleteRangeResponse, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	err = s.write(func(t *change) error {
		if len(r.Key) == 0 {
			return rpctypes.ErrGRPCEmptyKey
		}
		out = t.removeAs(r)
		return nil
	})
	if err != nil {
		return nil, err
	}
	out.Header = s.header()
	return out, nil
}

func (c *change) removeAs(r *pb.DeleteRangeRequest) *pb.DeleteRangeResponse {
	out := &pb.DeleteRangeResponse{}
	for _, key := range slices.Sorted(maps.Keys(c.s.keys)) {
		if !within([]byte(key), r.Key, r.RangeEnd) {
			continue
		}
		out.Deleted++
		if old := c.remove(key); r.PrevKv {
			out.PrevKvs = append(out.PrevKvs, old)
		}
	}
	return out
}

// Compact implements the KV service.
func (s *Server) Compact(_ context.Context, r *pb.CompactionRequest) (*pb.CompactionResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.noLeader:
		return nil, s.ready()
	case r.Revision > s.revision:
		return nil, rpctypes.ErrGRPCFutureRev
	case r.Revision <= s.compacted:
		return nil, rpctypes.ErrGRPCCompacted
	}
	s.compact(r.Revision)
	s.touch()
	return &pb.CompactionResponse{Header: s.header()}, nil
}

// Txn implements the KV service.
func (s *Server) Txn(_ context.Context, r *pb.TxnRequest) (out *pb.TxnResponse, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	err = s.write(func(t *change) error {
		put := make(map[string]bool)
		if err := cmp.Or(s.txns(r.Success, put), s.txns(r.Failure, make(map[string]bool))); err != nil {
			return err
		}
		out, err = t.txn(r)
		return err
	})
	if err != nil {
		return nil, err
	}
	out.Header = s.header()
	return out, nil
}

// mostOps bounds a transaction, as etcd does.
const mostOps = 128

// txns tells why operations cannot be done: above all a key that is put twice.
func (s *Server) txns(ops []*pb.RequestOp, put map[string]bool) error {
	if len(ops) > mostOps {
		return rpctypes.ErrGRPCTooManyOps
	}
	for _, op := range ops {
		switch r := op.Request.(type) {
		case *pb.RequestOp_RequestPut:
			if err := s.puts(r.RequestPut); err != nil {
				return err
			}
			key := string(r.RequestPut.Key)
			if put[key] {
				return rpctypes.ErrGRPCDuplicateKey
			}
			put[key] = true
		case *pb.RequestOp_RequestTxn:
			if err := cmp.Or(s.txns(r.RequestTxn.Success, maps.Clone(put)), s.txns(r.RequestTxn.Failure, maps.Clone(put))); err != nil {
				return err
			}
		case *pb.RequestOp_RequestRange:
			if len(r.RequestRange.Key) == 0 {
				return rpctypes.ErrGRPCEmptyKey
			}
			if n := r.RequestRange.Revision; n > s.revision {
				return rpctypes.ErrGRPCFutureRev
			} else if n > 0 && n < s.compacted {
				return rpctypes.ErrGRPCCompacted
			}
		case *pb.RequestOp_RequestDeleteRange:
			if len(r.RequestDeleteRange.Key) == 0 {
				return rpctypes.ErrGRPCEmptyKey
			}
		}
	}
	return nil
}

func (c *change) txn(r *pb.TxnRequest) (*pb.TxnResponse, error) {
	out := &pb.TxnResponse{Succeeded: !slices.ContainsFunc(r.Compare, func(x *pb.Compare) bool { return !c.s.holds(x) })}
	ops := r.Failure
	if out.Succeeded {
		ops = r.Success
	}
	for _, op := range ops {
		var one pb.ResponseOp
		switch r := op.Request.(type) {
		case *pb.RequestOp_RequestRange:
			got, err := c.s.read(r.RequestRange)
			if err != nil {
				return nil, err
			}
			one.Response = &pb.ResponseOp_ResponseRange{ResponseRange: got}
		case *pb.RequestOp_RequestPut:
			one.Response = &pb.ResponseOp_ResponsePut{ResponsePut: c.putAs(r.RequestPut)}
		case *pb.RequestOp_RequestDeleteRange:
			one.Response = &pb.ResponseOp_ResponseDeleteRange{ResponseDeleteRange: c.removeAs(r.RequestDeleteRange)}
		case *pb.RequestOp_RequestTxn:
			got, err := c.txn(r.RequestTxn)
			if err != nil {
				return nil, err
			}
			one.Response = &pb.ResponseOp_ResponseTxn{ResponseTxn: got}
		}
		out.Responses = append(out.Responses, &one)
	}
	return out, nil
}

// holds tells whether a comparison does, for every key that it is about; a key that is not there has
// noughts, and no value that anything could be compared with.
func (s *Server) holds(x *pb.Compare) bool {
	compare := func(kv *mvccpb.KeyValue) bool {
		n := 0
		switch x.Target {
		case pb.Compare_VERSION:
			n = cmp.Compare(kv.Version, x.GetVersion())
		case pb.Compare_CREATE:
			n = cmp.Compare(kv.CreateRevision, x.GetCreateRevision())
		case pb.Compare_MOD:
			n = cmp.Compare(kv.ModRevision, x.GetModRevision())
		case pb.Compare_LEASE:
			n = cmp.Compare(kv.Lease, x.GetLease())
		case pb.Compare_VALUE:
			if kv.Key == nil {
				return false
			}
			n = bytes.Compare(kv.Value, x.GetValue())
		}
		switch x.Result {
		case pb.Compare_EQUAL:
			return n == 0
		case pb.Compare_NOT_EQUAL:
			return n != 0
		case pb.Compare_GREATER:
			return n > 0
		}
		return n < 0
	}
	found := false
	for _, kv := range s.keys {
		if within(kv.Key, x.Key, x.RangeEnd) {
			if found = true; !compare(kv) {
				return false
			}
		}
	}
	return found || compare(&mvccpb.KeyValue{})
}
