package fakeetcd

import (
	"context"
	"sync"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	"google.golang.org/grpc/metadata"
)

// maxWatches bounds the watches of a stream.
const maxWatches = 256

// noWatchID is the watch id in responses that belong to no watch, or to one that could not be created.
const noWatchID = -1

// A watchStream is a client's stream, on which it may have several watches.
type watchStream struct {
	server         *Server
	stream         pb.Watch_WatchServer
	requiresLeader bool

	mu      sync.Mutex // also held while sending, because streams do not support concurrent Sends
	nextID  int64
	cancels map[int64]context.CancelFunc // by watch id
	watches sync.WaitGroup
}

// Watch implements the Watch service.
func (s *Server) Watch(stream pb.Watch_WatchServer) error {
	ctx, cancel := context.WithCancel(stream.Context())
	md, _ := metadata.FromIncomingContext(ctx)
	w := &watchStream{
		server:         s,
		stream:         stream,
		requiresLeader: len(md.Get(rpctypes.MetadataRequireLeaderKey)) > 0,
		cancels:        make(map[int64]context.CancelFunc),
	}
	defer w.watches.Wait()
	defer cancel()
	requests := make(chan *pb.WatchRequest)
	failed := make(chan error, 1)
	go w.receive(ctx, requests, failed) // returns when the stream ends
	for {
		changed, err := w.checkLeader()
		if err != nil {
			return err
		}
		select {
		case err := <-failed:
			if ctx.Err() != nil {
				return nil
			}
			return err
		case r := <-requests:
			if err := w.handle(ctx, r); err != nil {
				return err
			}
		case <-changed:
		}
	}
}

// receive forwards the client's requests until the stream ends.
func (w *watchStream) receive(ctx context.Context, requests chan<- *pb.WatchRequest, failed chan<- error) {
	for {
		r, err := w.stream.Recv()
		if err != nil {
			failed <- err
			return
		}
		select {
		case requests <- r:
		case <-ctx.Done():
			return
		}
	}
}

// checkLeader returns an error if the stream requires a leader and there is none. The channel is closed when the
// server changes.
func (w *watchStream) checkLeader() (<-chan struct{}, error) {
	w.server.mu.Lock()
	defer w.server.mu.Unlock()
	if w.requiresLeader {
		return w.server.changed, w.server.checkLeader()
	}
	return w.server.changed, nil
}

// handle handles one request.
func (w *watchStream) handle(ctx context.Context, r *pb.WatchRequest) error {
	switch r := r.RequestUnion.(type) {
	case *pb.WatchRequest_CreateRequest:
		return w.create(ctx, r.CreateRequest)
	case *pb.WatchRequest_CancelRequest:
		return w.cancel(r.CancelRequest.WatchId)
	case *pb.WatchRequest_ProgressRequest:
		if w.isStalled() {
			return nil
		}
		return w.send(&pb.WatchResponse{Header: w.header(), WatchId: noWatchID})
	}
	return nil
}

func (w *watchStream) isStalled() bool {
	w.server.mu.Lock()
	defer w.server.mu.Unlock()
	return w.server.faults.watchesStalled
}

func (w *watchStream) header() *pb.ResponseHeader {
	w.server.mu.Lock()
	defer w.server.mu.Unlock()
	return w.server.header()
}

// send sends a message on the stream, which its watches share.
func (w *watchStream) send(r *pb.WatchResponse) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stream.Send(r)
}

// cancel ends a watch at the client's request.
func (w *watchStream) cancel(id int64) error {
	cancel := w.remove(id)
	if cancel == nil {
		return nil
	}
	cancel()
	return w.send(&pb.WatchResponse{Header: w.header(), WatchId: id, Canceled: true})
}

// remove removes a watch and returns the function that cancels it, or nil if there is no such watch.
func (w *watchStream) remove(id int64) context.CancelFunc {
	w.mu.Lock()
	defer w.mu.Unlock()
	cancel := w.cancels[id]
	delete(w.cancels, id)
	return cancel
}

// create starts a watch.
func (w *watchStream) create(ctx context.Context, r *pb.WatchCreateRequest) error {
	ctx, cancel := context.WithCancel(ctx)
	id, ok := w.register(r.WatchId, cancel)
	if !ok {
		cancel()
		return w.send(&pb.WatchResponse{
			Header:       w.header(),
			WatchId:      noWatchID,
			Created:      true,
			Canceled:     true,
			CancelReason: "the watch id is in use, or there are too many watches",
		})
	}
	from := r.StartRevision
	if from == 0 {
		from = w.header().Revision + 1
	}
	if err := w.send(&pb.WatchResponse{Header: w.header(), WatchId: id, Created: true}); err != nil {
		cancel()
		return err
	}
	created := &watch{stream: w, id: id, next: from, request: r}
	w.watches.Go(func() {
		defer cancel()
		created.run(ctx)
	})
	return nil
}

// register registers a watch under the requested id, or under an unused one if that is 0. It reports false if the id
// is in use, or if there are too many watches.
func (w *watchStream) register(requested int64, cancel context.CancelFunc) (int64, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := requested
	if id == 0 {
		id = w.newID()
	}
	if w.cancels[id] != nil || len(w.cancels) >= maxWatches {
		return 0, false
	}
	w.cancels[id] = cancel
	return id, true
}

// newID returns an unused id. watchStream.mu is held.
func (w *watchStream) newID() int64 {
	for {
		w.nextID++
		if w.cancels[w.nextID] == nil {
			return w.nextID
		}
	}
}
