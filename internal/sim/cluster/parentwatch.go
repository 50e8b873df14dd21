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

// A parentWatch ends the processes of a run when the run's own process ends, in whatever way. Each process has a
// small watcher process beside it (Hold), which has a descriptor of the process, so that no later process with the
// same number is meant, and reads a pipe whose other end the run alone has open.
type parentWatch struct {
	pipePath      string
	watcher       string // program that has the command "hold"
	wrapperScript string // runs the program with a watcher beside it
	writeEnd      *os.File
}

// KillWithParent kills the process pid when the pipe at path ends, and returns when that process has ended.
func KillWithParent(path string, pid int) error {
	process, err := unix.PidfdOpen(pid, 0)
	if err != nil {
		return fmt.Errorf("hold %d: %w", pid, err)
	}
	defer func() { _ = unix.Close(process) }()
	// Opening does not wait for a writer: the parent opened its end before it started anything.
	pipe, err := unix.Open(path, unix.O_RDONLY|unix.O_NONBLOCK|unix.O_CLOEXEC, 0)
	if err != nil {
		return errors.Join(fmt.Errorf("hold %d: %s: %w", pid, path, err), signalProcess(process, syscall.SIGKILL))
	}
	defer func() { _ = unix.Close(pipe) }()
	// If the parent ended before the pipe was opened here, poll never reports the end of the pipe; read does.
	if n, err := unix.Read(pipe, make([]byte, 1)); n == 0 && err == nil {
		return signalProcess(process, syscall.SIGKILL)
	}
	return awaitEnd(pid, process, pipe)
}

// awaitEnd waits until the process or the pipe ends, and kills the process in the latter case.
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

// newParentWatch makes the pipe in dir, and the script that runs program with a watcher beside it.
func newParentWatch(dir, watcher, program string) (*parentWatch, error) {
	w := &parentWatch{
		pipePath:      filepath.Join(dir, "alive"),
		watcher:       watcher,
		wrapperScript: filepath.Join(dir, "held.sh"),
	}
	if err := unix.Mkfifo(w.pipePath, 0o600); err != nil {
		return nil, fmt.Errorf("parent watch: %s: %w", w.pipePath, err)
	}
	// Opened for reading as well: opening for writing alone would wait for a reader.
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

// writeExecutable writes a file that can be executed as soon as writeExecutable returns. It lets no other
// goroutine start a process meanwhile: between fork and exec such a process holds a copy of the descriptor
// that is open for writing, and until its exec the kernel refuses to execute the file (ETXTBSY).
func writeExecutable(path, text string) error {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	return os.WriteFile(path, []byte(text), 0o700)
}

// command returns a command whose process ends with the run.
func (w *parentWatch) command(program string, args ...string) *exec.Cmd {
	const script = `"$0" hold "$1" $$ & shift; exec "$@"`
	c := exec.Command("/bin/sh", append([]string{"-c", script, w.watcher, w.pipePath, program}, args...)...)
	// A process group of its own: Ctrl-C reaches the run alone, which then stops the others in order.
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	return c
}

// close ends the pipe, and with it whatever still runs.
func (w *parentWatch) close() error { return w.writeEnd.Close() }
