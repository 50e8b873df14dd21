package cluster

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"olivedale/internal/sim/loopback"
)

// Factors by which the seeds of an exchange's successors differ.
const (
	poolSeedStep       = 31
	generationSeedStep = 7
)

// An exchangeSlot is the place of an exchange, and of the ones that replace it.
type exchangeSlot struct {
	name string
	pool int
	zone int

	mu         sync.Mutex
	exchange   *loopback.Exchange
	endpoint   loopback.Endpoint  // of exchange; its address differs for each controller
	draining   *loopback.Endpoint // the predecessor while it drains
	generation int                // number of the next exchange
	collapsed  bool               // the exchange went down while it was cold
	empty      bool               // no exchange runs
}

// endpoints returns the endpoints that discovery lists for the slot.
func (s *exchangeSlot) endpoints() []loopback.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []loopback.Endpoint
	if !s.empty {
		all = append(all, s.endpoint)
	}
	if s.draining != nil {
		all = append(all, *s.draining)
	}
	return all
}

// addAvailability notes which exchanges of the slot take calls.
func (s *exchangeSlot) addAvailability(all availability) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all[s.endpoint.ID] = !s.empty
	if s.draining != nil {
		all[s.draining.ID] = false
	}
}

// current returns the exchange and its endpoint, and whether the slot is free for a replacement.
func (s *exchangeSlot) current() (*loopback.Exchange, loopback.Endpoint, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isReplaceable := !s.empty && s.draining == nil
	return s.exchange, s.endpoint, isReplaceable
}

// setEmpty notes that no exchange runs.
func (s *exchangeSlot) setEmpty() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.empty = true
}

// setDraining notes the endpoint that drains; nil: none does.
func (s *exchangeSlot) setDraining(endpoint *loopback.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = endpoint
}

// detectCollapse reports once whether the exchange went down by overload while it was cold.
func (s *exchangeSlot) detectCollapse() (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.empty || s.collapsed || !s.exchange.HasCollapsed() {
		return "", false
	}
	s.collapsed = true
	return s.endpoint.ID, true
}

// slot returns the exchange slot of a name.
func (r *Run) slot(name string) *exchangeSlot {
	return r.slots[slices.IndexFunc(r.slots, func(s *exchangeSlot) bool { return s.name == name })]
}

// startExchange starts an exchange in a slot.
func (r *Run) startExchange(s *exchangeSlot, cold bool) error {
	seed := r.options.Schedule.Seed + uint64(s.pool)*poolSeedStep + uint64(s.generation)*generationSeedStep
	exchange, err := loopback.Listen("127.0.0.1:0", r.scenario.Model(), cold, seed)
	if err != nil {
		return err
	}
	id := s.name
	if s.generation > 0 {
		id = fmt.Sprintf("%s.%d", s.name, s.generation)
	}
	endpoint := loopback.Endpoint{ID: id, Addr: exchange.Addr(), Zone: zoneName(s.zone), Pool: s.pool}
	if cold {
		endpoint.Started = time.Now()
	}
	for _, c := range r.controllers {
		if err := r.addExchangeProxy(c, endpoint, s.name); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exchange = exchange
	s.endpoint = endpoint
	s.empty = false
	s.collapsed = false
	s.generation++
	return nil
}

// addExchangeProxy puts a proxy on the path from a controller to an exchange.
func (r *Run) addExchangeProxy(c *controller, endpoint loopback.Endpoint, slotName string) error {
	target := func() string { return endpoint.Addr }
	newObserver := func() observer { return r.monitor.observeSIP(c.name, endpoint.ID) }
	p, err := newStreamProxy(c.name, slotName, target, newObserver)
	if err != nil {
		return err
	}
	r.mu.Lock()
	c.exchangeProxies[endpoint.ID] = p
	r.mu.Unlock()
	r.addProxy(p)
	return nil
}

// closeExchangeProxies has nothing listen any more where controllers reach an exchange.
func (r *Run) closeExchangeProxies(id string) {
	for _, c := range r.controllers {
		r.mu.Lock()
		p := c.exchangeProxies[id]
		r.mu.Unlock()
		if p != nil {
			p.close()
		}
	}
}

// endpoints returns the exchanges as a controller reaches them.
func (r *Run) endpoints(c *controller) []loopback.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []loopback.Endpoint
	for _, s := range r.slots {
		for _, endpoint := range s.endpoints() {
			if p := c.exchangeProxies[endpoint.ID]; p != nil {
				endpoint.Addr = p.address()
				all = append(all, endpoint)
			}
		}
	}
	return all
}

// publishEndpoints has discovery publish the present endpoints to all controllers.
func (r *Run) publishEndpoints() {
	update := make(availability)
	for _, s := range r.slots {
		s.addAvailability(update)
	}
	r.monitor.publish(update, func() {
		for _, c := range r.controllers {
			c.nameService.Set(r.endpoints(c)...)
		}
	})
}
