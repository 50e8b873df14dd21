package server

import (
	"time"

	"olivedale/internal/admission"
	"olivedale/internal/call"
	"olivedale/internal/record"
)

// recordedDecisions maps kinds of decisions to their numbers in the record format, which must not change.
var recordedDecisions = map[admission.DecisionKind]record.Decision{
	admission.DecisionNone:   record.DecisionNone,
	admission.DecisionSend:   record.DecisionSend,
	admission.DecisionReject: record.DecisionReject,
	admission.DecisionFail:   record.DecisionFail,
	admission.DecisionCancel: record.DecisionCancel,
}

// recordedOutcomes maps outcomes of calls to their numbers in the record format, which must not change.
var recordedOutcomes = [...]record.Outcome{
	call.Established:          record.OutcomeEstablished,
	call.Rejected:             record.OutcomeRejected,
	call.Failed:               record.OutcomeFailed,
	call.Abandoned:            record.OutcomeAbandoned,
	call.RejectedOverLimit:    record.OutcomeOverLimit,
	call.RejectedReusedID:     record.OutcomeReusedID,
	call.RejectedInvalid:      record.OutcomeInvalid,
	call.RejectedShuttingDown: record.OutcomeShuttingDown,
	call.RejectedByPolicy:     record.OutcomeByPolicy,
}

// recordedLimits maps limits to their names in the record format, which must not change.
var recordedLimits = [...]string{
	call.LimitRepeatedSetup:  "repeated_setup",
	call.LimitReusedID:       "reused_id",
	call.LimitUnknownRelease: "unknown_release",
}

// CallOffered implements call.Observer.
func (w *recorder) CallOffered(now call.Time, q *call.Request) {
	w.current = record.Record{
		Kind:   record.KindCallOffered,
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
		Kind:    record.KindDecision,
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
		Kind:    record.KindAttemptStarted,
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
		Kind:    record.KindAttemptEnded,
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
func (w *recorder) CallReleased(now call.Time, r *call.ReleaseEvent) {
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
func (w *recorder) LimitReached(now call.Time, l call.LimitEvent, id string) {
	w.current = record.Record{Kind: record.KindLimitReached, At: now, By: recordedLimits[l], Count: 1, Call: id}
	w.put()
}
