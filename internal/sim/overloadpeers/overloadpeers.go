// Package overloadpeers runs the product's distributed overload control (package overload) among the controllers of a
// virtual-time simulation, with byzantine peers if the scenario has them. The simulation itself does not depend on it,
// so it can also run controllers without overload control.
package overloadpeers

import (
	"time"

	"olivedale/internal/overload"
	"olivedale/internal/sim/virtualtime"
)

// honestPeer is a controller that runs the product's overload control. It implements virtualtime.Peer.
type honestPeer struct {
	member *overload.Member
	send   virtualtime.SendFunc
}

// Start starts the overload control of one controller. It is meant for virtualtime.Options.StartPeer. The controllers
// with the lowest indexes are byzantine; Fleet.ByzantineShare of the scenario sets their share of the fleet.
func Start(cfg virtualtime.PeerConfig) virtualtime.Peer {
	fleet := &cfg.Scenario.Fleet
	byzantinePeers := int(fleet.ByzantineShare * float64(fleet.Controllers))
	if cfg.Controller < byzantinePeers {
		return newByzantinePeer(cfg)
	}
	member, err := overload.New(cfg.Now, overload.Options{
		Self:             cfg.Controller,
		Controllers:      fleet.Controllers,
		Incarnation:      uint32(cfg.Incarnation),
		Seed:             cfg.Seed,
		LatencyThreshold: cfg.Engine.LatencyThreshold(),
	})
	if err != nil {
		panic(err) // the scenario was checked
	}
	cfg.Engine.SetOverloadControl(member)
	return &honestPeer{member: member, send: cfg.Send}
}

// Receive implements virtualtime.Peer. The member counts datagrams that it rejects.
func (p *honestPeer) Receive(now time.Duration, from int, payload []byte) {
	_ = p.member.Receive(now, from, payload)
}

// Tick implements virtualtime.Peer.
func (p *honestPeer) Tick(now time.Duration) {
	for _, m := range p.member.Tick(now) {
		p.send(m.To, m.Payload)
	}
}

// NextDeadline implements virtualtime.Peer.
func (p *honestPeer) NextDeadline() time.Duration { return p.member.NextDeadline() }
