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

// TestParentWatchEndsProcesses checks that processes end with the run, whoever started them and however the run ends,
// and that a process that has ended before is left alone.
func TestParentWatchEndsProcesses(t *testing.T) {
	t.Parallel()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	sleep, err := exec.LookPath("sleep")
	if err != nil {
		t.Skip("no sleep here")
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
		t.Errorf("a process that ends by itself: %v", err)
	}
	time.Sleep(300 * time.Millisecond) // the watchers have started
	for i, ended := range watched {
		select {
		case err := <-ended:
			t.Fatalf("process %d ended while its parent ran: %v", i, err)
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
				t.Errorf("process %d ended by %v", i, err)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("process %d outlived its parent", i)
		}
	}
}

// TestWrapperScriptStartsDuringForks checks that a script that was just written can be executed while other processes
// are being started.
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
			t.Errorf("start of a script that was just written: %v", err)
		}
		if err := watch.close(); err != nil {
			t.Error(err)
		}
	}
	stopForks()
	forks.Wait()
}

// TestHoldAfterParentEndKillsProcess checks that Hold kills its process if the parent ended before Hold opened the
// pipe. (Hold once waited for ever: under load, a controller was left behind by TestKilledRunLeavesNoProcess.)
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
	held := make(chan error, 1)
	go func() { held <- KillWithParent(path, c.Process.Pid) }()
	select {
	case err := <-held:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Error("Hold waits for a parent that has ended")
	}
	_ = c.Process.Kill()
	_ = c.Wait()
}
