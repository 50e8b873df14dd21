// Package cluster runs controllers and their agents as real processes, and emulated exchanges on real sockets, on one
// machine, with a proxy on each network path between them. It injects the faults of a schedule, captures the traffic
// that passes the proxies, checks it against the invariants, and shrinks a schedule that violates one.
//
// Play owns a run: it starts the processes, waits for them, and ends all of them before it returns. A schedule is
// drawn from a seed or read from a file. The same seed always gives the same schedule, but runs of real processes are
// not exactly reproducible.
//
// The package ends only processes that were started for the run, and defines no invariants of calls: those are in
// internal/sim/invariant.
package cluster
