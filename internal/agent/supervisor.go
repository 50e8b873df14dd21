package agent

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Delays and timeouts of supervision.
const (
	minRestartDelay = 200 * time.Millisecond
	maxRestartDelay = 10 * time.Second
	stableRunTime   = 10 * time.Second // a process that ran longer is restarted after minRestartDelay
	drainTimeout    = 15 * time.Second // a process that has not drained after this time is killed
)

// supervise runs the process of an instance, and restarts it whenever it ends, until a drain is requested.
func (a *Agent) supervise(i *instance) {
	delay := newBackoff(minRestartDelay, maxRestartDelay)
	for {
		start := time.Now()
		err := a.runProcess(i)
		if i.isDrainRequested() {
			break
		}
		if time.Since(start) > stableRunTime {
			delay.reset()
		}
		a.log.Infow("ended", "name", i.name, "err", fmt.Sprint(err), "again_in", delay.delay)
		i.setState(Restarting, 0)
		if !delay.wait(i.drain) {
			break
		}
		delay.increase()
	}
	i.setState(Drained, 0)
}

// runProcess starts the process of an instance and waits until it ends. It terminates the process when a drain is
// requested.
func (a *Agent) runProcess(i *instance) error {
	if i.isDrainRequested() {
		return nil
	}
	cmd, err := a.prepareCommand(i)
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	pid := cmd.Process.Pid
	i.setState(Running, pid)
	if i.spec.adminAddr() != "" && i.spec.Records != nil {
		stopClockExchange := a.startClockExchange(i)
		defer stopClockExchange()
	}
	a.log.Infow("running", "name", i.name, "pid", pid)
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }() // ends with the process, for which runProcess waits below
	select {
	case err := <-exited:
		return err
	case <-i.drain.Done():
	}
	i.setState(Draining, pid)
	return a.terminate(i, cmd.Process, exited)
}

// prepareCommand writes the files of an instance and returns the command that runs its process.
func (a *Agent) prepareCommand(i *instance) (*exec.Cmd, error) {
	dir, err := filepath.Abs(filepath.Join(a.dir, i.name))
	if err != nil {
		return nil, err
	}
	configPath, err := writeFiles(dir, &i.spec)
	if err != nil {
		return nil, fmt.Errorf("writing the instance's files: %w", err)
	}
	cmd := exec.Command(a.program)
	cmd.Dir = dir
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+configPath)
	cmd.Stdout = os.Stdout
	cmd.Stderr = os.Stderr
	return cmd, nil
}

// terminate sends SIGTERM to a process, which makes it drain, and kills it if it has not exited after drainTimeout.
func (a *Agent) terminate(i *instance, process *os.Process, exited <-chan error) error {
	if err := process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		a.log.Warnw("signal_failed", "name", i.name, "err", err)
	}
	select {
	case err := <-exited:
		return err
	case <-time.After(drainTimeout):
		_ = process.Kill()
		return <-exited
	}
}
