// Package admission decides for a call controller which call setups go to which server, and which are rejected.
// It implements the overload control that Sabourin describes for distributed switching systems: each controller
// estimates the load of the servers from the attempts that it sends and from the answers that it gets.
//
// A StateMachine takes events and returns actions. CallOffered brings a call; the actions for it are SendAttempt,
// or the final answer RejectCall or FailCall. CallEstablished and AttemptEnded say what became of an attempt,
// ServersUpdated brings the server list, LoadReported a server's report, and TimerFired follows each SetTimer. The
// package reads no clock, opens no connection and starts no goroutine: equal events with an equal seed give equal
// actions. An Engine wraps a StateMachine for hosts that prefer calls and return values to events and actions.
//
// The decision on a call follows from:
//
//   - Rate limits. Evidence of overload (a late answer, a time-out, a rejection, a report of a long queue) limits
//     the attempts to a server to the rate at which it has answered, less what clears its queue. The limit grows
//     while there is no such evidence, and expires. RateLimitChanged reports it.
//   - Priorities. Under a rate limit, redialed calls are held back first, then those of classes of lower Weight,
//     then those of the highest. Emergency and reestablished calls are not subject to it.
//   - Server selection. A call goes to its preferred pool, else to the other pools that it may use, else to the
//     less loaded of two servers drawn at random. If none has room, the call is rejected with a retry-after time.
//   - The retry guard. After an attempt that may still be running (time-out, lost connection, cancellation), the
//     call waits for Settings.RetryGuard before the next attempt. Repeatability says whether there may be one.
//   - Slow start. A server that has just started receives a share of the load that grows with its age.
//   - Responsiveness. A server that stops answering receives a probe call from time to time only, and its open
//     attempts are canceled if another server would take the calls.
//
// An OverloadControl connects the decisions of all controllers: it learns what each offers, sends and observes, and
// says whether they together hold a call back from a server. Its answer replaces the controller's own rate limit,
// but cannot open a server that is draining, unresponsive, held to its slow start or out of circuits.
//
// docs/design.md gives the reasons for the rules and their figures. The files that hold the rules are listed under
// policy in deploy/balancer.toml.
package admission
