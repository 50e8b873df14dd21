package soak

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"olivedale/internal/sim/invariant"
	"olivedale/internal/sim/loopback"
)

const (
	// settleTime is how long a run continues after the last call: the longest time limit of a rule, and a margin.
	settleTime = lossNotifyLimit + time.Second
	// firstPort is the port of the first controller. Each run has its own loopback address.
	firstPort = 7000
	// stopTimeout is how long a killed process may take to end.
	stopTimeout = 6 * time.Second
	// traceFileName is the file with the log of messages between controllers and exchanges.
	traceFileName = "messages.txt"
)

// Options configure a run.
type Options struct {
	Program string    // path of the program olivedale
	Dir     string    // directory for configurations and logs; it is created, and kept after the run
	Out     io.Writer // progress as text; nil: discarded
}

// A Result is the result of a run.
type Result struct {
	Plan       *Plan                  `json:"story"`
	Counts     Counts                 `json:"counts"`
	Violations []*invariant.Violation `json:"violations"`
}

// A runner executes a plan.
type runner struct {
	options     Options
	plan        *Plan
	startTime   time.Time
	monitor     *monitor
	directory   *directory
	controllers []*controller
	done        chan struct{} // closed when no more calls are made
	trace       *messageTrace
	traceFile   *os.File

	outMu sync.Mutex

	mu         sync.Mutex
	exchanges  []*exchange // by slot
	all        []*exchange // including those that were replaced
	generation int
}

// Run runs a plan and returns when all processes and servers have ended. An error is one of the test harness;
// violations by the program are in the Result.
func Run(o Options, plan *Plan) (*Result, error) {
	r, err := newRun(o, plan)
	if err != nil {
		return nil, err
	}
	defer r.stop()
	if err := r.start(); err != nil {
		return nil, err
	}
	r.execute()
	r.checkEnd()
	violations, counts := r.monitor.finish()
	return &Result{Plan: plan, Counts: counts, Violations: violations}, nil
}

func newRun(o Options, plan *Plan) (*runner, error) {
	if o.Out == nil {
		o.Out = io.Discard
	}
	dir, err := filepath.Abs(o.Dir)
	if err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	o.Dir = dir
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	traceFile, err := os.Create(filepath.Join(dir, traceFileName))
	if err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	now := time.Now()
	r := &runner{
		options: o, plan: plan, startTime: now, monitor: newMonitor(now), done: make(chan struct{}),
		trace: newMessageTrace(traceFile, now), traceFile: traceFile,
	}
	r.directory = newDirectory(r.monitor)
	host := loopback.RandomHost()
	for i := range plan.Deployment.Controllers {
		c := &controller{
			run: r, name: fmt.Sprint("n", i), number: i, listen: fmt.Sprint(host, ":", firstPort+i), dir: dir,
		}
		c.callers = newCallers(r, c, plan.Seed)
		r.controllers = append(r.controllers, c)
	}
	return r, nil
}

// start starts the exchanges and the controllers.
func (r *runner) start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for slot := range r.plan.Deployment.Exchanges {
		x, err := r.newExchange(fmt.Sprint("s-", slot), slot)
		if err != nil {
			return err
		}
		r.exchanges = append(r.exchanges, x)
		r.directory.add(x)
	}
	r.directory.publish()
	errs := make([]error, len(r.controllers))
	var starting sync.WaitGroup
	for i, c := range r.controllers {
		starting.Go(func() { errs[i] = c.start() })
	}
	starting.Wait()
	return errors.Join(errs...)
}

// newExchange starts an exchange. runner.mu is held.
func (r *runner) newExchange(id string, slot int) (*exchange, error) {
	var names []string
	for _, c := range r.controllers {
		names = append(names, c.name)
	}
	x, err := startExchange(exchangeOptions{
		id: id, pool: slot, controllers: names, meanHold: r.plan.Deployment.MeanHold.D(),
		seed: r.plan.Seed + uint64(r.generation), trace: r.trace,
	}, r.monitor)
	if err == nil {
		r.all = append(r.all, x)
	}
	return x, err
}

// exchange returns the current exchange of a slot.
func (r *runner) exchange(slot int) *exchange {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.exchanges[slot]
}

// isEstablishedAt reports whether a call is established at an exchange.
func (r *runner) isEstablishedAt(id, server string) bool {
	r.mu.Lock()
	all := r.all
	r.mu.Unlock()
	for _, x := range all {
		x.mu.Lock()
		c := x.calls[id]
		isEstablished := x.id == server && c != nil && c.isEstablished
		x.mu.Unlock()
		if isEstablished {
			return true
		}
	}
	return false
}

// execute generates calls, injects the faults, and waits until the time limits of all rules have passed.
func (r *runner) execute() {
	var running sync.WaitGroup
	start := time.Now()
	for _, c := range r.controllers {
		running.Go(func() { c.callers.generate(r.done) })
		if r.plan.Callers.HasBadClients {
			running.Go(func() { c.callers.runBadClients(r.done, r.plan.Seed) })
		}
	}
	for _, f := range r.plan.Faults {
		running.Go(func() {
			time.Sleep(time.Until(start.Add(f.At.D())))
			r.inject(f)
		})
	}
	time.Sleep(time.Until(start.Add(r.plan.CallTime.D())))
	close(r.done)
	running.Wait() // waits for faults too, some of which end after the last call
	time.Sleep(settleTime + r.plan.Deployment.Deadline.D()/4)
}

// logError logs an error of the test harness.
func (r *runner) logError(err error) {
	if err != nil {
		r.logf("harness: %v", err)
	}
}

// checkEnd checks the state at the end of a run: processes, limits, established calls, and the exit after SIGTERM.
func (r *runner) checkEnd() {
	for _, c := range r.controllers {
		c.checkRunning()
		c.checkLimits()
	}
	r.mu.Lock()
	all := r.all
	r.mu.Unlock()
	for _, x := range all {
		if x.isRunning() {
			x.recordEstablished()
		}
	}
	var stopping sync.WaitGroup
	for _, c := range r.controllers {
		stopping.Go(func() {
			if !c.hasExited() {
				c.terminate()
			}
		})
	}
	stopping.Wait()
}

// stop ends all processes, exchanges and name services.
func (r *runner) stop() {
	for _, c := range r.controllers {
		c.mu.Lock()
		process, exited := c.process, c.exited
		c.mu.Unlock()
		if process == nil {
			continue
		}
		_ = process.Process.Kill()
		select {
		case <-exited:
		case <-time.After(stopTimeout):
			r.logf("%s has not ended after SIGKILL", c.name)
		}
		c.callers.disconnect()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.all {
		x.close()
	}
	r.directory.close()
	r.logError(errors.Join(r.trace.flush(), r.traceFile.Close()))
}

// logf writes a line of progress, with the time since the start of the run.
func (r *runner) logf(format string, args ...any) {
	r.outMu.Lock()
	defer r.outMu.Unlock()
	_, _ = fmt.Fprintf(r.options.Out, "%6.2fs  %s\n", time.Since(r.startTime).Seconds(), fmt.Sprintf(format, args...))
}
