// Package together has the virtual floor's controllers share what they know by internal/overload, as the
// product has it, and hostile ones among them. It is apart from the floor, so that the floor can play
// versions of the product that share nothing.
package overloadpeers

import (
	"time"

	"olivedale/internal/admission"
	"olivedale/internal/call"
	"olivedale/internal/overload"
	"olivedale/internal/sim/scenario"
	"olivedale/internal/sim/virtualtime"
)

type member struct {
	m   *overload.Member
	say func(to int, b []byte)
}

// Start is a virtual.Options.Share.
func Start(sc *scenario.Scenario, node, life int, seed uint64, now time.Duration, d call.Decider, say func(to int, b []byte)) virtualtime.Sharer {
	desk, ok := d.(*admission.Engine)
	if !ok {
		return nil // a test has put something else in its place
	}
	m, err := overload.New(now, overload.Options{Self: node, Peers: sc.Fleet.Controllers, Incarnation: uint32(life), Seed: seed, LatencyThreshold: desk.LatencyThreshold()})
	if err != nil {
		panic(err) // the scenario was checked
	}
	if liars := int(sc.Fleet.Liars * float64(sc.Fleet.Controllers)); node < liars {
		return newLiar(sc, node, uint32(life), now, say)
	}
	desk.SetOverloadControl(m)
	return &member{m, say}
}

// Hears implements virtual.Sharer. What cannot be read is counted by the Member.
func (s *member) Hears(now time.Duration, from int, b []byte) { _ = s.m.Receive(now, from, b) }

// Tick implements virtual.Sharer.
func (s *member) Tick(now time.Duration) {
	for _, p := range s.m.Tick(now) {
		s.say(p.To, p.Payload)
	}
}

// Next implements virtual.Sharer.
func (s *member) Next() time.Duration { return s.m.NextDeadline() }
