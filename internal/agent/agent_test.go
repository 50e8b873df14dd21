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

	clientv3 "go.etcd.io/etcd/client/v3"
	"go.uber.org/zap"

	"olivedale/internal/adminapi"
	"olivedale/internal/codec/h248"
	"olivedale/internal/config"
	"olivedale/internal/lab/etcd"
)

const prefix = "/olivedale/instances/"

func startEtcd(t *testing.T) *etcd.Server {
	t.Helper()
	f, err := etcd.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Stop() })
	return f
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

func watch(t *testing.T, f *etcd.Server, w DesiredState) {
	t.Helper()
	client, err := clientv3.New(clientv3.Config{Endpoints: []string{f.Addr()}, DialTimeout: 5 * time.Second})
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
	f.Set(prefix+"a", []byte("1"))
	watch(t, f, r)
	eventually(t, "the list is there", func() bool { return r.String() == "map[a:1]" })
	f.Set(prefix+"b", []byte("1"))
	f.Set(prefix+"a", nil)
	eventually(t, "changes are followed", func() bool { return r.String() == "map[b:1]" })
	f.Stop() // changes are missed, and their history is gone
	f.Set(prefix+"c", []byte("1"))
	f.Set(prefix+"b", []byte("2"))
	f.Forget()
	if err := f.Serve(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the list is read anew", func() bool { return r.String() == "map[b:2 c:1]" })
	f.Set(prefix+"c", nil)
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
	d, err := a.Handle(adminapi.AuditCommand("instance/" + name))
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
	if out, err := exec.Command("go", "build", "-o", program, "olivedale/cmd/olivedale").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	f, a := startEtcd(t), New(program, dir, zap.NewNop())
	t.Cleanup(a.Close)
	text, admin := spec(t)
	f.Set(prefix+"one", text)
	f.Set(prefix+"../bad", text)
	f.Set(prefix+"worse", []byte("{"))
	watch(t, f, a)
	ask := func(addr string, c *h248.Command) (*h248.Command, error) {
		return adminapi.Send(context.Background(), addr, c)
	}
	eventually(t, "the instance serves", func() bool {
		c, err := ask(admin, adminapi.AuditCommand("ROOT"))
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
	go func() { _ = adminapi.Serve(ln, "<agent>", a.Handle) }()
	c, err := ask(ln.Addr().String(), adminapi.AuditCommand("ROOT"))
	if err != nil || len(h248.Find(c.Descriptors, "Statistics").Kids) != 3 {
		t.Fatalf("the list: %+v, %v", c, err)
	}
	d, _ := a.Handle(adminapi.AuditCommand("instance/one"))
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
	if _, err := ask(ln.Addr().String(), adminapi.DrainCommand("instance/one")); err != nil {
		t.Fatal(err)
	}
	eventually(t, "it drains", func() bool { return strings.HasPrefix(stateOf(a, "one"), Drained) })
	if _, err := ask(ln.Addr().String(), adminapi.DrainCommand("instance/none")); err == nil {
		t.Error("an unknown instance was drained")
	}
	f.Set(prefix+"one", nil)
	eventually(t, "it is forgotten", func() bool { return stateOf(a, "one") == "" })
}
