package virtualtime

import (
	"fmt"
	"slices"

	"olivedale/internal/admission"
	"olivedale/internal/sim/eventqueue"
)

// maxDatagramSize is the platform's limit for a datagram between controllers, in bytes.
const maxDatagramSize = 256

// overloadControl is the state of a controller's participation in distributed overload control.
type overloadControl struct {
	peer     Peer        // nil: the controller does not take part
	receive  ReceiveFunc // nil: datagrams are ignored
	nextWake Time        // due time of the event that ticks the peer
}

func (c *controller) startOverloadControl(engine *admission.Engine, seed uint64) {
	s := c.sim
	incarnation := c.incarnation
	send := func(to int, payload []byte) {
		if c.incarnation == incarnation {
			c.sendDatagram(to, payload)
		}
	}
	c.overload.peer, c.overload.nextWake = nil, eventqueue.Never
	if s.options.Datagrams != nil {
		c.overload.receive = s.options.Datagrams(c.index, send)
	}
	if s.options.StartPeer == nil || !s.scenario.Fleet.OverloadControl {
		return
	}
	peer := s.options.StartPeer(PeerConfig{
		Scenario:    s.scenario,
		Controller:  c.index,
		Incarnation: incarnation,
		Seed:        seed,
		Now:         c.clock(),
		Engine:      engine,
		Send:        send,
	})
	c.overload.peer = peer
	c.overload.receive = func(from int, payload []byte) { peer.Receive(c.clock(), from, payload) }
}

// scheduleOverloadTick schedules the next tick of the overload control.
func (c *controller) scheduleOverloadTick() {
	o := &c.overload
	if o.peer == nil {
		return
	}
	next := max(o.peer.NextDeadline()-epoch, c.sim.now)
	if next >= o.nextWake || next > maxDeadline {
		return
	}
	o.nextWake = next
	c.schedule(next, func() {
		isSuperseded := o.nextWake != next
		if isSuperseded {
			return
		}
		o.nextWake = eventqueue.Never
		o.peer.Tick(c.clock())
		c.scheduleTicks()
	})
}

// sendDatagram sends a datagram to one controller or, with Broadcast, to all others. The tally counts it once for each
// receiver, even if it is lost.
func (c *controller) sendDatagram(to int, payload []byte) {
	if len(payload) > maxDatagramSize {
		panic(fmt.Sprintf("virtualtime: datagram of %d bytes exceeds the limit of %d", len(payload), maxDatagramSize))
	}
	for _, receiver := range c.sim.controllers {
		isAddressed := to == Broadcast || to == receiver.index
		if isAddressed && receiver != c {
			c.transmitDatagram(receiver, payload)
		}
	}
}

// transmitDatagram delivers a datagram after a random delay, unless it is lost at random or by a partition.
func (c *controller) transmitDatagram(receiver *controller, payload []byte) {
	s := c.sim
	s.tally.Datagram(len(payload))
	if s.isPartitioned(c.zone, receiver.zone) || s.rng.Float64() < s.scenario.Network.PeerLoss {
		return
	}
	datagram := slices.Clone(payload)
	s.after(s.draw(s.scenario.Network.Peer), func() {
		if receiver.isRunning() && receiver.overload.receive != nil {
			receiver.overload.receive(c.index, datagram)
			receiver.scheduleTicks()
		}
	})
}
