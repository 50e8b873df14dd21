package cluster

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"golang.org/x/sys/unix"
)

// A parentWatch ends the processes of a run when the run's own process ends for any reason. Each process has a small
// watcher process (see KillWithParent) that waits on a pipe of which only the run has the write end open. The watcher
// identifies its process by a pidfd, so that it never kills a later process with the same pid.
type parentWatch struct {
	pipePath      string
	watcher       string // program with the command "hold", which calls KillWithParent
	wrapperScript string // starts a watcher and replaces itself with the program
	writeEnd      *os.File
}

// KillWithParent waits until the process pid ends or the pipe at path has no writer any more. In the latter case it
// kills the process.
func KillWithParent(path string, pid int) error {
	process, err := unix.PidfdOpen(pid, 0)
	if err != nil {
		return fmt.Errorf("hold %d: %w", pid, err)
	}
	defer func() { _ = unix.Close(process) }()
	// O_NONBLOCK: opening does not wait for a writer. The parent opened its end before it started any process.
	pipe, err := unix.Open(path, unix.O_RDONLY|unix.O_NONBLOCK|unix.O_CLOEXEC, 0)
	if err != nil {
		return errors.Join(fmt.Errorf("hold %d: %s: %w", pid, path, err), signalProcess(process, syscall.SIGKILL))
	}
	defer func() { _ = unix.Close(pipe) }()
	// If the parent ended before the pipe was opened here, poll never reports a hangup, but read reports end of file.
	if n, err := unix.Read(pipe, make([]byte, 1)); n == 0 && err == nil {
		return signalProcess(process, syscall.SIGKILL)
	}
	return awaitEnd(pid, process, pipe)
}

// awaitEnd waits until the process ends or the write end of the pipe is closed, and kills the process in the latter
// case. process is a pidfd.
func awaitEnd(pid, process, pipe int) error {
	for {
		fds := []unix.PollFd{
			{Fd: int32(process), Events: unix.POLLIN},
			{Fd: int32(pipe), Events: unix.POLLIN},
		}
		if _, err := unix.Poll(fds, -1); err != nil && !errors.Is(err, unix.EINTR) {
			return fmt.Errorf("hold %d: %w", pid, err)
		}
		processEnded := fds[0].Revents != 0
		pipeEnded := fds[1].Revents&(unix.POLLHUP|unix.POLLERR) != 0
		switch {
		case processEnded:
			return nil
		case pipeEnded:
			return signalProcess(process, syscall.SIGKILL)
		}
	}
}

// newParentWatch creates the pipe and the wrapper script in dir. The script runs program with a watcher.
func newParentWatch(dir, watcher, program string) (*parentWatch, error) {
	w := &parentWatch{
		pipePath:      filepath.Join(dir, "alive"),
		watcher:       watcher,
		wrapperScript: filepath.Join(dir, "held.sh"),
	}
	if err := unix.Mkfifo(w.pipePath, 0o600); err != nil {
		return nil, fmt.Errorf("parent watch: %s: %w", w.pipePath, err)
	}
	// O_RDWR: opening for writing only would block until there is a reader.
	writeEnd, err := os.OpenFile(w.pipePath, os.O_RDWR, 0)
	if err != nil {
		return nil, fmt.Errorf("parent watch: %w", err)
	}
	w.writeEnd = writeEnd
	text := fmt.Sprintf("#!/bin/sh\n%q hold %q $$ &\nexec %q \"$@\"\n", watcher, w.pipePath, program)
	if err := writeExecutable(w.wrapperScript, text); err != nil {
		return nil, errors.Join(fmt.Errorf("parent watch: %w", err), writeEnd.Close())
	}
	return w, nil
}

// writeExecutable writes a file that can be executed as soon as writeExecutable returns. It prevents other goroutines
// from starting a process in the meantime: between fork and exec, such a process has a copy of the descriptor that is
// open for writing, and until its exec the kernel refuses to execute the file (ETXTBSY).
func writeExecutable(path, text string) error {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	return os.WriteFile(path, []byte(text), 0o700)
}

// command returns a command that runs program with a watcher, so that its process ends with the run.
func (w *parentWatch) command(program string, args ...string) *exec.Cmd {
	const script = `"$0" hold "$1" $$ & shift; exec "$@"`
	c := exec.Command("/bin/sh", append([]string{"-c", script, w.watcher, w.pipePath, program}, args...)...)
	// A separate process group: Ctrl-C reaches only the run, which then shuts the others down.
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	return c
}

// close closes the write end of the pipe, upon which the watchers kill all processes that still run.
func (w *parentWatch) close() error { return w.writeEnd.Close() }
