package fakeetcd

import (
	"bytes"
	"cmp"
	"context"
	"maps"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
)

// maxTxnOps bounds the operations of a transaction, as in etcd.
const maxTxnOps = 128

// Txn implements the KV service.
func (s *Server) Txn(_ context.Context, r *pb.TxnRequest) (*pb.TxnResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var response *pb.TxnResponse
	err := s.write(func(c *change) error {
		if err := s.checkBranches(r, nil); err != nil {
			return err
		}
		var err error
		response, err = c.applyTxn(r)
		return err
	})
	if err != nil {
		return nil, err
	}
	response.Header = s.header()
	return response, nil
}

// checkBranches returns an error if one of the two branches of a transaction cannot be applied. put has the keys that
// the enclosing transactions put.
func (s *Server) checkBranches(r *pb.TxnRequest, put map[string]bool) error {
	for _, branch := range [][]*pb.RequestOp{r.Success, r.Failure} {
		branchPut := make(map[string]bool)
		maps.Copy(branchPut, put)
		if err := s.checkOps(branch, branchPut); err != nil {
			return err
		}
	}
	return nil
}

// checkOps returns an error if operations cannot be applied, for instance because they put a key twice. It adds the
// keys that they put to put.
func (s *Server) checkOps(ops []*pb.RequestOp, put map[string]bool) error {
	if len(ops) > maxTxnOps {
		return rpctypes.ErrGRPCTooManyOps
	}
	for _, op := range ops {
		if err := s.checkOp(op, put); err != nil {
			return err
		}
	}
	return nil
}

func (s *Server) checkOp(op *pb.RequestOp, put map[string]bool) error {
	switch r := op.Request.(type) {
	case *pb.RequestOp_RequestPut:
		if err := s.checkPut(r.RequestPut); err != nil {
			return err
		}
		key := string(r.RequestPut.Key)
		if put[key] {
			return rpctypes.ErrGRPCDuplicateKey
		}
		put[key] = true
	case *pb.RequestOp_RequestTxn:
		return s.checkBranches(r.RequestTxn, put)
	case *pb.RequestOp_RequestRange:
		return s.checkRange(r.RequestRange)
	case *pb.RequestOp_RequestDeleteRange:
		if len(r.RequestDeleteRange.Key) == 0 {
			return rpctypes.ErrGRPCEmptyKey
		}
	}
	return nil
}

func (s *Server) checkRange(r *pb.RangeRequest) error {
	switch {
	case len(r.Key) == 0:
		return rpctypes.ErrGRPCEmptyKey
	case r.Revision > s.revision:
		return rpctypes.ErrGRPCFutureRev
	case r.Revision > 0 && r.Revision < s.compacted:
		return rpctypes.ErrGRPCCompacted
	}
	return nil
}

// applyTxn evaluates the comparisons of a transaction and applies the branch that they select.
func (c *change) applyTxn(r *pb.TxnRequest) (*pb.TxnResponse, error) {
	response := &pb.TxnResponse{Succeeded: true}
	for _, comparison := range r.Compare {
		if !c.server.isTrue(comparison) {
			response.Succeeded = false
			break
		}
	}
	branch := r.Failure
	if response.Succeeded {
		branch = r.Success
	}
	for _, op := range branch {
		result, err := c.applyOp(op)
		if err != nil {
			return nil, err
		}
		response.Responses = append(response.Responses, result)
	}
	return response, nil
}

func (c *change) applyOp(op *pb.RequestOp) (*pb.ResponseOp, error) {
	switch r := op.Request.(type) {
	case *pb.RequestOp_RequestRange:
		result, err := c.server.read(r.RequestRange)
		if err != nil {
			return nil, err
		}
		return &pb.ResponseOp{Response: &pb.ResponseOp_ResponseRange{ResponseRange: result}}, nil
	case *pb.RequestOp_RequestPut:
		result := c.applyPut(r.RequestPut)
		return &pb.ResponseOp{Response: &pb.ResponseOp_ResponsePut{ResponsePut: result}}, nil
	case *pb.RequestOp_RequestDeleteRange:
		result := c.applyDelete(r.RequestDeleteRange)
		return &pb.ResponseOp{Response: &pb.ResponseOp_ResponseDeleteRange{ResponseDeleteRange: result}}, nil
	case *pb.RequestOp_RequestTxn:
		result, err := c.applyTxn(r.RequestTxn)
		if err != nil {
			return nil, err
		}
		return &pb.ResponseOp{Response: &pb.ResponseOp_ResponseTxn{ResponseTxn: result}}, nil
	default:
		return &pb.ResponseOp{}, nil
	}
}

// isTrue reports whether a comparison is true for every key in its range. A range without keys is compared like a key
// that does not exist: its revisions and its version are 0.
func (s *Server) isTrue(comparison *pb.Compare) bool {
	hasKeys := false
	for _, kv := range s.keys {
		if !inRange(kv.Key, comparison.Key, comparison.RangeEnd) {
			continue
		}
		hasKeys = true
		if !isTrueOf(comparison, kv) {
			return false
		}
	}
	return hasKeys || isTrueOf(comparison, &mvccpb.KeyValue{})
}

// isTrueOf reports whether a comparison is true for one key. Comparisons of the value of a missing key are false.
func isTrueOf(comparison *pb.Compare, kv *mvccpb.KeyValue) bool {
	exists := kv.Key != nil
	if comparison.Target == pb.Compare_VALUE && !exists {
		return false
	}
	order := compareWith(comparison, kv)
	switch comparison.Result {
	case pb.Compare_EQUAL:
		return order == 0
	case pb.Compare_NOT_EQUAL:
		return order != 0
	case pb.Compare_GREATER:
		return order > 0
	default: // pb.Compare_LESS
		return order < 0
	}
}

// compareWith compares a property of a key with the operand of a comparison.
func compareWith(comparison *pb.Compare, kv *mvccpb.KeyValue) int {
	switch comparison.Target {
	case pb.Compare_VERSION:
		return cmp.Compare(kv.Version, comparison.GetVersion())
	case pb.Compare_CREATE:
		return cmp.Compare(kv.CreateRevision, comparison.GetCreateRevision())
	case pb.Compare_MOD:
		return cmp.Compare(kv.ModRevision, comparison.GetModRevision())
	case pb.Compare_LEASE:
		return cmp.Compare(kv.Lease, comparison.GetLease())
	case pb.Compare_VALUE:
		return bytes.Compare(kv.Value, comparison.GetValue())
	default:
		return 0
	}
}
