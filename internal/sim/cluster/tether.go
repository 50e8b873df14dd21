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

// A parentWatch ends processes with the rig, however that ends: each process has a small one beside it
// (Hold), which holds the process by a descriptor of its own, so that no other that gets its number
// later is ever meant, and reads a pipe whose other end the rig alone has open.
type parentWatch struct {
	path          string // of the pipe
	lab           string // program that has the command "hold"
	wrapperScript string
	w             *os.File
}

// Hold ends the process of a number when the pipe at path ends, and returns when that process is gone.
func Hold(path string, pid int) error {
	fd, err := unix.PidfdOpen(pid, 0)
	if err != nil {
		return fmt.Errorf("hold %d: %w", pid, err)
	}
	defer func() { _ = unix.Close(fd) }()
	// Without waiting for a writer: the rig opened its end before it started anything.
	pipe, err := unix.Open(path, unix.O_RDONLY|unix.O_NONBLOCK|unix.O_CLOEXEC, 0)
	if err != nil {
		return errors.Join(fmt.Errorf("hold %d: %s: %w", pid, path, err), signalTo(fd, syscall.SIGKILL))
	}
	defer func() { _ = unix.Close(pipe) }()
	// A rig that was gone before this opened its end leaves a pipe that poll never tells the end of; reading does.
	if n, err := unix.Read(pipe, make([]byte, 1)); n == 0 && err == nil {
		return signalTo(fd, syscall.SIGKILL)
	}
	for {
		on := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}, {Fd: int32(pipe), Events: unix.POLLIN}}
		if _, err := unix.Poll(on, -1); err != nil && !errors.Is(err, unix.EINTR) {
			return fmt.Errorf("hold %d: %w", pid, err)
		}
		switch {
		case on[0].Revents != 0:
			return nil
		case on[1].Revents&(unix.POLLHUP|unix.POLLERR) != 0:
			return signalTo(fd, syscall.SIGKILL)
		}
	}
}

// signalTo signals a process by its descriptor. One that is gone already is no error.
func signalTo(fd int, s syscall.Signal) error {
	if err := unix.PidfdSendSignal(fd, s, nil, 0); err != nil && !errors.Is(err, unix.ESRCH) {
		return fmt.Errorf("signal %v: %w", s, err)
	}
	return nil
}

// newParentWatch makes the pipe in dir, and there a script that stands for program wherever a path is wanted:
// it puts a holder beside the process that it becomes.
func newParentWatch(dir, lab, program string) (*parentWatch, error) {
	t := &parentWatch{path: filepath.Join(dir, "alive"), lab: lab, wrapperScript: filepath.Join(dir, "held.sh")}
	if err := unix.Mkfifo(t.path, 0o600); err != nil {
		return nil, fmt.Errorf("tether: %s: %w", t.path, err)
	}
	// For reading as well: opening for writing alone would wait for a reader.
	w, err := os.OpenFile(t.path, os.O_RDWR, 0)
	if err != nil {
		return nil, fmt.Errorf("tether: %w", err)
	}
	t.w = w
	text := fmt.Sprintf("#!/bin/sh\n%q hold %q $$ &\nexec %q \"$@\"\n", lab, t.path, program)
	if err := writeExecutable(t.wrapperScript, text); err != nil {
		return nil, errors.Join(fmt.Errorf("tether: %w", err), w.Close())
	}
	return t, nil
}

// writeExecutable writes a file that can be executed as soon as writeExecutable returns. It lets no other
// goroutine start a process meanwhile: between fork and exec such a process holds a copy of the descriptor
// that is open for writing, and until its exec the kernel refuses to execute the file (ETXTBSY).
func writeExecutable(path, text string) error {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	return os.WriteFile(path, []byte(text), 0o700)
}

// command is one that ends with the rig.
func (t *parentWatch) command(program string, args ...string) *exec.Cmd {
	c := exec.Command("/bin/sh", append([]string{"-c", `"$0" hold "$1" $$ & shift; exec "$@"`, t.lab, t.path, program}, args...)...)
	// In a group of its own: Ctrl-C reaches the rig alone, which then stops the others in order.
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	return c
}

// close lets go: whatever still runs is ended.
func (t *parentWatch) close() error { return t.w.Close() }

// A handle is a process that somebody else started, held by a descriptor.
type handle struct{ pid, fd int }

func open(pid int) (*handle, error) {
	fd, err := unix.PidfdOpen(pid, 0)
	if err != nil {
		return nil, fmt.Errorf("process %d: %w", pid, err)
	}
	return &handle{pid, fd}, nil
}

func (h *handle) signal(s syscall.Signal) error { return signalTo(h.fd, s) }

// gone tells whether it has ended.
func (h *handle) gone() bool {
	on := []unix.PollFd{{Fd: int32(h.fd), Events: unix.POLLIN}}
	n, err := unix.Poll(on, 0)
	return err == nil && n > 0
}

func (h *handle) close() { _ = unix.Close(h.fd) }
