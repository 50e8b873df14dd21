package fakeetcd

import (
	"context"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
)

const (
	// progressInterval is the time without an event after which a watch gets a progress notification. In etcd it is
	// ten minutes.
	progressInterval = 500 * time.Millisecond
	// fragmentBytes is the size from which events are sent in fragments. In etcd it is 1.5 MiB.
	fragmentBytes = 1 << 10
)

// A watch delivers the events of a range of keys.
type watch struct {
	stream  *watchStream
	id      int64
	next    int64 // first revision that has not been delivered
	request *pb.WatchCreateRequest
}

// run delivers events until the watch ends.
func (w *watch) run(ctx context.Context) {
	for {
		b := w.collect()
		if !b.stalled && !w.deliver(b) {
			return
		}
		var progress <-chan time.Time
		if w.request.ProgressNotify && !b.stalled {
			progress = time.After(progressInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-b.changed:
		case <-progress:
			notification := &pb.WatchResponse{Header: w.stream.header(), WatchId: w.id}
			if w.stream.send(notification) != nil {
				return
			}
		}
	}
}

// A batch is the pending output of a watch.
type batch struct {
	response  *pb.WatchResponse
	next      int64 // first revision after the batch
	compacted bool  // events that have not been delivered are compacted
	stalled   bool
	changed   <-chan struct{} // closed when the server changes
}

// collect returns the events that are to be delivered now.
func (w *watch) collect() batch {
	s := w.stream.server
	s.mu.Lock()
	defer s.mu.Unlock()
	b := batch{
		response:  &pb.WatchResponse{Header: s.header(), WatchId: w.id},
		next:      max(s.revision+1, w.next),
		compacted: w.next <= s.compacted,
		stalled:   s.faults.watchesStalled,
		changed:   s.changed,
	}
	if b.compacted {
		b.response.Canceled = true
		b.response.CompactRevision = s.compacted + 1
		return b
	}
	for _, e := range s.events {
		if e.Kv.ModRevision >= w.next && w.matches(e) {
			b.response.Events = append(b.response.Events, w.format(e))
		}
	}
	return b
}

// deliver sends a batch. It reports false if the watch has ended.
func (w *watch) deliver(b batch) bool {
	if b.compacted {
		w.stream.remove(w.id)
		_ = w.stream.send(b.response)
		return false
	}
	if len(b.response.Events) > 0 && w.sendFragments(b.response) != nil {
		return false
	}
	w.next = b.next
	return true
}

// sendFragments sends events, in fragments if the client supports them.
func (w *watch) sendFragments(r *pb.WatchResponse) error {
	rest := r.Events
	for {
		n := w.fragmentLength(rest)
		fragment := &pb.WatchResponse{
			Header:   r.Header,
			WatchId:  r.WatchId,
			Events:   rest[:n],
			Fragment: n < len(rest),
		}
		if err := w.stream.send(fragment); err != nil {
			return err
		}
		if n == len(rest) {
			return nil
		}
		rest = rest[n:]
	}
}

// fragmentLength returns the number of events in the next fragment, which is at least one.
func (w *watch) fragmentLength(events []*mvccpb.Event) int {
	if !w.request.Fragment {
		return len(events)
	}
	size := 0
	for n, e := range events {
		if n > 0 && size+len(e.Kv.Value) >= fragmentBytes {
			return n
		}
		size += len(e.Kv.Key) + len(e.Kv.Value)
	}
	return len(events)
}

// matches reports whether the range and the filters of the watch include an event.
func (w *watch) matches(e *mvccpb.Event) bool {
	for _, filter := range w.request.Filters {
		filtersPut := filter == pb.WatchCreateRequest_NOPUT && e.Type == mvccpb.PUT
		filtersDelete := filter == pb.WatchCreateRequest_NODELETE && e.Type == mvccpb.DELETE
		if filtersPut || filtersDelete {
			return false
		}
	}
	return inRange(e.Kv.Key, w.request.Key, w.request.RangeEnd)
}

// format returns an event as the watch requested it, with or without the previous value.
func (w *watch) format(e *mvccpb.Event) *mvccpb.Event {
	if w.request.PrevKv {
		return e
	}
	return &mvccpb.Event{Type: e.Type, Kv: e.Kv}
}
