// Package call manages the life of calls: it takes offered calls from callers, starts attempts at
// backends as its Decider orders, and gives every call one final answer. A Manager owns the open and
// the established calls, the deadlines of attempts and calls, and a bounded memory of completed call
// ids. It never chooses a route (that is package admission behind the Decider interface) and knows
// neither a wire format nor a socket.
//
// A Manager belongs to one goroutine. It takes no locks and never blocks; the implementations of the
// interfaces it calls must not block either, and must not call the Manager back before they return.
//
// # Invariants
//
//   - One final answer: each offer that Offer takes gets exactly one of Client.CallEstablished,
//     Client.CallRejected and Client.CallForgotten, whatever the Decider, the backends and the caller
//     do, and gets it when Tick passes the deadline of the call at the latest.
//   - One attempt at a time: a call has at most one attempt in progress. An attempt is canceled or has
//     ended before the next one starts, and an answer to an earlier attempt is released at its backend.
//   - An established call belongs to no connection: it survives the close of the connection it was
//     offered on, and either side may release it on any connection.
//   - Call ids are not reused: the id of a completed call is remembered for 30 seconds, and an offer
//     under that id is rejected.
//   - Held resources are released: the Route of a call is released once, when the call ends.
//
// Nothing is stored. After a restart the Manager knows none of the calls established before; it
// forwards releases of unknown calls to the other side, from callers at a limited rate, and remembers
// their ids, so that repeated releases are not forwarded again.
//
// # States
//
// A call moves through these states; a rejected or abandoned call ends from any of the first three:
//
//	routing -> waiting <-> attempting -> established -> ended
//
// # Sequence of callbacks
//
// A call that is routed is given to Decider.Place. Each of its attempts is then reported to the Decider
// as established or ended, and an abandoned call as abandoned. The report of an attempt that ends
// together with its call is marked Final, and the decision returned for it is ignored.
//
// The Observer sees CallOffered first, Decided for every decision, and AttemptStarted before
// Backends.Invite. Then, in this order:
//
//   - The attempt ends and the call goes on: Observer.AttemptEnded, Decider.Report.
//   - The call is established: Decider.Report, Observer.CallAnswered, Client.CallEstablished.
//   - The call is rejected: the end of the attempt in progress, if any, Observer.CallAnswered,
//     Client.CallRejected.
//   - The caller abandons the call: Decider.Report, the end of the attempt in progress, if any,
//     Client.CallForgotten, Observer.CallAnswered.
//   - An established call is released: Backends.Release if the backend does not know, then
//     Observer.CallReleased, Observer.AttemptEnded, Decider.Report, and Frontend.NotifyRelease if the
//     caller does not know.
//
// A request that is rejected without being opened has only Observer.CallOffered, Observer.CallAnswered
// and Client.CallRejected. An offer that is merged with an open call, or returns ErrReused, has only
// Observer.LimitReached.
package call
