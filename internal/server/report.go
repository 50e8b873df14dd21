package server

import (
	"time"

	"olivedale/internal/call"
)

// malformedLogInterval is the minimum time between two log lines about malformed input.
const malformedLogInterval = time.Second

// malformedInput counts malformed input and limits the log lines about it.
type malformedInput struct {
	count    int
	loggedAt time.Duration // 0 if never
}

// reportMalformed counts malformed input and logs at most one line per second, so that a flood of such input does not
// flood the log.
func (s *Server) reportMalformed(source string, err error) {
	m := &s.malformed
	m.count++
	now := s.loop.Now()
	if m.loggedAt == 0 || now-m.loggedAt > malformedLogInterval {
		m.loggedAt = now
		s.loop.Log.Warnw("malformed", "from", source, "count", m.count, "err", err)
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
		"unknown_dropped", c.UnknownReleasesDropped)
}

func (s *Server) logConnectionCounters() {
	log, f, b, d := s.loop.Log, &s.frontends.host.Counters, &s.backends.Counters, &s.discovery.counters
	log.Infow("counters", "clients", f.Accepted, "clients_shut", f.ClosedIdle, "clients_turned_away", f.RejectedFull,
		"clients_silent", f.ClosedOverdue, "malformed", s.malformed.count, "tests", f.Echoes,
		"repeats", f.RepeatedTransactions+b.RepeatedRequests, "unsayable", b.UnencodableSetups, "dials", b.Dials,
		"dials_failed", b.DialsFailed, "links_lost", b.ConnectionsLost, "strays", b.Strays,
		"releases_said", f.ReleasesSent, "releases_lost", f.ReleasesDiscarded+b.ReleasesDiscarded)
	log.Infow("counters", "probes", b.Probes, "probes_failed", b.ProbesFailed, "exchanges_lost", b.ExchangesLost,
		"calls_lost", b.CallsLost)
	log.Infow("counters", "queries", d.queries, "queries_failed", d.queriesFailed, "answers", d.answers,
		"bad_news", d.invalidAnswers, "serial", s.resolver.Serial())
}
