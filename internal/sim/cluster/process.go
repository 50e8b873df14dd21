package cluster

import (
	"errors"
	"fmt"
	"syscall"

	"golang.org/x/sys/unix"
)

// A process is a process that an agent started, identified by a descriptor.
type process struct {
	pid        int
	descriptor int
}

func openProcess(pid int) (*process, error) {
	descriptor, err := unix.PidfdOpen(pid, 0)
	if err != nil {
		return nil, fmt.Errorf("process %d: %w", pid, err)
	}
	return &process{pid, descriptor}, nil
}

// signal sends a signal. A process that has ended is no error.
func (p *process) signal(s syscall.Signal) error { return signalProcess(p.descriptor, s) }

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	fds := []unix.PollFd{{Fd: int32(p.descriptor), Events: unix.POLLIN}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0
}

// close closes the descriptor; the process goes on.
func (p *process) close() { _ = unix.Close(p.descriptor) }

// signalProcess sends a signal to the process of a descriptor. A process that has ended is no error.
func signalProcess(descriptor int, s syscall.Signal) error {
	err := unix.PidfdSendSignal(descriptor, s, nil, 0)
	if err != nil && !errors.Is(err, unix.ESRCH) {
		return fmt.Errorf("signal %v: %w", s, err)
	}
	return nil
}
