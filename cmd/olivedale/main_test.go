package main

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// A bad configuration stops the start with a plain message.
func TestBadConfigurationStopsTheStart(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "olivedale")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	cmd := exec.Command(bin)
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
