package cluster

import (
	"context"
	"fmt"
	"sync"
	"time"

	"olivedale/internal/sim/invariant"
	"olivedale/internal/sim/loopback"
)

// Intervals of what observes a run.
const (
	sampleInterval     = time.Second
	crashCheckInterval = 100 * time.Millisecond
)

// play offers calls, injects the faults and collects the result.
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

// sleepUntil waits until a time since the start of the run. It reports false if ctx ends before.
func (r *Run) sleepUntil(ctx context.Context, sinceStart time.Duration) bool {
	return pause(ctx, time.Until(r.startTime.Add(sinceStart)))
}

// pause waits for a duration. It reports false if ctx ends before.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// A Sample is what callers of each zone got from the start until a time.
type Sample struct {
	At          float64 `json:"at_s"`
	Sent        []int   `json:"sent"`
	Established []int   `json:"stood"`
}

// takeSamples takes a sample each second until ctx ends.
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

// loadStats returns what callers of each controller got until now.
func (r *Run) loadStats() []loopback.LoadStats {
	var all []loopback.LoadStats
	for i := range r.controllers {
		all = append(all, r.load.StatsOf(i))
	}
	return all
}

// detectFailures looks until ctx ends for processes that ended though the run did not end them, and for cold
// exchanges that went down by overload.
func (r *Run) detectFailures(ctx context.Context) {
	var restarts sync.WaitGroup
	defer restarts.Wait()
	for pause(ctx, crashCheckInterval) {
		for _, c := range r.controllers {
			if c.detectCrash() {
				r.violation(ruleNoCrash, c.name,
					"%s ended though the run did not end it; its log is in %s", c.name, r.logFile.Name())
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

// awaitRestart waits until a controller that ended serves again, and then sends calls to it.
func (r *Run) awaitRestart(ctx context.Context, c *controller) {
	r.load.Pause(c.number, true)
	r.monitor.clearNotifications(c.name)
	start := time.Now()
	for !c.isServing() {
		if time.Since(start) > startTimeout {
			r.violation(ruleStarts, c.name, "%s does not serve %v after its end", c.name, startTimeout)
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
