package fakeetcd

import (
	"context"
	"sync"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	"google.golang.org/grpc/metadata"
)

// Times and sizes of watches.
const (
	progressEach  = 500 * time.Millisecond // without an event; etcd takes ten minutes
	fragmentBytes = 1 << 10                // etcd takes its limit of a message, 1.5 MiB
	mostWatches   = 256                    // a stream
)

// A stream is a client's: it carries several watches.
type stream struct {
	s     *Server
	out   pb.Watch_WatchServer
	need  bool // of a leader
	mu    sync.Mutex
	next  int64
	watch map[int64]context.CancelFunc
	wg    sync.WaitGroup
}

// Watch implements the Watch service.
func (s *Server) Watch(out pb.Watch_WatchServer) error {
	ctx, cancel := context.WithCancel(out.Context())
	md, _ := metadata.FromIncomingContext(ctx)
	t := &stream{s: s, out: out, need: len(md.Get(rpctypes.MetadataRequireLeaderKey)) > 0, watch: make(map[int64]context.CancelFunc)}
	defer t.wg.Wait()
	defer cancel()
	requests := make(chan *pb.WatchRequest)
	broken := make(chan error, 1)
	go func() {
		for {
			r, err := out.Recv()
			if err != nil {
				broken <- err
				return
			}
			select {
			case requests <- r:
			case <-ctx.Done():
				return
			}
		}
	}()
	for {
		s.mu.Lock()
		changed, lost := s.changed, t.need && s.faults.noLeader
		s.mu.Unlock()
		if lost {
			return rpctypes.ErrGRPCNoLeader
		}
		select {
		case err := <-broken:
			if ctx.Err() != nil {
				return nil
			}
			return err
		case r := <-requests:
			if err := t.take(ctx, r); err != nil {
				return err
			}
		case <-changed:
		}
	}
}

func (t *stream) take(ctx context.Context, r *pb.WatchRequest) error {
	switch r := r.RequestUnion.(type) {
	case *pb.WatchRequest_CreateRequest:
		return t.create(ctx, r.CreateRequest)
	case *pb.WatchRequest_CancelRequest:
		id := r.CancelRequest.WatchId
		t.mu.Lock()
		cancel := t.watch[id]
		delete(t.watch, id)
		t.mu.Unlock()
		if cancel != nil {
			cancel()
			return t.send(&pb.WatchResponse{Header: t.header(), WatchId: id, Canceled: true})
		}
	case *pb.WatchRequest_ProgressRequest:
		if t.stalled() {
			return nil
		}
		return t.send(&pb.WatchResponse{Header: t.header(), WatchId: -1})
	}
	return nil
}

func (t *stream) stalled() bool {
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	return t.s.faults.stalled
}

func (t *stream) header() *pb.ResponseHeader {
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	return t.s.header()
}

// send is one message at a time; watches of a stream share it.
func (t *stream) send(r *pb.WatchResponse) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.out.Send(r)
}

func (t *stream) create(ctx context.Context, r *pb.WatchCreateRequest) error {
	t.mu.Lock()
	id := r.WatchId
	for id == 0 || r.WatchId == 0 && t.watch[id] != nil {
		t.next++
		id = t.next
	}
	taken := t.watch[id] != nil || len(t.watch) >= mostWatches
	ctx, cancel := context.WithCancel(ctx)
	if !taken {
		t.watch[id] = cancel
	}
	t.mu.Unlock()
	if taken {
		cancel()
		return t.send(&pb.WatchResponse{Header: t.header(), WatchId: -1, Created: true, Canceled: true, CancelReason: "the watch id is taken, or there are too many"})
	}
	from := r.StartRevision
	if from == 0 {
		from = t.header().Revision + 1
	}
	if err := t.send(&pb.WatchResponse{Header: t.header(), WatchId: id, Created: true}); err != nil {
		cancel()
		return err
	}
	t.wg.Go(func() {
		defer cancel()
		t.follow(ctx, id, from, r)
	})
	return nil
}

// follow brings a watch its events until it ends.
func (t *stream) follow(ctx context.Context, id, from int64, r *pb.WatchCreateRequest) {
	s := t.s
	for {
		s.mu.Lock()
		changed, stalled := s.changed, s.faults.stalled
		out := &pb.WatchResponse{Header: s.header(), WatchId: id}
		behind := from <= s.compacted
		if behind {
			out.Canceled, out.CompactRevision = true, s.compacted+1
		}
		for _, e := range s.events {
			if e.Kv.ModRevision >= from && wanted(r, e) {
				out.Events = append(out.Events, event(r, e))
			}
		}
		next := max(s.revision+1, from)
		s.mu.Unlock()
		if !stalled {
			if behind {
				t.mu.Lock()
				delete(t.watch, id)
				t.mu.Unlock()
				out.Events = nil
				_ = t.send(out)
				return
			}
			if len(out.Events) > 0 && t.fragments(r, out) != nil {
				return
			}
			from = next
		}
		var progress <-chan time.Time
		if r.ProgressNotify && !stalled {
			progress = time.After(progressEach)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-progress:
			if t.send(&pb.WatchResponse{Header: t.header(), WatchId: id}) != nil {
				return
			}
		}
	}
}

// fragments sends events, in pieces if the client can put them together.
func (t *stream) fragments(r *pb.WatchCreateRequest, out *pb.WatchResponse) error {
	for all := out.Events; ; {
		n, size := 0, 0
		for n < len(all) && (n == 0 || !r.Fragment || size+len(all[n].Kv.Value) < fragmentBytes) {
			size += len(all[n].Kv.Key) + len(all[n].Kv.Value)
			n++
		}
		piece := &pb.WatchResponse{Header: out.Header, WatchId: out.WatchId, Events: all[:n], Fragment: n < len(all)}
		if err := t.send(piece); err != nil || n == len(all) {
			return err
		}
		all = all[n:]
	}
}

func wanted(r *pb.WatchCreateRequest, e *mvccpb.Event) bool {
	for _, f := range r.Filters {
		if f == pb.WatchCreateRequest_NOPUT && e.Type == mvccpb.PUT || f == pb.WatchCreateRequest_NODELETE && e.Type == mvccpb.DELETE {
			return false
		}
	}
	return within(e.Kv.Key, r.Key, r.RangeEnd)
}

// event is one as a watch is to see it.
func event(r *pb.WatchCreateRequest, e *mvccpb.Event) *mvccpb.Event {
	if r.PrevKv {
		return e
	}
	return &mvccpb.Event{Type: e.Type, Kv: e.Kv}
}
