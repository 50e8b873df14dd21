package overloadpeers

import (
	"fmt"
	"time"

	"olivedale/internal/overload"
	"olivedale/internal/sim/scenario"
	"olivedale/internal/sim/virtualtime"
)

const (
	byzantineStartDelay = time.Second
	byzantineInterval   = 500 * time.Millisecond // between two rounds of false messages
)

// byzantinePeer is a valid member of the fleet that sends false load reports and limit updates to all others. They
// claim that every server is overloaded, or that none is. It implements virtualtime.Peer.
type byzantinePeer struct {
	self             int
	peers            int // controllers of the fleet
	incarnation      uint32
	sequence         uint32
	serverKeys       []uint32
	claimsOverloaded bool
	nextRound        time.Duration
	send             virtualtime.SendFunc
}

func newByzantinePeer(cfg virtualtime.PeerConfig) *byzantinePeer {
	fleet := &cfg.Scenario.Fleet
	p := &byzantinePeer{
		self:             cfg.Controller,
		peers:            fleet.Controllers,
		incarnation:      uint32(cfg.Incarnation),
		claimsOverloaded: fleet.ByzantineReport == scenario.ReportOverload,
		nextRound:        cfg.Now + byzantineStartDelay,
		send:             cfg.Send,
	}
	for i := range fleet.Exchanges {
		p.serverKeys = append(p.serverKeys, overload.ServerKey(fmt.Sprint("x", i)))
	}
	return p
}

// Receive implements virtualtime.Peer. It ignores the datagram.
func (*byzantinePeer) Receive(time.Duration, int, []byte) {}

// NextDeadline implements virtualtime.Peer.
func (p *byzantinePeer) NextDeadline() time.Duration { return p.nextRound }

// Tick implements virtualtime.Peer. It sends a false load report and a false limit update to each other controller.
func (p *byzantinePeer) Tick(now time.Duration) {
	p.nextRound = now + byzantineInterval
	p.sequence++
	for to := range p.peers {
		if to == p.self {
			continue
		}
		p.send(to, FalseLoadReport(p.self, p.incarnation, p.sequence, p.serverKeys, p.claimsOverloaded))
		p.send(to, FalseLimitUpdate(p.self, p.incarnation, p.sequence, p.serverKeys, p.claimsOverloaded))
	}
}
