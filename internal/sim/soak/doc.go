// Package soak runs short soak tests under faults: a few call controllers run as real processes on loopback, with
// emulated exchanges, discovery services and callers in the process of the test, and a plan of faults that overlap on
// purpose. A plan is generated from a seed or written by a test. The same seed always yields the same plan, but the
// timing of real processes is not exactly reproducible.
//
// The events that exchanges and callers observe at their own ends are checked by internal/sim/invariant. The package
// shares no code with the controller except for the codecs, and no check depends on the controller's log.
//
// A host that cannot be reached is emulated as the platform describes it: its open connections stay open and carry
// nothing, and new ones are never established (see listener).
package soak
