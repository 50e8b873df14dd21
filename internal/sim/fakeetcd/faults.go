package fakeetcd

import (
	"time"

	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// faults are the active faults.
type faults struct {
	watchesStalled    bool  // watches are accepted but deliver nothing, without an error
	noLeader          bool  // requests fail, and watches that require a leader end
	keepAlivesIgnored bool  // keep-alive requests get no response, and leases are not renewed
	staleRevisions    int64 // number of revisions by which serializable reads are behind
	lostResponses     int   // number of writes to come whose responses are lost
}

// setFaults changes the active faults.
func (s *Server) setFaults(change func(*faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
	s.notifyWatches()
}

// StallWatches makes watches deliver nothing, without an error, while on is true.
func (s *Server) StallWatches(on bool) { s.setFaults(func(f *faults) { f.watchesStalled = on }) }

// SetNoLeader makes requests fail with the error that there is no leader, while on is true.
func (s *Server) SetNoLeader(on bool) {
	s.setFaults(func(f *faults) {
		f.noLeader = on
		s.term++
	})
}

// IgnoreKeepAlives makes keep-alive requests have no effect and get no response while on is true.
func (s *Server) IgnoreKeepAlives(on bool) { s.setFaults(func(f *faults) { f.keepAlivesIgnored = on }) }

// SetStaleReads makes serializable reads return the state of the given number of revisions ago, as a lagging member
// does.
func (s *Server) SetStaleReads(revisions int64) {
	s.setFaults(func(f *faults) { f.staleRevisions = revisions })
}

// LoseResponses drops the responses to the next n writes. The writes take effect.
func (s *Server) LoseResponses(n int) { s.setFaults(func(f *faults) { f.lostResponses = n }) }

// CompactAll compacts the whole history. Watches that have not received all of it get an error.
func (s *Server) CompactAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compact(s.revision)
	s.notifyWatches()
}

// AdvanceClock advances the server's clock, by which leases expire.
func (s *Server) AdvanceClock(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clockShift += d
	s.revokeExpired()
}

// Restore returns to the state at an earlier revision, as a restore from a backup does: the current revision decreases,
// all leases are gone, and with newCluster the cluster has another id. Connections are reset.
func (s *Server) Restore(revision int64, newCluster bool) error {
	if err := s.resetTo(revision, newCluster); err != nil {
		return err
	}
	s.Stop()
	return s.Serve()
}

func (s *Server) resetTo(revision int64, newCluster bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys, err := s.keysAt(revision)
	if err != nil {
		return err
	}
	s.keys = keys
	s.revision = revision
	s.compacted = min(s.compacted, revision)
	s.events = nil
	s.leases = make(map[int64]*lease)
	if newCluster {
		s.clusterID++
	}
	return nil
}

// checkLeader returns an error if there is no leader. Server.mu is held.
func (s *Server) checkLeader() error {
	if s.faults.noLeader {
		return rpctypes.ErrGRPCNoLeader
	}
	return nil
}

// loseResponse returns an error in place of the response to a write if the response is to be lost. Server.mu is held.
func (s *Server) loseResponse() error {
	if s.faults.lostResponses == 0 {
		return nil
	}
	s.faults.lostResponses--
	return status.Error(codes.Unavailable, "the response was lost")
}
