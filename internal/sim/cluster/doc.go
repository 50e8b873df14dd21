// Package cluster runs controllers, their agents and emulated exchanges as real processes and sockets on one
// machine, with a proxy on each network path between them. It injects the faults of a schedule, captures what
// passes the proxies, has the invariants checked, and shrinks a schedule that violates one.
//
// A run is owned by Play, which starts the processes, waits for them, and ends all of them before it returns.
// A schedule is drawn from a seed, or read from a file. The same seed always draws the same schedule; real
// processes do not repeat themselves exactly.
//
// The package never ends a process that it did not start, and never judges what it captures: the rules are those of
// internal/sim/invariant.
package cluster
