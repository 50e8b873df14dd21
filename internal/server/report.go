package server

import (
	"time"

	"olivedale/internal/call"
)

// inputLogInterval is the minimum time between two log lines about input of the same kind.
const inputLogInterval = time.Second

// An inputLog counts input that cannot be used and limits the log lines about it, so that a flood of such input does
// not flood the log.
type inputLog struct {
	count    int
	loggedAt time.Duration // 0 if never
}

// record counts an input and reports whether it is to be logged.
func (l *inputLog) record(now time.Duration) bool {
	l.count++
	if l.loggedAt != 0 && now-l.loggedAt <= inputLogInterval {
		return false
	}
	l.loggedAt = now
	return true
}

// reportMalformed counts and logs input that cannot be parsed.
func (s *Server) reportMalformed(source string, err error) {
	if s.malformed.record(s.loop.Now()) {
		s.loop.Log.Warnw("malformed", "from", source, "count", s.malformed.count, "err", err)
	}
}

// reportStray counts and logs a reply that does not belong to the transaction whose id it has.
func (s *Server) reportStray(source string, err error) {
	if s.strayReplies.record(s.loop.Now()) {
		s.loop.Log.Warnw("stray_reply", "from", source, "count", s.strayReplies.count, "err", err)
	}
}

// LogCountersAsync logs the counters on the loop. It may be called from any goroutine once the server has started.
func (s *Server) LogCountersAsync() { s.loop.Execute(s.LogCounters) }

// LogCounters logs the counters. It must be called on the loop or after the loop has ended.
func (s *Server) LogCounters() {
	s.logCallCounters()
	s.logConnectionCounters()
	s.overload.logCounters()
	s.numbering.logCounters()
	for _, end := range call.AllAttemptEnds() {
		if count := s.calls.Counters.Ends[end]; count > 0 {
			s.loop.Log.Infow("ends", "end", end.String(), "count", count)
		}
	}
}

func (s *Server) logCallCounters() {
	log, c := s.loop.Log, &s.calls.Counters
	log.Infow("counters", "requests", c.Requests, "stood", c.Established, "refused", c.Rejected, "failed", c.Failed,
		"given_up", c.Abandoned, "repeated", c.Repeated, "reused", c.ReusedIDs, "crowded", c.OverLimit,
		"barred", c.ByPolicy, "impossible", s.frontends.host.Counters.InvalidSetups, "open", s.calls.OpenCalls(),
		"standing", s.calls.EstablishedCalls())
	log.Infow("counters", "attempts", c.Attempts, "invites", s.backends.Counters.Invites, "cancels", c.Cancels,
		"late_answers", c.LateAnswers, "released_by_exchange", c.ReleasedByBackend,
		"released_by_caller", c.ReleasedByCaller, "released_unknown", c.ReleasedUnknown,
		"unknown_dropped", c.UnknownReleasesRefused)
}

func (s *Server) logConnectionCounters() {
	log, f, b, d := s.loop.Log, &s.frontends.host.Counters, &s.backends.Counters, &s.discovery.counters
	log.Infow("counters", "clients", f.Accepted, "clients_shut", f.ClosedIdle, "clients_turned_away", f.RejectedFull,
		"clients_silent", f.ClosedOverdue, "malformed", s.malformed.count, "tests", f.Echoes,
		"repeats", f.RepeatedTransactions+b.RepeatedRequests, "unsayable", b.UnencodableSetups, "dials", b.Dials,
		"dials_failed", b.DialsFailed, "links_lost", b.ConnectionsLost, "strays", f.StrayReplies+b.Strays,
		"releases_said", f.ReleasesSent, "releases_lost", f.ReleasesDiscarded)
	log.Infow("counters", "probes", b.Probes, "probes_failed", b.ProbesFailed, "exchanges_lost", b.ExchangesLost,
		"calls_lost", b.CallsLost)
	log.Infow("counters", "queries", d.queries, "queries_failed", d.queriesFailed, "answers", d.answers,
		"bad_news", d.invalidAnswers, "serial", s.resolver.Serial())
}
