package cluster

import (
	"context"
	"slices"
)

// addProxy registers a proxy and applies the active path faults to it.
func (r *Run) addProxy(p proxy) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.proxies = append(r.proxies, p)
	for f := range r.activePathFaults {
		r.applyLocked(p, f, true)
	}
}

// injectPathFault injects a fault into the network paths between From and To.
func (r *Run) injectPathFault(ctx context.Context, f *Fault) {
	if f.Kind == FaultConnectionReset {
		for _, p := range r.affectedProxies(f) {
			p.reset()
		}
		return
	}
	r.setPathFault(f, true)
	defer r.setPathFault(f, false)
	pause(ctx, f.Duration.D())
}

// setPathFault begins or ends a fault on all proxies that it affects.
func (r *Run) setPathFault(f *Fault, active bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if active {
		r.activePathFaults[f] = true
	} else {
		delete(r.activePathFaults, f)
	}
	for _, p := range r.proxies {
		r.applyLocked(p, f, active)
	}
}

// affectedProxies returns the proxies on the paths of a fault.
func (r *Run) affectedProxies(f *Fault) []proxy {
	r.mu.Lock()
	defer r.mu.Unlock()
	var affected []proxy
	for _, p := range r.proxies {
		if forward, backward := r.affects(f, p.network()); forward || backward {
			affected = append(affected, p)
		}
	}
	return affected
}

// affects reports whether a fault's From and To are the client and server side of a path (forward), or the reverse
// (backward).
func (r *Run) affects(f *Fault, p *networkPath) (forward, backward bool) {
	from, _ := r.options.Topology.Match(f.From) // no error: prepare checked the schedule
	to, _ := r.options.Topology.Match(f.To)
	forward = slices.Contains(from, p.from) && slices.Contains(to, p.to)
	backward = slices.Contains(from, p.to) && slices.Contains(to, p.from)
	return forward, backward
}

// applyLocked begins or ends a fault on a proxy's path. Run.mu is held.
func (r *Run) applyLocked(p proxy, f *Fault, active bool) {
	path := p.network()
	forward, backward := r.affects(f, path)
	if !forward && !backward {
		return
	}
	path.update(func() {
		switch {
		case !active:
			delete(path.impairments[Forward], f)
			delete(path.impairments[Backward], f)
			delete(path.halfOpen, f)
		case f.Kind == FaultHalfOpen:
			path.halfOpen[f] = true
		case f.Kind == FaultOneWayPartition && forward:
			path.impairments[Forward][f] = f.impairment()
		case f.Kind == FaultOneWayPartition:
			path.impairments[Backward][f] = f.impairment()
		default:
			path.impairments[Forward][f] = f.impairment()
			path.impairments[Backward][f] = f.impairment()
		}
	})
}

// impairment returns the fault's effect on traffic.
func (f *Fault) impairment() Impairment {
	switch f.Kind {
	case FaultPartition, FaultOneWayPartition:
		return Impairment{Blocked: true}
	case FaultDelay:
		return Impairment{Delay: f.Latency.D(), Jitter: f.Jitter.D()}
	case FaultDatagramLoss:
		return Impairment{LossRate: f.Fraction}
	case FaultDatagramDuplication:
		return Impairment{DuplicationRate: f.Fraction}
	case FaultReorder:
		return Impairment{Jitter: f.Jitter.D()}
	case FaultBandwidthLimit:
		return Impairment{BytesPerSecond: f.BytesPerSecond}
	default:
		return Impairment{}
	}
}
