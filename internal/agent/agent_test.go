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
	"olivedale/internal/sim/fakeetcd"
)

const prefix = "/olivedale/instances/"

func startEtcd(t *testing.T) *fakeetcd.Server {
	t.Helper()
	server, err := fakeetcd.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Stop() })
	return server
}

// fakeDesiredState is a DesiredState that stores the specifications it receives.
type fakeDesiredState struct {
	mu     sync.Mutex
	values map[string]string
}

func (f *fakeDesiredState) ReplaceAll(values map[string][]byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.values = make(map[string]string)
	for name, value := range values {
		f.values[name] = string(value)
	}
}

func (f *fakeDesiredState) Apply(name string, value []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if value == nil {
		delete(f.values, name)
		return
	}
	f.values[name] = string(value)
}

func (f *fakeDesiredState) String() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fmt.Sprint(f.values)
}

// eventually waits until a condition holds, for at most 20 seconds.
func eventually(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", condition)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// startWatch watches the instances until the test ends.
func startWatch(t *testing.T, server *fakeetcd.Server, desired DesiredState) {
	t.Helper()
	client, err := clientv3.New(clientv3.Config{Endpoints: []string{server.Addr()}, DialTimeout: 5 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = Watch(ctx, client, prefix, desired, zap.NewNop().Sugar())
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		_ = client.Close()
	})
}

func TestWatchListsAgainAfterCompaction(t *testing.T) {
	server := startEtcd(t)
	desired := &fakeDesiredState{}
	server.Set(prefix+"a", []byte("1"))
	startWatch(t, server, desired)
	eventually(t, "the keys are listed", func() bool { return desired.String() == "map[a:1]" })
	server.Set(prefix+"b", []byte("1"))
	server.Set(prefix+"a", nil)
	eventually(t, "changes are followed", func() bool { return desired.String() == "map[b:1]" })
	server.Stop() // the watch misses the following changes, whose history is then compacted
	server.Set(prefix+"c", []byte("1"))
	server.Set(prefix+"b", []byte("2"))
	server.CompactAll()
	if err := server.Serve(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the keys are listed again", func() bool { return desired.String() == "map[b:2 c:1]" })
	server.Set(prefix+"c", nil)
	eventually(t, "changes are followed again", func() bool { return desired.String() == "map[b:2]" })
}

// freeAddr returns a loopback address whose port is free.
func freeAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// testSpec returns the specification of an instance that listens on free ports, and its admin address.
func testSpec(t *testing.T) (value []byte, adminAddr string) {
	t.Helper()
	adminAddr = freeAddr(t)
	value, err := json.Marshal(map[string]any{
		"h248": map[string]any{"Listen": freeAddr(t), "Admin": adminAddr},
		"config": json.RawMessage(`{"name":"n0","listen":"` + freeAddr(t) + `","seed":"1f","names":"127.0.0.1:9",
			"limits":{"memory_mb":192,"sockets":1024},"known":{"n":0,"events":[]},
			"settings":{"groupSize":1,"classes":[{"name":"voice","aim":1000,"deadline":3000,"credit":1}],
			"domain":{"topology":"pools","releaseGuard":300},"limits":{"maxAttempts":2,"connectTimeout":500}}}`),
	})
	if err != nil {
		t.Fatal(err)
	}
	return value, adminAddr
}

// stateOf returns the state of an instance and the number of its starts, or "" if there is no such instance.
func stateOf(a *Agent, name string) string {
	d, err := a.Handle(adminapi.AuditCommand("instance/" + name))
	if err != nil {
		return ""
	}
	return h248.Value(d, "oa/instance", "state") + " " + h248.Value(d, "oa/instance", "starts")
}

// buildProgram builds the program olivedale in dir and returns its path.
func buildProgram(t *testing.T, dir string) (path string) {
	t.Helper()
	path = filepath.Join(dir, "olivedale")
	out, err := exec.Command("go", "build", "-o", path, "olivedale/cmd/olivedale").CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return path
}

// TestAgent runs the real program under an agent that watches a fake etcd server, and sends admin requests to both, as
// olivectl does.
func TestAgent(t *testing.T) {
	dir := t.TempDir()
	program := buildProgram(t, dir)
	server := startEtcd(t)
	a := New(program, dir, zap.NewNop())
	t.Cleanup(a.Close)
	text, admin := testSpec(t)
	server.Set(prefix+"one", text)
	server.Set(prefix+"../bad", text)
	server.Set(prefix+"worse", []byte("{"))
	startWatch(t, server, a)
	send := func(addr string, c *h248.Command) (*h248.Command, error) {
		return adminapi.Send(context.Background(), addr, c)
	}
	eventually(t, "the instance is in service", func() bool {
		c, err := send(admin, adminapi.AuditCommand("ROOT"))
		return err == nil && h248.Value(c.Descriptors, "Media", "TerminationState", "ServiceStates") == "InService"
	})
	if got := stateOf(a, "worse"); !strings.HasPrefix(got, Invalid.String()) {
		t.Errorf("state of an instance with an invalid specification: %q", got)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() { _ = adminapi.Serve(ln, "<agent>", a.Handle) }()
	c, err := send(ln.Addr().String(), adminapi.AuditCommand("ROOT"))
	if err != nil || len(h248.Find(c.Descriptors, "Statistics").Children) != 3 {
		t.Fatalf("list of instances: %+v, %v", c, err)
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
	eventually(t, "the killed process is restarted", func() bool { return stateOf(a, "one") == Running.String()+" 2" })
	if _, err := send(ln.Addr().String(), adminapi.DrainCommand("instance/one")); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the instance is drained", func() bool {
		return strings.HasPrefix(stateOf(a, "one"), Drained.String())
	})
	if _, err := send(ln.Addr().String(), adminapi.DrainCommand("instance/none")); err == nil {
		t.Error("an unknown instance was drained")
	}
	server.Set(prefix+"one", nil)
	eventually(t, "the instance is removed", func() bool { return stateOf(a, "one") == "" })
}

// Guards against an instance that is stopped by a value which it cannot be started with: an invalid specification drained
// the process, and no other one was started. A valid specification after it is taken.
func TestInvalidSpecificationKeepsTheProcess(t *testing.T) {
	dir := t.TempDir()
	a := New(buildProgram(t, dir), dir, zap.NewNop())
	t.Cleanup(a.Close)
	text, _ := testSpec(t)
	a.Apply("one", text)
	eventually(t, "the instance is running", func() bool { return stateOf(a, "one") == Running.String()+" 1" })
	for name, invalid := range map[string]string{
		"empty":            "",
		"incomplete":       string(text[:len(text)/2]),
		"no attempts":      strings.Replace(string(text), `"maxAttempts":2`, `"maxAttempts":0`, 1),
		"no deadline":      strings.Replace(string(text), `"deadline":3000,`, "", 1),
		"no admin address": strings.Replace(string(text), `"Admin":"`, `"Admin":"x`, 1),
	} {
		if invalid == string(text) {
			t.Fatalf("%s: the value is valid", name)
		}
		a.Apply("one", []byte(invalid))
		if got := stateOf(a, "one"); got != Running.String()+" 1" {
			t.Fatalf("%s: the state is %q", name, got)
		}
	}
	valid := strings.Replace(string(text), `"maxAttempts":2`, `"maxAttempts":1`, 1)
	a.Apply("one", []byte(valid))
	eventually(t, "the valid specification is taken", func() bool {
		written, err := os.ReadFile(filepath.Join(dir, "one", "config.json"))
		return err == nil && strings.Contains(string(written), `"maxAttempts":1`) && stateOf(a, "one") == Running.String()+" 1"
	})
}
