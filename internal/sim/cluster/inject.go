package cluster

import (
	"context"
	"sync"
	"time"

	"olivedale/internal/sim/exchange"
	"olivedale/internal/sim/loopback"
)

// An InjectedFault is a fault with the time at which it was injected.
type InjectedFault struct {
	At    float64 `json:"at_s"`
	Fault *Fault  `json:"step"`
}

// dropNoticePeriod is how long a replaced exchange keeps running after it dropped its calls, to report them.
const dropNoticePeriod = 200 * time.Millisecond

// inject waits until a fault is due, injects it and ends it after its duration.
func (r *Run) inject(ctx context.Context, f *Fault) {
	if !r.sleepUntil(ctx, f.At.D()) {
		return
	}
	r.mu.Lock()
	r.injected = append(r.injected, InjectedFault{time.Since(r.startTime).Seconds(), f})
	r.mu.Unlock()
	r.logf("-> %v", f)
	if f.Kind.isOnPath() {
		r.injectPathFault(ctx, f)
		return
	}
	names, _ := r.options.Topology.Match(f.From) // no error: prepare checked the schedule
	var targets sync.WaitGroup
	defer targets.Wait()
	for _, name := range names {
		targets.Go(func() { r.injectComponentFault(ctx, f, name) })
	}
}

// injectComponentFault injects a fault into one component.
func (r *Run) injectComponentFault(ctx context.Context, f *Fault, name string) {
	switch kindOf(name) {
	case kindStore:
		r.injectStoreFault(ctx, f)
	case kindExchange:
		r.injectExchangeFault(ctx, f, r.slot(name))
	case kindAgent:
		r.injectAgentFault(ctx, f, name)
	default:
		r.injectControllerFault(ctx, f, r.controller(name))
	}
}

// injectExchangeFault injects a fault into an exchange.
func (r *Run) injectExchangeFault(ctx context.Context, f *Fault, s *exchangeSlot) {
	server, _, _ := s.current()
	duration := f.Duration.D()
	switch f.Kind {
	case FaultSlowdown:
		server.Do(func(x *exchange.Exchange, _ exchange.Time) { x.SetSlowdown(f.Factor) })
		pause(ctx, duration)
		server.Do(func(x *exchange.Exchange, _ exchange.Time) { x.SetSlowdown(1) })
	case FaultHang:
		server.Do(func(x *exchange.Exchange, now exchange.Time) { x.SetHung(now, true) })
		pause(ctx, duration)
		server.Do(func(x *exchange.Exchange, now exchange.Time) { x.SetHung(now, false) })
	case FaultDropCalls:
		server.Do(func(x *exchange.Exchange, now exchange.Time) {
			x.DropCalls(now, int(f.Fraction*float64(x.EstablishedCalls())))
		})
	case FaultCrash:
		r.crashExchange(ctx, f, s)
	case FaultReplace:
		r.replaceExchange(ctx, f, s)
	default: // no fault of exchanges
	}
}

// crashExchange ends an exchange and starts a cold one after the fault's duration.
func (r *Run) crashExchange(ctx context.Context, f *Fault, s *exchangeSlot) {
	server, endpoint, isReplaceable := s.current()
	if !isReplaceable {
		return
	}
	s.setEmpty()
	r.endExchange(server, endpoint)
	r.publishEndpoints()
	pause(ctx, f.Duration.D())
	r.startSuccessor(s)
}

// replaceExchange starts a cold exchange, drains the old one for the fault's duration and then ends it.
func (r *Run) replaceExchange(ctx context.Context, f *Fault, s *exchangeSlot) {
	server, endpoint, isReplaceable := s.current()
	if !isReplaceable {
		return
	}
	draining := endpoint
	draining.Draining = true
	s.setDraining(&draining)
	r.startSuccessor(s)
	pause(ctx, f.Duration.D())
	server.Do(func(x *exchange.Exchange, now exchange.Time) { x.DropCalls(now, x.EstablishedCalls()) })
	pause(ctx, dropNoticePeriod)
	s.setDraining(nil)
	r.endExchange(server, endpoint)
	r.publishEndpoints()
}

// endExchange ends an exchange and closes its proxies, which resets the connections of controllers to it.
func (r *Run) endExchange(server *loopback.Exchange, endpoint loopback.Endpoint) {
	server.Close()
	r.closeExchangeProxies(endpoint.ID)
}

// startSuccessor starts a cold exchange in a slot and publishes its endpoint.
func (r *Run) startSuccessor(s *exchangeSlot) {
	if err := r.startExchange(s, true); err != nil {
		r.violation(ruleHarness, "", "starting an exchange failed: %v", err)
		return
	}
	r.publishEndpoints()
}
