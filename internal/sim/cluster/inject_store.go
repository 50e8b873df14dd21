package cluster

import "context"

const (
	// staleRevisions is the number of revisions by which stale reads lag behind.
	staleRevisions = 3
	// lostResponses is the number of responses that FaultLostResponses loses.
	lostResponses = 5
	// restoreMarkKey is written just before a restore, so that the restore undoes this write and not the write of a
	// desired controller.
	restoreMarkKey = "/rig/mark"
)

// injectStoreFault injects a fault into the store.
func (r *Run) injectStoreFault(ctx context.Context, f *Fault) {
	applyForDuration := func(set func(active bool)) {
		set(true)
		pause(ctx, f.Duration.D())
		set(false)
	}
	switch f.Kind {
	case FaultWatchStall:
		applyForDuration(r.etcd.StallWatches)
	case FaultNoLeader:
		applyForDuration(r.etcd.SetNoLeader)
	case FaultKeepAliveLoss:
		applyForDuration(r.etcd.IgnoreKeepAlives)
	case FaultStaleReads:
		r.etcd.SetStaleReads(staleRevisions)
		pause(ctx, f.Duration.D())
		r.etcd.SetStaleReads(0)
	case FaultLostResponses:
		r.etcd.LoseResponses(lostResponses)
		pause(ctx, f.Duration.D())
		r.etcd.LoseResponses(0)
	case FaultCompaction:
		r.etcd.CompactAll()
	case FaultRestore:
		r.etcd.Set(restoreMarkKey, []byte(f.String()))
		if err := r.etcd.Restore(r.etcd.Revision()-1, true); err != nil {
			r.logf("%v failed: %v", f, err) // the history is too short
		}
	default: // no fault of the store
	}
}
