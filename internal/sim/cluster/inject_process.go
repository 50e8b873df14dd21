package cluster

import (
	"context"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"olivedale/internal/sim/invariant"
)

const (
	// terminationNotice is how long calls are still routed to a controller after SIGTERM, as the platform documents.
	terminationNotice = 250 * time.Millisecond
	exitPollInterval  = 5 * time.Millisecond
)

// injectControllerFault injects a fault into a controller's process.
func (r *Run) injectControllerFault(ctx context.Context, f *Fault, c *controller) {
	switch f.Kind {
	case FaultPause:
		r.pauseController(ctx, f, c)
	case FaultKill:
		r.killController(ctx, c)
	case FaultTerminate:
		r.terminateController(ctx, c)
	case FaultDiskFull:
		r.fillDisk(ctx, f, c)
	case FaultByzantinePeer:
		r.impersonate(ctx, f, c)
	default: // no fault of controllers
	}
}

// pauseController pauses a controller's process with SIGSTOP for the fault's duration.
func (r *Run) pauseController(ctx context.Context, f *Fault, c *controller) {
	p := c.beginFault(controllerPaused)
	if p == nil {
		return
	}
	r.monitor.record(invariant.Event{Kind: invariant.ControllerPaused, Controller: c.name, IsSet: true})
	_ = p.signal(syscall.SIGSTOP)
	pause(ctx, f.Duration.D())
	r.monitor.record(invariant.Event{Kind: invariant.ControllerPaused, Controller: c.name})
	_ = p.signal(syscall.SIGCONT)
	c.endFault(controllerPaused)
}

// killController kills a controller's process and waits until its agent has restarted it.
func (r *Run) killController(ctx context.Context, c *controller) {
	p := c.beginFault(controllerRestarting)
	if p == nil {
		return
	}
	r.load.Pause(c.number, true)
	_ = p.signal(syscall.SIGKILL)
	awaitExit(ctx, p) // until then, the process may still send set-ups
	r.monitor.record(invariant.Event{Kind: invariant.ControllerEnded, Controller: c.name})
	r.awaitRestart(ctx, c)
}

// terminateController sends SIGTERM to a controller and waits until its agent has restarted it.
func (r *Run) terminateController(ctx context.Context, c *controller) {
	p := c.beginFault(controllerRestarting)
	if p == nil {
		return
	}
	_ = p.signal(syscall.SIGTERM)
	pause(ctx, terminationNotice)
	r.load.Pause(c.number, true)
	awaitExit(ctx, p)
	r.monitor.record(invariant.Event{Kind: invariant.ControllerEnded, Controller: c.name})
	r.awaitRestart(ctx, c)
}

// awaitExit waits until a process has ended. Until then, isServing may still report true for its controller.
func awaitExit(ctx context.Context, p *process) {
	for !p.hasEnded() {
		if !pause(ctx, exitPollInterval) {
			return
		}
	}
}

// fillDisk makes a controller's writes to its records and its log fail by a file size limit of 0 on its process. A
// process that is started in the meantime has no limit.
func (r *Run) fillDisk(ctx context.Context, f *Fault, c *controller) {
	p := c.currentProcess()
	if p == nil {
		return
	}
	if err := limitFileSize(p, 0); err != nil {
		r.violation(ruleHarness, c.name, "setting the file size limit failed: %v", err)
		return
	}
	pause(ctx, f.Duration.D())
	if err := limitFileSize(p, unix.RLIM_INFINITY); err != nil {
		r.violation(ruleHarness, c.name, "lifting the file size limit failed: %v", err)
	}
}

// limitFileSize limits the size of the files that a process writes, in bytes. It returns nil if the process has ended.
func limitFileSize(p *process, size uint64) error {
	if p.hasEnded() {
		return nil
	}
	return unix.Prlimit(p.pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: size, Max: unix.RLIM_INFINITY}, nil)
}

// injectAgentFault injects a fault into an agent's process. The controllers of a killed agent keep running, and are not
// restarted if they end.
func (r *Run) injectAgentFault(ctx context.Context, f *Fault, name string) {
	a := r.agents[slices.IndexFunc(r.agents, func(a *agent) bool { return a.name == name })]
	switch f.Kind {
	case FaultPause:
		_ = a.command.Process.Signal(syscall.SIGSTOP)
		pause(ctx, f.Duration.D())
		_ = a.command.Process.Signal(syscall.SIGCONT)
	case FaultKill:
		r.mu.Lock()
		a.killed = true
		r.mu.Unlock()
		_ = a.command.Process.Kill()
	default: // no fault of agents
	}
}
