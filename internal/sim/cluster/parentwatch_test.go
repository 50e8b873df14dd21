package cluster

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestParentWatchEndsProcesses checks that closing the pipe kills the processes that were started by command and by the
// wrapper script, and that a process that ended before keeps its own exit status.
func TestParentWatchEndsProcesses(t *testing.T) {
	t.Parallel()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	sleep, err := exec.LookPath("sleep")
	if err != nil {
		t.Skip("the program sleep is not installed")
	}
	watch, err := newParentWatch(t.TempDir(), self, sleep)
	if err != nil {
		t.Fatal(err)
	}
	start := func(c *exec.Cmd) chan error {
		t.Helper()
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		go func() { ended <- c.Wait() }()
		return ended
	}
	short := start(exec.Command(watch.wrapperScript, "0.05"))
	watched := []chan error{start(watch.command(sleep, "60")), start(exec.Command(watch.wrapperScript, "60"))}
	if err := <-short; err != nil {
		t.Errorf("process that exits by itself: %v", err)
	}
	time.Sleep(300 * time.Millisecond) // for the watchers to start
	for i, ended := range watched {
		select {
		case err := <-ended:
			t.Fatalf("process %d ended while its parent was running: %v", i, err)
		default:
		}
	}
	if err := watch.close(); err != nil {
		t.Fatal(err)
	}
	for i, ended := range watched {
		select {
		case err := <-ended:
			var exit *exec.ExitError
			if err == nil || !errors.As(err, &exit) || exit.Sys().(syscall.WaitStatus).Signal() != syscall.SIGKILL {
				t.Errorf("process %d ended with %v, want SIGKILL", i, err)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("process %d outlived its parent", i)
		}
	}
}

// TestWrapperScriptStartsDuringForks guards against ETXTBSY: a wrapper script that was just written must be executable
// even if other goroutines fork processes at the same time.
func TestWrapperScriptStartsDuringForks(t *testing.T) {
	t.Parallel()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	ctx, stopForks := context.WithCancel(t.Context())
	var forks sync.WaitGroup
	for range 8 {
		forks.Go(func() {
			for ctx.Err() == nil {
				if err := exec.Command("/bin/true").Run(); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	for range 100 {
		watch, err := newParentWatch(t.TempDir(), self, "/bin/true")
		if err != nil {
			t.Fatal(err)
		}
		if err := exec.Command(watch.wrapperScript).Run(); err != nil {
			t.Errorf("executing a script that was just written: %v", err)
		}
		if err := watch.close(); err != nil {
			t.Error(err)
		}
	}
	stopForks()
	forks.Wait()
}

// TestHoldAfterParentEndKillsProcess checks that KillWithParent kills its process if the parent ended before
// KillWithParent opened the pipe. Otherwise it would wait for ever: under load, TestKilledRunLeavesNoProcess left a
// controller running.
func TestHoldAfterParentEndKillsProcess(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "alive")
	if err := unix.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	c := exec.Command("sleep", "60")
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- KillWithParent(path, c.Process.Pid) }()
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Error("KillWithParent still waits for a parent that has ended")
	}
	_ = c.Process.Kill()
	_ = c.Wait()
}
