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
	// settleTime is how long a trial goes on once no calls are made: the longest time that a rule gives, and a margin.
	trialSettleTime = lossTime + time.Second
	// firstPort is the port of the first controller, on an address of the trial's own.
	firstPort = 7000
	// stopTimeout bounds the orderly end of all processes.
	stopTimeout = 6 * time.Second
	// traceFileName is the file of the messages between controllers and exchanges.
	traceFileName = "messages.txt"
)

// Options say how a story is played.
type Options struct {
	Program string    // path of olivedale
	Dir     string    // folder for configurations and logs; Play makes it and leaves it
	Out     io.Writer // progress, as text; nil: none
}

// A Result is what a trial showed.
type Result struct {
	Story      *Story                 `json:"story"`
	Counts     Counts                 `json:"counts"`
	Violations []*invariant.Violation `json:"violations"`
}

// A Run is a trial that runs.
type Run struct {
	options     Options
	story       *Story
	startTime   time.Time
	judge       *judge
	directory   *directory
	controllers []*controller
	done        chan struct{} // closed when no more calls are made
	trace       *messageTrace
	traceFile   *os.File

	outMu sync.Mutex

	mu         sync.Mutex
	exchanges  []*exchange // by place
	all        []*exchange // also those that were replaced
	generation int
}

// Play plays a story and returns when all that it started has ended. An error is one of the harness; what the program
// did wrong is in the Result.
func Play(o Options, story *Story) (*Result, error) {
	r, err := newRun(o, story)
	if err != nil {
		return nil, err
	}
	defer r.stop()
	if err := r.start(); err != nil {
		return nil, err
	}
	r.play()
	r.checkEnd()
	violations, counts := r.judge.finish()
	return &Result{Story: story, Counts: counts, Violations: violations}, nil
}

func newRun(o Options, story *Story) (*Run, error) {
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
	r := &Run{
		options: o, story: story, startTime: now, judge: newJudge(now), done: make(chan struct{}),
		trace: newMessageTrace(traceFile, now), traceFile: traceFile,
	}
	r.directory = newDirectory(r.judge)
	host := loopback.RandomHost()
	for i := range story.Deployment.Controllers {
		c := &controller{
			run: r, name: fmt.Sprint("n", i), number: i, listen: fmt.Sprint(host, ":", firstPort+i), dir: dir,
		}
		c.callers = newCallers(r, c, story.Seed)
		r.controllers = append(r.controllers, c)
	}
	return r, nil
}

// start starts the exchanges and the controllers.
func (r *Run) start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for place := range r.story.Deployment.Exchanges {
		x, err := r.newExchange(fmt.Sprint("s-", place), place)
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

// newExchange starts an exchange. Run.mu is held.
func (r *Run) newExchange(id string, place int) (*exchange, error) {
	var names []string
	for _, c := range r.controllers {
		names = append(names, c.name)
	}
	x, err := startExchange(exchangeOptions{
		id: id, pool: place, controllers: names, meanHold: r.story.Deployment.MeanHold.D(),
		seed: r.story.Seed + uint64(r.generation), trace: r.trace,
	}, r.judge)
	if err == nil {
		r.all = append(r.all, x)
	}
	return x, err
}

// exchange returns the exchange in a place.
func (r *Run) exchange(place int) *exchange {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.exchanges[place]
}

// standsAtExchange reports whether a call is established at an exchange that runs.
func (r *Run) standsAtExchange(id, server string) bool {
	r.mu.Lock()
	all := r.all
	r.mu.Unlock()
	for _, x := range all {
		x.mu.Lock()
		c := x.calls[id]
		stands := x.id == server && c != nil && c.isEstablished
		x.mu.Unlock()
		if stands {
			return true
		}
	}
	return false
}

// play makes calls, injects the faults, and waits until all rules have been able to be broken.
func (r *Run) play() {
	var playing sync.WaitGroup
	start := time.Now()
	for _, c := range r.controllers {
		playing.Go(func() { c.callers.generate(r.done) })
		if r.story.Callers.AreBad {
			playing.Go(func() { c.callers.runBadClients(r.done, r.story.Seed) })
		}
	}
	for _, f := range r.story.Faults {
		playing.Go(func() {
			time.Sleep(time.Until(start.Add(f.At.D())))
			r.inject(f)
		})
	}
	time.Sleep(time.Until(start.Add(r.story.CallTime.D())))
	close(r.done)
	playing.Wait() // faults have ended by now, also those that callers do not see any more
	time.Sleep(trialSettleTime + r.story.Deployment.Deadline.D()/4)
}

// check logs an error of the harness.
func (r *Run) check(err error) {
	if err != nil {
		r.logf("harness: %v", err)
	}
}

// checkEnd checks what must hold at the end: processes, limits, calls that stand, the orderly end.
func (r *Run) checkEnd() {
	for _, c := range r.controllers {
		c.checkRunning()
		c.checkLimits()
	}
	r.mu.Lock()
	all := r.all
	r.mu.Unlock()
	for _, x := range all {
		if x.isRunning() {
			x.recordStanding()
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

// stop ends everything that runs.
func (r *Run) stop() {
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
			r.logf("%s does not end", c.name)
		}
		c.callers.disconnect()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.all {
		x.close()
	}
	r.directory.close()
	r.check(errors.Join(r.trace.flush(), r.traceFile.Close()))
}

// logf writes a line of progress, with the time of the trial.
func (r *Run) logf(format string, args ...any) {
	r.outMu.Lock()
	defer r.outMu.Unlock()
	_, _ = fmt.Fprintf(r.options.Out, "%6.2fs  %s\n", time.Since(r.startTime).Seconds(), fmt.Sprintf(format, args...))
}
