package cluster

import (
	"errors"
	"fmt"
	"syscall"

	"golang.org/x/sys/unix"
)

// A process is a controller's process, started by an agent. It is identified by a pidfd, because the pid may be reused.
type process struct {
	pid        int
	descriptor int
}

// openProcess opens a pidfd of the process pid.
func openProcess(pid int) (*process, error) {
	descriptor, err := unix.PidfdOpen(pid, 0)
	if err != nil {
		return nil, fmt.Errorf("process %d: %w", pid, err)
	}
	return &process{pid, descriptor}, nil
}

// signal sends a signal to the process. It returns nil if the process has ended.
func (p *process) signal(s syscall.Signal) error { return signalProcess(p.descriptor, s) }

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	fds := []unix.PollFd{{Fd: int32(p.descriptor), Events: unix.POLLIN}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0
}

// close closes the pidfd; the process keeps running.
func (p *process) close() { _ = unix.Close(p.descriptor) }

// signalProcess sends a signal to the process of a pidfd. It returns nil if the process has ended.
func signalProcess(descriptor int, s syscall.Signal) error {
	err := unix.PidfdSendSignal(descriptor, s, nil, 0)
	if err != nil && !errors.Is(err, unix.ESRCH) {
		return fmt.Errorf("signal %v: %w", s, err)
	}
	return nil
}
