package cluster

import "context"

const (
	// staleRevisions is how far stale reads lag behind.
	staleRevisions = 3
	// lostResponses is how many responses FaultLostResponses loses.
	lostResponses = 5
	// restoreMarkKey is the key whose write a restore loses, so that no controller stops being desired.
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
			r.logf("%v is not done: %v", f, err) // the history is too short
		}
	default: // no fault of the store
	}
}
