package virtualtime

import (
	"time"

	"olivedale/internal/admission"
	"olivedale/internal/call"
	"olivedale/internal/sim/invariant"
	"olivedale/internal/sim/scenario"
)

// Options modifies a run. The zero value runs the scenario unchanged. The name of a controller is "n" and its index.
type Options struct {
	// Until ends the run early; 0 means the length of the scenario.
	Until Time

	// WrapDecider, WrapBackends and WrapClient wrap the interfaces between the call manager of a controller and its
	// environment. Tests use them to violate invariants and check that the violations are found.
	WrapDecider  func(controller string, d call.Decider) call.Decider
	WrapBackends func(controller string, b call.Backends) call.Backends
	WrapClient   func(controller string, c call.Client) call.Client

	// Datagrams gives a test access to the datagrams between controllers. It is called at each start of a controller
	// and returns the function that receives the controller's datagrams.
	Datagrams func(controller int, send SendFunc) ReceiveFunc

	// StartPeer starts the distributed overload control of a controller, at each start of the controller. It is not
	// called if the scenario disables overload control.
	StartPeer func(PeerConfig) Peer

	// Watch is called with each event that the invariant checker records.
	Watch func(invariant.Event)
}

// Broadcast is the destination of a datagram to all controllers except the sender.
const Broadcast = -1

// SendFunc sends a datagram to the controller with an index or, with Broadcast, to all others.
type SendFunc func(to int, payload []byte)

// ReceiveFunc handles a datagram of the controller with an index.
type ReceiveFunc func(from int, payload []byte)

// PeerConfig is the argument of Options.StartPeer.
type PeerConfig struct {
	Scenario    *scenario.Scenario
	Controller  int    // index of the controller
	Incarnation int    // grows with each start of the controller
	Seed        uint64 // differs for each start of each controller
	Now         time.Duration
	Engine      *admission.Engine
	Send        SendFunc
}

// Peer takes part in distributed overload control for one controller. All times are readings of the controller's
// clock.
type Peer interface {
	// Receive handles a datagram of another controller.
	Receive(now time.Duration, from int, payload []byte)
	// Tick performs the actions that are due.
	Tick(now time.Duration)
	// NextDeadline returns the time at which Tick is due next.
	NextDeadline() time.Duration
}
