package console

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"
)

const (
	// maxConnections bounds the instances of one agent that are polled concurrently.
	maxConnections = 16
	// minPollTimeout is the timeout of a poll if the interval is shorter; otherwise the interval is the timeout.
	minPollTimeout = time.Second
	// instanceRetention is how long the last data of an instance is kept after its agent stops listing it.
	instanceRetention = time.Hour
)

// A Poller is a Source that polls agents and, where an instance has an admin address, the instance itself.
type Poller struct {
	agents []string
	pacer  pacer
	rates  rateCalculator
	known  map[instanceKey]Instance // last data of each instance; not written while a poll is in progress
	events eventLog
}

// NewPoller returns a source that polls the agents at these addresses.
func NewPoller(agents []string, interval time.Duration) *Poller {
	return &Poller{agents: agents, pacer: pacer{interval: interval}, known: make(map[instanceKey]Instance)}
}

// Close implements Source.
func (*Poller) Close() error { return nil }

// Next implements Source. An agent or instance that does not answer is not an error: its instances are shown as
// unresponsive in the snapshot, with their last data.
func (p *Poller) Next(ctx context.Context) (*Snapshot, error) {
	if err := p.pacer.wait(ctx); err != nil {
		return nil, err
	}
	p.pacer.hasFirst = true
	ctx, cancel := context.WithTimeout(ctx, max(p.pacer.interval, minPollTimeout))
	defer cancel()
	instances := p.pollAgents(ctx)
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return nil, ctx.Err()
	}
	for _, i := range instances {
		p.recordChanges(i)
		p.known[i.key()] = i
	}
	p.forgetOldInstances()
	s := &Snapshot{At: time.Now().UTC(), Source: p.label(), Instances: instances, Events: p.events.latest()}
	p.rates.apply(s)
	return s, nil
}

func (p *Poller) label() string {
	if len(p.agents) == 1 {
		return "agent " + p.agents[0]
	}
	return fmt.Sprintf("%d agents", len(p.agents))
}

func (p *Poller) forgetOldInstances() {
	for key, i := range p.known {
		if time.Since(i.Seen) > instanceRetention {
			delete(p.known, key)
		}
	}
}

// pollAgents returns the instances of all agents in the order of the agents.
func (p *Poller) pollAgents(ctx context.Context) []Instance {
	byAgent := make([][]Instance, len(p.agents))
	var wg sync.WaitGroup
	for i, addr := range p.agents {
		wg.Go(func() { byAgent[i] = p.pollAgent(ctx, addr) })
	}
	wg.Wait()
	var all []Instance
	for _, instances := range byAgent {
		all = append(all, instances...)
	}
	return all
}

// pollAgent returns the instances of one agent.
func (p *Poller) pollAgent(ctx context.Context, addr string) []Instance {
	listed, err := ListInstances(ctx, addr)
	if err != nil {
		return p.unresponsiveInstances(addr, err)
	}
	all := make([]Instance, len(listed))
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConnections)
	for i, entry := range listed {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			all[i] = p.pollInstance(ctx, addr, entry)
		})
	}
	wg.Wait()
	return all
}

// unresponsiveInstances returns the known instances of an agent that does not answer, or a placeholder for the agent.
func (p *Poller) unresponsiveInstances(agent string, err error) []Instance {
	var all []Instance
	for _, i := range p.known {
		if i.Agent == agent {
			i.State = StateUnresponsive
			i.Problem = "its agent does not answer: " + err.Error()
			all = append(all, i)
		}
	}
	if len(all) == 0 {
		all = []Instance{{Name: "(agent)", Agent: agent, State: StateUnresponsive, Problem: err.Error()}}
	}
	return all
}

// pollInstance returns the data of one instance. An instance that cannot be polled keeps its last data.
func (p *Poller) pollInstance(ctx context.Context, agent string, entry ListedInstance) Instance {
	instance := p.known[instanceKey{agent: agent, name: entry.Name}]
	instance.Name = entry.Name
	instance.Agent = agent
	instance.State = entry.State
	instance.PID = entry.PID
	instance.Problem = ""
	instance.Starts, _ = strconv.Atoi(entry.Starts)
	if entry.State != StateRunning && entry.State != StateDraining {
		instance.Seen = time.Now().UTC()
		return instance
	}
	if entry.Admin == "" {
		instance.Seen = time.Now().UTC()
		instance.Problem = "it has no admin address; set h248.admin"
		return instance
	}
	audit, err := AuditInstance(ctx, entry.Admin)
	if err != nil {
		instance.State = StateUnresponsive
		instance.Problem = err.Error()
		return instance
	}
	instance.Seen = time.Now().UTC()
	audit.applyTo(&instance)
	return instance
}
