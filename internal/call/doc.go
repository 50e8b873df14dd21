// Package call manages the life cycle of calls: it accepts offered calls from callers, starts attempts at
// backends as decided by its Decider, and gives every call one final answer. A Manager owns the open and
// the established calls, the deadlines of attempts and calls, and a bounded set of completed call ids.
// It does not choose routes (package admission does, behind the Decider interface) and is independent of
// wire formats and sockets.
//
// A Manager must be used by one goroutine only. It takes no locks and never blocks; the implementations of
// the interfaces it calls must not block either, and must not call the Manager back before they return.
//
// # Invariants
//
//   - One final answer: each offer that Offer accepts gets exactly one of Client.CallEstablished,
//     Client.CallRejected and Client.CallWithdrawn, whatever the Decider, the backends and the caller
//     do, at the latest in the first Tick at or after the deadline of the call.
//   - One attempt at a time: a call has at most one attempt in progress. An attempt is canceled or has
//     ended before the next one starts, and an answer to an earlier attempt is released at its backend.
//   - An established call is not bound to a connection: it stays up when the connection on which it was
//     offered is closed, and either side may release it on any connection.
//   - Call ids are not reused: the id of a completed call is kept for 30 seconds, and an offer with that
//     id is rejected.
//   - Resources are released: the Route of a call is closed exactly once, when the call ends.
//
// The state is not persisted. After a restart the Manager does not know the calls that were established
// before. It forwards releases of unknown calls to the other side, with a rate limit on those from
// callers, and keeps their ids, so that repeated releases are not forwarded again.
//
// # States
//
// A call moves through these states; a rejected or abandoned call ends from any of the first three:
//
//	routing -> waiting <-> attempting -> established -> ended
//
// # Sequence of callbacks
//
// A routed call is passed to Decider.Place. Each of its attempts is then reported to the Decider as
// established or ended, and an abandoned call as abandoned. The report of an attempt that ends together
// with its call is marked Final, and the decision returned for it is ignored.
//
// The Observer sees CallOffered first, Decided for every decision, and AttemptStarted before
// Backends.Invite. Then, in this order:
//
//   - The attempt ends and the call remains open: Observer.AttemptEnded, Decider.Report.
//   - The call is established: Decider.Report, Observer.CallAnswered, Client.CallEstablished.
//   - The call is rejected: the end of the attempt in progress, if any, Observer.CallAnswered,
//     Client.CallRejected.
//   - The caller abandons the call: Decider.Report, the end of the attempt in progress, if any,
//     Client.CallWithdrawn, Observer.CallAnswered.
//   - An established call is released: Backends.Release unless the backend released it, then
//     Observer.CallReleased, Observer.AttemptEnded, Decider.Report, and Frontend.NotifyRelease unless the
//     caller released it.
//
// A request that is rejected before a call is opened only causes Observer.CallOffered,
// Observer.CallAnswered and Client.CallRejected. An offer that is merged with an open call causes
// Observer.LimitReached and Client.CallWithdrawn on its earlier connection; one for which Offer returns
// ErrIDInUse only causes Observer.LimitReached.
package call
