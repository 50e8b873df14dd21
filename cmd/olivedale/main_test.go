package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

func build(t *testing.T) string {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "olivedale")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return bin
}

// running is the built program, started with a configuration of its own.
type running struct {
	*exec.Cmd
	path, listen string
	said         bytes.Buffer
}

func start(t *testing.T, names string) *running {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &running{Cmd: exec.Command(build(t)), path: filepath.Join(t.TempDir(), "config.json"), listen: ln.Addr().String()}
	_ = ln.Close()
	r.configure(t, names)
	r.Dir, r.Env, r.Stderr = t.TempDir(), []string{"RELAY_CONFIG=" + r.path}, &r.said
	if err := r.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.Process.Kill() })
	return r
}

func (r *running) configure(t *testing.T, names string) {
	t.Helper()
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"1f","names":%q,"limits":{"memory_mb":192,"sockets":1024},
		"settings":{"groupSize":1,"classes":[{"name":"voice","aim":1000,"deadline":3000,"credit":1}],
		"domain":{"topology":"pools","releaseGuard":300},"limits":{"maxAttempts":2,"connectTimeout":500}}}`, r.listen, names)
	if err := os.WriteFile(r.path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func (r *running) signal(t *testing.T, all ...os.Signal) {
	t.Helper()
	for _, s := range all {
		if err := r.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
}

// test dials until somebody listens, and returns the connection after a test has passed on it.
func (r *running) test(t *testing.T) net.Conn {
	t.Helper()
	var c net.Conn
	var err error
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if c, err = net.Dial("tcp", r.listen); err == nil {
			break
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() { _ = c.Close() })
	r.echo(t, c)
	return c
}

func (r *running) echo(t *testing.T, c net.Conn) {
	t.Helper()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = c.Write([]byte(`{"verb":"ECHO","tag":"1","opts":{},"rc":0}` + "\n"))
	if line, err := bufio.NewReader(c).ReadString('\n'); err != nil || !strings.Contains(line, `"ECHOED"`) || !strings.Contains(line, `"rc":1`) {
		t.Fatalf("the test was answered by %q, %v", line, err)
	}
}

// The built program passes a test, counts on request, and after SIGTERM ends with 0.
func TestStartAndStop(t *testing.T) {
	r := start(t, "127.0.0.1:9")
	r.test(t)
	r.signal(t, syscall.SIGUSR1, syscall.SIGTERM)
	if err := r.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
	if n := strings.Count(r.said.String(), "event=counters requests=0"); n != 2 {
		t.Errorf("counters were written %d times, want on request and at exit:\n%s", n, r.said.String())
	}
}

// asked waits for a query at a name service.
func asked(t *testing.T, names net.PacketConn) {
	t.Helper()
	_ = names.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, _, err := names.ReadFrom(make([]byte, 512)); err != nil {
		t.Fatal(err)
	}
}

// twoNames opens two name services.
func twoNames(t *testing.T) (names [2]net.PacketConn) {
	t.Helper()
	for i := range names {
		var err error
		if names[i], err = net.ListenPacket("udp", "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = names[i].Close() })
	}
	return names
}

// rereads puts a pipe in the configuration's place and sends SIGHUP: the program is reading it when this returns.
func (r *running) rereads(t *testing.T) *os.File {
	t.Helper()
	if err := os.Remove(r.path); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(r.path, 0o600); err != nil {
		t.Fatal(err)
	}
	r.signal(t, syscall.SIGHUP)
	pipe, err := os.OpenFile(r.path, os.O_WRONLY, 0) // waits for the reader
	if err != nil {
		t.Fatal(err)
	}
	return pipe
}

// After SIGHUP the name service that the file names now is asked, connections stay, and a
// bad file changes nothing.
func TestReload(t *testing.T) {
	names := twoNames(t)
	r := start(t, names[0].LocalAddr().String())
	c := r.test(t)
	asked(t, names[0])
	_ = names[0].Close()
	r.configure(t, names[1].LocalAddr().String())
	r.signal(t, syscall.SIGHUP)
	asked(t, names[1])
	if err := os.WriteFile(r.path, []byte(`{"listen":`), 0o600); err != nil {
		t.Fatal(err)
	}
	r.signal(t, syscall.SIGHUP)
	r.echo(t, c)
	asked(t, names[1])
	r.signal(t, syscall.SIGTERM)
	if err := r.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
	for _, want := range []string{"event=reloaded names=" + names[1].LocalAddr().String(), "event=reload_failed"} {
		if strings.Count(r.said.String(), want) != 1 {
			t.Errorf("want one %q in:\n%s", want, r.said.String())
		}
	}
}

// SIGHUP finds a file that is not whole yet: what it says once it is counts.
func TestReloadOfAFileBeingWritten(t *testing.T) {
	names := twoNames(t)
	r := start(t, names[0].LocalAddr().String())
	r.test(t)
	asked(t, names[0])
	pipe := r.rereads(t)
	if err := os.Remove(r.path); err != nil { // before the reader can look again
		t.Fatal(err)
	}
	_, _ = pipe.WriteString(`{"listen":`)
	_ = pipe.Close()
	r.configure(t, names[1].LocalAddr().String())
	asked(t, names[1])
}

// SIGTERM is heard while the file that SIGHUP asked for is still being read.
func TestStopDoesNotWaitForAReload(t *testing.T) {
	r := start(t, "127.0.0.1:9")
	r.test(t)
	pipe := r.rereads(t)
	defer func() { _ = pipe.Close() }()
	r.signal(t, syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- r.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(8 * time.Second):
		t.Error("it did not end")
	}
}

// A bad configuration stops the start with a plain message.
func TestBadConfigurationStopsTheStart(t *testing.T) {
	cmd := exec.Command(build(t))
	cmd.Env = []string{"RELAY_CONFIG=/does/not/exist.json"}
	out, err := cmd.CombinedOutput()
	if err == nil || !strings.Contains(string(out), "does/not/exist.json") || strings.Contains(string(out), "goroutine") {
		t.Errorf("error %v, said %q", err, out)
	}
}

// The packages of etcd belong to the agent alone.
func TestNoEtcdInside(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	if strings.Contains(string(out), "etcd") || strings.Contains(string(out), "grpc") {
		t.Error("olivedale depends on etcd's packages")
	}
}
