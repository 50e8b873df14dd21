package server

import (
	"olivedale/internal/call"
	"olivedale/internal/config"
	"olivedale/internal/numbering"
	"olivedale/internal/portability"
)

// Route implements call.Router.
func (r *numberRouter) Route(now call.Time, q *call.Request) call.Route {
	id := q.ID
	ref := r.versions.Acquire()
	table := ref.Table()
	query := numbering.Query{Number: q.Number, Class: q.Class, At: now, Seed: numbering.Seed(id)}
	decision := table.Analyse(&query)
	if decision.Verdict == numbering.LookUpRequired {
		if r.startLookup(now, q, ref, query, &decision) {
			return call.Route{Pending: true, Table: table.Digest(), Close: func() {
				r.client.Cancel(id)
				ref.Release()
			}}
		}
		query.Ported.State = numbering.PortingUnknown
		decision = table.Analyse(&query)
	}
	route := r.newRoute(&query, &decision)
	route.Table = table.Digest()
	route.Close = ref.Release
	return route
}

// startLookup starts the look-up of a call's number. It returns false if the number cannot be looked up in time.
func (r *numberRouter) startLookup(now call.Time, q *call.Request, ref *numbering.TableRef, query numbering.Query,
	decision *numbering.Decision) bool {
	wait := r.lookupBudget(q.Class).LookUpTime(q.Deadline - now)
	if r.client == nil || wait <= 0 {
		return false
	}
	id := q.ID
	return r.client.LookUp(id, decision.Number.String(), wait, func(result portability.Result) {
		r.server.loop.ExecuteIteration(func() { r.resolve(id, ref, query, result) })
	})
}

// resolve continues a call after the look-up of its number, using the table that the call started with.
func (r *numberRouter) resolve(id string, ref *numbering.TableRef, query numbering.Query, result portability.Result) {
	table := ref.Table()
	if table == nil {
		return // the call has ended in the meantime
	}
	query.Ported = result.Ported
	decision := table.Analyse(&query)
	r.server.calls.RouteResolved(id, r.newRoute(&query, &decision))
}

// newRoute converts a numbering decision to the route of a call.
func (r *numberRouter) newRoute(query *numbering.Query, d *numbering.Decision) call.Route {
	isUndecided := query.Ported.State == numbering.PortingUnknown
	if isUndecided && r.lookup.Fallback == config.FallbackRefuse {
		retryAfter := r.server.cfg.Settings.RetryAfter(undecidedRetryAfter)
		return call.Route{Cause: call.CauseNoCircuit, RetryAfter: retryAfter}
	}
	return call.Route{Pools: d.Pools(), Cause: d.Cause, Emergency: d.Emergency}
}

// lookupBudget returns the time budget of a look-up for a call of a class. After the look-up there must be time for two
// attempts of half the latency objective each, the retry guard between them, and the answer.
func (r *numberRouter) lookupBudget(class string) portability.Budget {
	settings := r.server.cfg.Settings
	attempt := defaultAttemptTime
	for _, c := range settings.Classes {
		if c.Name == class {
			attempt = c.LatencyObjective / 2
		}
	}
	return portability.Budget{
		AttemptDuration: attempt,
		RetryGuard:      settings.RetryGuard,
		AnswerDuration:  answerTime,
		MaxShare:        r.lookup.Share,
	}
}
