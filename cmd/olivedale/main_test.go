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

// The built program passes a test, counts on request, and after SIGTERM ends with 0.
func TestStartAndStop(t *testing.T) {
	bin := build(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	_ = ln.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"1f","names":"127.0.0.1:9","limits":{"memory_mb":192,"sockets":1024},
		"settings":{"groupSize":1,"classes":[{"name":"voice","aim":1000,"deadline":3000,"credit":1}],
		"domain":{"topology":"pools","releaseGuard":300},"limits":{"maxAttempts":2,"connectTimeout":500}}}`, addr)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var said bytes.Buffer
	cmd := exec.Command(bin)
	cmd.Dir, cmd.Env, cmd.Stderr = t.TempDir(), []string{"RELAY_CONFIG=" + path}, &said
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cmd.Process.Kill() }()
	var c net.Conn
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if c, err = net.Dial("tcp", addr); err == nil {
			break
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = c.Write([]byte(`{"verb":"ECHO","tag":"1","opts":{},"rc":0}` + "\n"))
	if line, err := bufio.NewReader(c).ReadString('\n'); err != nil || !strings.Contains(line, `"ECHOED"`) || !strings.Contains(line, `"rc":1`) {
		t.Fatalf("the test was answered by %q, %v", line, err)
	}
	for _, s := range []os.Signal{syscall.SIGUSR1, syscall.SIGTERM} {
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
	if n := strings.Count(said.String(), "event=counters requests=0"); n != 2 {
		t.Errorf("counters were written %d times, want on request and at exit:\n%s", n, said.String())
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
