package cluster

import (
	"context"
	"errors"
	"fmt"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"olivedale/internal/adminapi"
	"olivedale/internal/codec/h248"
)

// instancePrefix is the key prefix of desired instances in etcd. Each agent has its own subtree below it.
const instancePrefix = "/olivedale/instances/"

// agentPollTimeout bounds one status request to an agent.
const agentPollTimeout = 500 * time.Millisecond

// An agent is the process that starts and supervises the controllers of its zone.
type agent struct {
	name       string
	addr       string
	command    *exec.Cmd
	ended      chan error
	storeProxy *streamProxy

	killed bool // guarded by Run.mu
}

// startAgent starts an agent's process, and the proxy between the agent and the store.
func (r *Run) startAgent(a *agent) error {
	var err error
	if a.storeProxy, err = newStreamProxy(a.name, storeName, r.etcd.Addr, nil); err != nil {
		return err
	}
	r.addProxy(a.storeProxy)
	if a.addr, err = r.ports.Allocate(); err != nil {
		return err
	}
	a.command = r.parentWatch.command(
		filepath.Join(r.options.Bin, "oliveagent"),
		"--etcd", a.storeProxy.address(),
		"--prefix", instancePrefix+a.name+"/",
		"--dir", filepath.Join(r.options.Dir, a.name),
		"--program", r.parentWatch.wrapperScript,
		"--listen", a.addr,
	)
	a.command.Stdout = r.logFile
	a.command.Stderr = r.logFile
	if err := a.command.Start(); err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	a.ended = make(chan error, 1)
	go func() { a.ended <- a.command.Wait() }()
	return nil
}

// terminate resumes the agent if it is paused and asks it to stop.
func (a *agent) terminate() {
	if a.command == nil || a.command.Process == nil {
		return
	}
	_ = a.command.Process.Signal(syscall.SIGCONT)
	_ = a.command.Process.Signal(syscall.SIGTERM)
}

// awaitAgents waits until all agents have ended. It returns an error that names those that are still running after the
// timeout; closing the parent watch kills them.
func (r *Run) awaitAgents(timeout time.Duration) error {
	deadline := time.After(timeout)
	var err error
	for _, a := range r.agents {
		if a.ended == nil {
			continue
		}
		select {
		case <-a.ended:
		case <-deadline:
			err = errors.Join(err, fmt.Errorf("cluster: %s did not stop within %v and will be killed", a.name, timeout))
			deadline = time.After(0)
		}
	}
	return err
}

// pollAgents asks all agents that were not killed which controller processes they run.
func (r *Run) pollAgents(ctx context.Context) {
	var polls sync.WaitGroup
	for _, a := range r.agents {
		if !r.isKilled(a) {
			polls.Go(func() { r.pollAgent(ctx, a) })
		}
	}
	polls.Wait()
}

func (r *Run) isKilled(a *agent) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return a.killed
}

// pollAgent asks one agent. Errors are ignored: the agent may be paused, or may not listen yet.
func (r *Run) pollAgent(ctx context.Context, a *agent) {
	ctx, cancel := context.WithTimeout(ctx, agentPollTimeout)
	defer cancel()
	reply, err := adminapi.Send(ctx, a.addr, adminapi.AuditCommand("ROOT"))
	if err != nil {
		return
	}
	for _, descriptor := range reply.Descriptors {
		for _, instance := range descriptor.Children {
			r.applyInstanceReport(instance)
		}
	}
}

// applyInstanceReport updates a controller from an agent's report on its instance.
func (r *Run) applyInstanceReport(instance *h248.Node) {
	value := func(property string) string {
		return h248.Value([]*h248.Node{instance}, "oa/instance", property)
	}
	c := r.controller(value("name"))
	var pid, starts int
	_, err := fmt.Sscan(value("pid")+" "+value("starts"), &pid, &starts)
	if c == nil || err != nil || pid <= 1 {
		return
	}
	c.updateProcess(pid, starts)
}
