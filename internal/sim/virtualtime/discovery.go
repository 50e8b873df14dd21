package virtualtime

import (
	"olivedale/internal/admission"
	"olivedale/internal/sim/invariant"
)

// discoveryView is the state that a controller has from service discovery.
type discoveryView struct {
	lastUpdateAt Time               // arrival of the endpoint update that was sent last
	missed       []admission.Server // updates that a discovery outage holds back
	isInactive   map[string]bool    // servers that drain or are removed, as recorded for the checker
}

// endpoint returns the entry of the exchange in discovery.
func (e *exchangeInstance) endpoint() admission.Server {
	endpoint := admission.Server{ID: e.id, Pool: e.pool, State: e.state}
	if e.isColdStart {
		endpoint.Started = epoch + e.startedAt + e.sim.faults.clockSkew
	}
	return endpoint
}

// announce sends the endpoint of an exchange to all controllers.
func (s *simulation) announce(e *exchangeInstance) {
	update := e.endpoint()
	for _, c := range s.controllers {
		c.scheduleUpdate(update)
	}
}

// scheduleUpdate schedules the arrival of an endpoint update after a random delay. Updates arrive in the order of
// sending.
func (c *controller) scheduleUpdate(update admission.Server) {
	s := c.sim
	arrival := s.now + s.draw(s.scenario.Network.EndpointUpdates) + s.faults.discoveryDelay
	c.discovery.lastUpdateAt = max(arrival, c.discovery.lastUpdateAt+1)
	c.schedule(c.discovery.lastUpdateAt, func() {
		if s.faults.isDiscoveryDown {
			c.discovery.missed = append(c.discovery.missed, update)
			return
		}
		c.receiveUpdate(update)
	})
}

// receiveUpdate applies the missed endpoint updates and then a new one.
func (c *controller) receiveUpdate(update admission.Server) {
	updates := append(c.discovery.missed, update)
	c.discovery.missed = nil
	for _, u := range updates {
		c.applyUpdate(u)
	}
	c.scheduleTicks()
}

func (c *controller) applyUpdate(u admission.Server) {
	isInactive := u.State != admission.Active
	if isInactive != c.discovery.isInactive[u.ID] {
		c.discovery.isInactive[u.ID] = isInactive
		c.record(invariant.Event{Kind: invariant.ServerUpdated, Server: u.ID, IsSet: isInactive})
	}
	c.manager.UpdateServers([]admission.Server{u}, false)
	if u.State == admission.Removed {
		c.manager.BackendRestarted(u.ID, c.clock()+1)
	}
}

// receiveMissedUpdates applies the updates that a discovery outage held back.
func (c *controller) receiveMissedUpdates() {
	missed := c.discovery.missed
	if !c.isRunning() || len(missed) == 0 {
		return
	}
	last := missed[len(missed)-1]
	c.discovery.missed = missed[:len(missed)-1]
	c.receiveUpdate(last)
}
