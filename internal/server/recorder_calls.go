package server

import (
	"time"

	"olivedale/internal/admission"
	"olivedale/internal/call"
	"olivedale/internal/record"
)

// recordedDecisions are the kinds of decisions as the stored format numbers them, which must not change.
var recordedDecisions = map[admission.DecisionKind]record.Move{
	admission.None:   record.Hold,
	admission.Send:   record.Try,
	admission.Reject: record.Deny,
	admission.Fail:   record.GiveUp,
	admission.Cancel: record.CallOff,
}

// recordedOutcomes are the outcomes of calls as the stored format numbers them, which must not change.
var recordedOutcomes = [...]record.Outcome{
	call.Established:          record.Stood,
	call.Rejected:             record.Refused,
	call.Failed:               record.Failed,
	call.Abandoned:            record.GivenUp,
	call.RejectedOverLimit:    record.Crowded,
	call.RejectedReusedID:     record.Reused,
	call.RejectedInvalid:      record.Impossible,
	call.RejectedShuttingDown: record.Stopped,
	call.RejectedByPolicy:     record.Barred,
}

// recordedLimits are the names of limits in records, which must not change.
var recordedLimits = [...]string{
	call.LimitRepeatedSetup:  "repeated_setup",
	call.LimitReusedID:       "reused_id",
	call.LimitUnknownRelease: "unknown_release",
}

// CallOffered implements call.Observer.
func (w *recorder) CallOffered(now call.Time, q *call.Request) {
	w.current = record.Record{
		Kind:   record.KindSetUp,
		At:     now,
		Call:   q.ID,
		Class:  q.Class,
		Number: q.Number,
		Pool:   q.PreferredPool,
		Flag:   q.Reestablish,
		Wait:   q.Deadline - now,
		Text:   q.Table,
	}
	w.put()
}

// Decided implements call.Observer.
func (w *recorder) Decided(now call.Time, d *admission.Decision) {
	w.current = record.Record{
		Kind:    record.KindOrder,
		At:      now,
		Call:    d.CallID,
		Code:    uint8(recordedDecisions[d.Kind]),
		Server:  d.Server,
		Attempt: d.Attempt,
		Wait:    d.Wait,
		Text:    string(d.Reason),
	}
	w.put()
}

// AttemptStarted implements call.Observer.
func (w *recorder) AttemptStarted(now call.Time, server string, s *call.Setup) {
	w.current = record.Record{
		Kind:    record.KindTry,
		At:      now,
		Call:    s.ID,
		Server:  server,
		Attempt: s.Attempt,
		Wait:    s.Timeout,
	}
	w.put()
}

// AttemptEnded implements call.Observer.
func (w *recorder) AttemptEnded(now call.Time, server, id string, attempt int, e call.AttemptEnd, took time.Duration) {
	w.current = record.Record{
		Kind:    record.KindTryEnd,
		At:      now,
		Call:    id,
		Server:  server,
		Attempt: attempt,
		End:     e.String(),
		Took:    took,
	}
	w.put()
}

// CallAnswered implements call.Observer.
func (w *recorder) CallAnswered(now call.Time, a *call.Answer) {
	w.current = record.Record{
		Kind:    record.KindAnswer,
		At:      now,
		Call:    a.ID,
		Class:   a.Class,
		Code:    uint8(recordedOutcomes[a.Outcome]),
		Cause:   a.Cause,
		Wait:    a.RetryAfter,
		Took:    a.Elapsed,
		Server:  a.Server,
		Attempt: a.Attempts,
	}
	w.put()
}

// CallReleased implements call.Observer.
func (w *recorder) CallReleased(now call.Time, r *call.Release) {
	w.current = record.Record{
		Kind:   record.KindRelease,
		At:     now,
		Call:   r.ID,
		Class:  r.Class,
		Server: r.Server,
		Cause:  r.Cause,
		End:    r.End.String(),
		Took:   r.Duration,
	}
	w.put()
}

// LimitReached implements call.Observer.
func (w *recorder) LimitReached(now call.Time, l call.Limit, id string) {
	w.current = record.Record{Kind: record.KindLimit, At: now, By: recordedLimits[l], Count: 1, Call: id}
	w.put()
}
