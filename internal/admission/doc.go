// Package admission decides for a call controller which server receives each call, and which calls are rejected.
// It implements the overload control that Sabourin describes for distributed switching systems: each controller
// estimates the load of the servers from the attempts that it sends and the answers that it receives.
//
// A StateMachine consumes events and returns actions. CallOffered submits a call, which leads to SendAttempt or to
// the final answer RejectCall or FailCall. CallEstablished and AttemptEnded report the outcome of an attempt,
// ServersUpdated carries the server list, LoadReported a server's load report, and TimerFired follows each SetTimer.
// The package reads no clock, does no I/O and starts no goroutine: the same events and seed always produce the same
// actions. An Engine wraps a StateMachine for hosts that prefer method calls and return values.
//
// The following rules determine the decision on a call:
//
//   - Rate limits. Evidence of overload (a late answer, a timeout, a rejection, a report of a long queue) limits the
//     attempts to a server to the rate at which it has answered, minus the capacity needed to drain its queue. The
//     limit grows and finally expires while there is no such evidence. RateLimitChanged reports it.
//   - Priorities. Under a rate limit, redialed calls are throttled first, then calls of the classes of lower Weight,
//     then those of the highest Weight. Emergency and reestablished calls are exempt.
//   - Server selection. A call goes to its preferred pool, else to the other pools that it may use, else to the
//     less loaded of two servers drawn at random. If none has capacity, the call is rejected with a retry-after time.
//   - Retry guard. After an attempt that may still be running (timeout, lost connection, cancellation), the call
//     waits for Settings.RetryGuard before the next attempt. Repeatability determines whether it may be retried.
//   - Slow start. A server that has just started receives a share of the load that grows with its age.
//   - Responsiveness. A server that stops answering receives only occasional probe calls, and its open attempts are
//     canceled if another server can take the calls.
//
// An OverloadControl coordinates the controllers: it collects what each of them offers, sends and observes, and
// decides whether a call is throttled for the fleet as a whole. Its answer replaces the controller's own rate limit,
// but does not override draining, unresponsiveness, slow start or a lack of circuits.
//
// docs/design.md explains the rules and their constants. The files that implement the rules are listed under policy
// in deploy/balancer.toml.
package admission
