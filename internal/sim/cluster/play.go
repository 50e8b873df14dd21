package cluster

import (
	"context"
	"fmt"
	"sync"
	"time"

	"olivedale/internal/sim/invariant"
	"olivedale/internal/sim/loopback"
)

// Intervals at which a run is observed.
const (
	sampleInterval     = time.Second
	crashCheckInterval = 100 * time.Millisecond
)

// play sends calls, injects the faults, checks the conditions and collects the result.
func (r *Run) play(ctx context.Context) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.startTime = time.Now()
	r.monitor.setStartTime(r.startTime)
	loadDone := make(chan error, 1)
	go func() { loadDone <- r.load.Run(ctx) }()
	var scheduled sync.WaitGroup
	for _, f := range r.options.Schedule.Faults {
		scheduled.Go(func() { r.inject(ctx, f) })
	}
	for _, c := range r.options.Conditions {
		scheduled.Go(func() { r.checkCondition(ctx, c) })
	}
	observing, stopObserving := context.WithCancel(ctx)
	defer stopObserving()
	var observers sync.WaitGroup
	observers.Go(func() { r.detectFailures(observing) })
	observers.Go(func() { r.takeSamples(observing) })
	var beforeRecovery []loopback.LoadStats
	observers.Go(func() {
		if r.sleepUntil(observing, r.options.CallDuration*4/5) {
			beforeRecovery = r.loadStats()
		}
	})
	err := <-loadDone
	scheduled.Wait()
	stopObserving()
	observers.Wait()
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		return nil, fmt.Errorf("cluster: %w", ctx.Err())
	}
	r.checkRecovery(beforeRecovery)
	return r.result(), nil
}

// sleepUntil waits until the given time since the start of calls. It reports false if ctx is done before.
func (r *Run) sleepUntil(ctx context.Context, sinceStart time.Duration) bool {
	return pause(ctx, time.Until(r.startTime.Add(sinceStart)))
}

// pause waits for a duration. It reports false if ctx is done before.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// A Sample has the numbers of calls in each zone from the start of calls until a time.
type Sample struct {
	At          float64 `json:"at_s"`
	Sent        []int   `json:"sent"`
	Established []int   `json:"stood"`
}

// takeSamples takes a sample every sampleInterval until ctx is done.
func (r *Run) takeSamples(ctx context.Context) {
	for pause(ctx, sampleInterval) {
		r.takeSample()
	}
}

func (r *Run) takeSample() {
	zones := r.options.Topology.Zones
	s := Sample{
		At:          time.Since(r.startTime).Seconds(),
		Sent:        make([]int, zones),
		Established: make([]int, zones),
	}
	for i, stats := range r.loadStats() {
		zone := r.controllers[i].zone
		s.Sent[zone] += stats.Sent
		s.Established[zone] += stats.Established
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, s)
}

// loadStats returns the current statistics of the callers of each controller.
func (r *Run) loadStats() []loopback.LoadStats {
	var all []loopback.LoadStats
	for i := range r.controllers {
		all = append(all, r.load.StatsOf(i))
	}
	return all
}

// detectFailures checks until ctx is done for controllers that ended without a fault that ends them, and for cold
// exchanges that went down by overload.
func (r *Run) detectFailures(ctx context.Context) {
	var restarts sync.WaitGroup
	defer restarts.Wait()
	for pause(ctx, crashCheckInterval) {
		for _, c := range r.controllers {
			if c.detectCrash() {
				r.violation(ruleNoCrash, c.name,
					"%s ended unexpectedly; the log is %s", c.name, r.logFile.Name())
				r.monitor.record(invariant.Event{Kind: invariant.ControllerEnded, Controller: c.name})
				restarts.Go(func() { r.awaitRestart(ctx, c) })
			}
		}
		for _, s := range r.slots {
			if id, ok := s.detectCollapse(); ok {
				r.monitor.record(invariant.Event{Kind: invariant.ServerCrashed, Server: id})
				r.closeExchangeProxies(id)
			}
		}
	}
}

// awaitRestart pauses calls to a controller that ended until it serves again. If it does not within startTimeout, calls
// stay paused, and a violation is recorded.
func (r *Run) awaitRestart(ctx context.Context, c *controller) {
	r.load.Pause(c.number, true)
	r.monitor.clearNotifications(c.name)
	start := time.Now()
	for !c.isServing() {
		if time.Since(start) > startTimeout {
			r.violation(ruleStarts, c.name, "%s does not serve %v after it ended", c.name, startTimeout)
			return
		}
		if !pause(ctx, startPollInterval) {
			return
		}
		r.pollAgents(ctx)
	}
	c.endFault(controllerRestarting)
	r.load.Pause(c.number, false)
}
