package cluster

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"olivedale/internal/sim/loopback"
)

// Steps between the seeds of exchanges: from one pool to the next, and from an exchange to its successor.
const (
	poolSeedStep       = 31
	generationSeedStep = 7
)

// An exchangeSlot holds an exchange and, after a crash or a replacement, its successor. Name, pool and zone stay.
type exchangeSlot struct {
	name string
	pool int
	zone int

	mu         sync.Mutex
	exchange   *loopback.Exchange
	endpoint   loopback.Endpoint  // of exchange; each controller reaches it at the address of a proxy instead
	draining   *loopback.Endpoint // the replaced exchange while it drains; nil: none
	generation int                // number of exchanges started in the slot
	collapsed  bool               // the exchange went down by overload while it was cold
	empty      bool               // no exchange is running
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

// addAvailability adds to all whether each exchange of the slot accepts calls.
func (s *exchangeSlot) addAvailability(all availability) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all[s.endpoint.ID] = !s.empty
	if s.draining != nil {
		all[s.draining.ID] = false
	}
}

// current returns the exchange and its endpoint, and whether the exchange can be replaced: it runs, and no predecessor
// drains.
func (s *exchangeSlot) current() (*loopback.Exchange, loopback.Endpoint, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isReplaceable := !s.empty && s.draining == nil
	return s.exchange, s.endpoint, isReplaceable
}

// setEmpty records that no exchange is running.
func (s *exchangeSlot) setEmpty() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.empty = true
}

// setDraining records the endpoint that drains, or nil for none.
func (s *exchangeSlot) setDraining(endpoint *loopback.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = endpoint
}

// detectCollapse returns the ID of the exchange and true if it went down by overload while it was cold. It reports each
// collapse only once.
func (s *exchangeSlot) detectCollapse() (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.empty || s.collapsed || !s.exchange.HasCollapsed() {
		return "", false
	}
	s.collapsed = true
	return s.endpoint.ID, true
}

// slot returns the exchange slot with the given name.
func (r *Run) slot(name string) *exchangeSlot {
	return r.slots[slices.IndexFunc(r.slots, func(s *exchangeSlot) bool { return s.name == name })]
}

// startExchange starts an exchange in a slot, with a proxy for each controller.
func (r *Run) startExchange(s *exchangeSlot, cold bool) error {
	seed := r.options.Schedule.Seed + uint64(s.pool)*poolSeedStep + uint64(s.generation)*generationSeedStep
	exchange, err := loopback.Listen("127.0.0.1:0", r.scenario.ExchangeSettings(), cold, seed)
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

// addExchangeProxy starts the proxy on the path from a controller to an exchange.
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

// closeExchangeProxies closes the proxies to an exchange, so that controllers can no longer connect to it.
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

// endpoints returns the endpoints of all exchanges, with the addresses of the controller's proxies.
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

// publishEndpoints publishes the current endpoints to all controllers through discovery.
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
