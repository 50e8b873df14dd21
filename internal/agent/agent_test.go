package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	clientv3 "go.etcd.io/etcd/client/v3"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"lapiscourse/internal/config"
	"lapiscourse/internal/control"
	"lapiscourse/internal/net/h248"
)

const prefix = "/olivedale/instances/"

// fakeEtcd serves Range and Watch over its own small history, from the public API.
type fakeEtcd struct {
	pb.UnimplementedKVServer
	pb.UnimplementedWatchServer
	mu        sync.Mutex
	changed   chan struct{} // closed at a change
	revision  int64
	compacted int64
	keys      map[string]*mvccpb.KeyValue
	events    []*mvccpb.Event
	lists     int
	watches   int
	server    *grpc.Server
	addr      string
}

func startEtcd(t *testing.T) *fakeEtcd {
	t.Helper()
	f := &fakeEtcd{changed: make(chan struct{}), revision: 1, keys: make(map[string]*mvccpb.KeyValue), addr: "127.0.0.1:0"}
	f.serve(t)
	t.Cleanup(func() { f.server.Stop() })
	return f
}

func (f *fakeEtcd) serve(t *testing.T) {
	t.Helper()
	ln, err := net.Listen("tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	f.addr = ln.Addr().String()
	f.server = grpc.NewServer()
	pb.RegisterKVServer(f.server, f)
	pb.RegisterWatchServer(f.server, f)
	go func() { _ = f.server.Serve(ln) }()
}

func (f *fakeEtcd) put(name string, value []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	kv := &mvccpb.KeyValue{Key: []byte(prefix + name), Value: value, ModRevision: f.revision}
	e := &mvccpb.Event{Type: mvccpb.PUT, Kv: kv}
	if value == nil {
		e.Type = mvccpb.DELETE
		delete(f.keys, name)
	} else {
		f.keys[name] = kv
	}
	f.events = append(f.events, e)
	close(f.changed)
	f.changed = make(chan struct{})
}

// compact forgets the history; watches that are behind it are told so.
func (f *fakeEtcd) compact() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.compacted = f.revision
	f.events = nil
}

func (f *fakeEtcd) Range(_ context.Context, r *pb.RangeRequest) (*pb.RangeResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists++
	out := &pb.RangeResponse{Header: &pb.ResponseHeader{Revision: f.revision}}
	for _, kv := range f.keys {
		if string(kv.Key) >= string(r.Key) && string(kv.Key) < string(r.RangeEnd) {
			out.Kvs = append(out.Kvs, kv)
		}
	}
	return out, nil
}

func (f *fakeEtcd) Watch(s pb.Watch_WatchServer) error {
	r, err := s.Recv()
	if err != nil {
		return err
	}
	from := r.GetCreateRequest().GetStartRevision()
	f.mu.Lock()
	f.watches++
	f.mu.Unlock()
	if err := s.Send(&pb.WatchResponse{Header: &pb.ResponseHeader{Revision: from}, Created: true}); err != nil {
		return err
	}
	for {
		f.mu.Lock()
		changed, compacted := f.changed, f.compacted
		out := &pb.WatchResponse{Header: &pb.ResponseHeader{Revision: f.revision}}
		for _, e := range f.events {
			if e.Kv.ModRevision >= from {
				out.Events = append(out.Events, e)
			}
		}
		next := f.revision + 1
		f.mu.Unlock()
		if from <= compacted {
			return s.Send(&pb.WatchResponse{Header: out.Header, Canceled: true, CompactRevision: compacted + 1})
		}
		if len(out.Events) > 0 {
			if err := s.Send(out); err != nil {
				return err
			}
		}
		from = next
		select {
		case <-s.Context().Done():
			return s.Context().Err()
		case <-changed:
		}
	}
}

// record is a Wanted that keeps what it was told.
type record struct {
	mu  sync.Mutex
	all map[string]string
}

func (r *record) Replace(all map[string][]byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = make(map[string]string)
	for name, v := range all {
		r.all[name] = string(v)
	}
}

func (r *record) Change(name string, value []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.all[name] = string(value); value == nil {
		delete(r.all, name)
	}
}

func (r *record) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprint(r.all)
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

func watch(t *testing.T, f *fakeEtcd, w Wanted) {
	t.Helper()
	client, err := clientv3.New(clientv3.Config{Endpoints: []string{f.addr}, DialTimeout: 5 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = Watch(ctx, client, prefix, w, zap.NewNop().Sugar())
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		_ = client.Close()
	})
}

func TestWatchListsAnewAfterCompactionAndReconnects(t *testing.T) {
	f, r := startEtcd(t), &record{}
	f.put("a", []byte("1"))
	watch(t, f, r)
	eventually(t, "the list is there", func() bool { return r.String() == "map[a:1]" })
	f.put("b", []byte("1"))
	f.put("a", nil)
	eventually(t, "changes are followed", func() bool { return r.String() == "map[b:1]" })
	f.server.Stop() // changes are missed, and their history is gone
	f.put("c", []byte("1"))
	f.put("b", []byte("2"))
	f.compact()
	f.serve(t)
	eventually(t, "the list is read anew", func() bool { return r.String() == "map[b:2 c:1]" })
	f.put("c", nil)
	eventually(t, "changes are followed again", func() bool { return r.String() == "map[b:2]" })
}

// spec is an instance on ports that are free just now.
func spec(t *testing.T) ([]byte, string) {
	t.Helper()
	free := func() string {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = ln.Close() }()
		return ln.Addr().String()
	}
	h := &config.H248{Listen: free(), Admin: free()}
	text, err := json.Marshal(map[string]any{"h248": map[string]any{"Listen": h.Listen, "Admin": h.Admin}, "config": json.RawMessage(`{"name":"n0","listen":"` + free() +
		`","seed":"1f","names":"127.0.0.1:9","limits":{"memory_mb":192,"sockets":1024},"known":{"n":0,"events":[]},
		"settings":{"groupSize":1,"classes":[{"name":"voice","aim":1000,"deadline":3000,"credit":1}],
		"domain":{"topology":"pools","releaseGuard":300},"limits":{"maxAttempts":2,"connectTimeout":500}}}`)})
	if err != nil {
		t.Fatal(err)
	}
	return text, h.Admin
}

func stateOf(a *Agent, name string) string {
	d, err := a.Handle(control.Audit("instance/" + name))
	if err != nil {
		return ""
	}
	return h248.Value(d, "oa/instance", "state") + " " + h248.Value(d, "oa/instance", "starts")
}

// TestAgent has the agent run the real program as the stand-in etcd wants it, and
// asks both as olivectl does.
func TestAgent(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "olivedale")
	if out, err := exec.Command("go", "build", "-o", program, "lapiscourse/cmd/olivedale").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	f, a := startEtcd(t), New(program, dir, zap.NewNop())
	t.Cleanup(a.Close)
	text, admin := spec(t)
	f.put("one", text)
	f.put("../bad", text)
	f.put("worse", []byte("{"))
	watch(t, f, a)
	ask := func(addr string, c *h248.Command) (*h248.Command, error) {
		return control.Ask(context.Background(), addr, c)
	}
	eventually(t, "the instance serves", func() bool {
		c, err := ask(admin, control.Audit("ROOT"))
		return err == nil && h248.Value(c.Descriptors, "Media", "TerminationState", "ServiceStates") == "InService"
	})
	if got := stateOf(a, "worse"); !strings.HasPrefix(got, Faulty) {
		t.Errorf("a specification that can't be read: %q", got)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() { _ = control.Serve(ln, "<agent>", a.Handle) }()
	c, err := ask(ln.Addr().String(), control.Audit("ROOT"))
	if err != nil || len(h248.Find(c.Descriptors, "Statistics").Kids) != 3 {
		t.Fatalf("the list: %+v, %v", c, err)
	}
	d, _ := a.Handle(control.Audit("instance/one"))
	var pid int
	if _, err := fmt.Sscan(h248.Value(d, "oa/instance", "pid"), &pid); err != nil {
		t.Fatal(err)
	}
	process, err := os.FindProcess(pid)
	if err != nil {
		t.Fatal(err)
	}
	_ = process.Kill()
	eventually(t, "a process that died is started again", func() bool { return stateOf(a, "one") == Running+" 2" })
	if _, err := ask(ln.Addr().String(), control.Drain("instance/one")); err != nil {
		t.Fatal(err)
	}
	eventually(t, "it drains", func() bool { return strings.HasPrefix(stateOf(a, "one"), Drained) })
	if _, err := ask(ln.Addr().String(), control.Drain("instance/none")); err == nil {
		t.Error("an unknown instance was drained")
	}
	f.put("one", nil)
	eventually(t, "it is forgotten", func() bool { return stateOf(a, "one") == "" })
}
