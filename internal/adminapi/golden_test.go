package adminapi

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"olivedale/internal/codec/h248"
	"olivedale/internal/goldentest"
	"olivedale/internal/numbering"
	"olivedale/internal/overload"
	"olivedale/internal/portability"
)

// goldenState returns a state in which every value differs from its zero value.
func goldenState() *overload.State {
	return &overload.State{
		Self: 3, Peers: 300, Incarnation: 77,
		Aggregator: 5, AggregatorFor: 3 * time.Second, LastContactAge: 400 * time.Millisecond,
		AliveMembers: 260, PeakMembers: 300, Partitioned: true, FrequentReports: true, Ejected: 1,
		Servers: []overload.ServerState{{
			ID: "s-1", PendingAttempts: 2, SetupTime: 130 * time.Millisecond,
			Limited: true, ClaimedWait: 900 * time.Millisecond,
			ThrottleProbability: [4]float64{0.98, 0.5, 0, 1}, OverflowProbability: 0.25, Throttled: 12,
		}},
		Aggregates: []overload.AggregateState{
			{Key: 0x0102ff, Offered: 40.5, Overflow: 2, Answered: 30, Wait: time.Second, WaitReports: 100, AdmittedRate: 28},
			{Key: 9, AdmittedRate: math.Inf(1)},
		},
		Members: []overload.MemberState{
			{Number: 1, Status: overload.Alive, LastReportAge: time.Second,
				LossShare: 0.125, ReportSpan: 500 * time.Millisecond},
			{Number: 2, Status: overload.Suspect},
			{Number: 4, Status: overload.Dead},
		},
		Counters: overload.Counters{
			Sent: 1, SentBytes: 2, Received: 3, ReceivedBytes: 4, Malformed: 5, Misattributed: 6, Stale: 7,
			Throttled: 8, Admitted: 9,
			AggregatorChanges: 10, AggregatorsUnresponsive: 11, AggregatorsEjected: 12,
		},
	}
}

// goldenVersions returns a version in each state.
func goldenVersions() (versions []numbering.VersionStatus) {
	for i, state := range []string{numbering.StateActive, numbering.StateScheduled, numbering.StateLoaded} {
		versions = append(versions, numbering.VersionStatus{
			Digest: fmt.Sprint("d", i), Name: "of today", State: state,
			Prefixes: 10 + i, Calls: i, ActivatedAt: time.Duration(i), ScheduledAt: time.Duration(2 * i),
		})
	}
	return versions
}

// goldenCommands returns commands and replies of every kind that clients, agents and instances exchange.
func goldenCommands(t *testing.T) (all []goldentest.Message) {
	add := func(name string, c *h248.Command) {
		action := &h248.Action{Context: "-", Commands: []*h248.Command{c}}
		transaction := &h248.Transaction{ID: 1, Actions: []*h248.Action{action}}
		b, err := h248.AppendFrame(nil, &h248.Message{MID: "<ctl>:1", Transactions: []*h248.Transaction{transaction}})
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		all = append(all, goldentest.Message{Name: name, Bytes: b})
	}
	reply := func(name, termination string, nodes ...*h248.Node) {
		add(name, &h248.Command{Name: "AuditValue", Termination: termination, Descriptors: nodes})
	}
	add("audit of ROOT", AuditCommand("ROOT"))
	add("audit of overload control", AuditCommand(OverloadTermination))
	add("drain", DrainCommand("instance/panel-east"))
	add("clock", ClockCommand("agent-1", ClockStamps{1764547200000000001, 2, 3, 4}))
	add("clock without timestamps", ClockCommand("", ClockStamps{}))
	add("numbering command to load", NumberingCommand(numbering.Command{Op: numbering.OpLoad, File: "/etc/numbers.toml"}))
	add("numbering command to activate", NumberingCommand(numbering.Command{
		Op: numbering.OpActivate, Digest: "7b3cbfb4b82e4e7b", ExpectedActive: "00", ActivateAt: 5 * time.Second}))
	add("numbering command to roll back", NumberingCommand(numbering.Command{
		Op: numbering.OpRollback, ExpectedActive: "00"}))
	add("numbering command to cancel", NumberingCommand(numbering.Command{Op: numbering.OpCancel}))
	load := numbering.Command{Op: numbering.OpLoad}
	runningJob := numbering.Job{ID: 4, Command: load, IsRunning: true}
	failedJob := numbering.Job{ID: 5, Command: load, Error: "no such file", Digest: "d9"}
	reply("versions during a job", NumberingTermination, NumberingNodes(goldenVersions(), runningJob)...)
	reply("versions after a failed job", NumberingTermination, NumberingNodes(nil, failedJob)...)
	reply("table and look-ups", "ROOT", TableNode("d0", "of today"), LookupsNode(&portability.Counters{
		Calls: 1, CacheHits: 2, Coalesced: 3, StaleCacheHits: 4, Unanswered: 5, OverLimit: 6,
		QueriesSent: 7, QueriesAnswered: 8, QueriesTimedOut: 9, QueriesFailed: 10,
		UnmatchedAnswers: 11, MismatchedAnswers: 12, BreakerOpenings: 13,
	}))
	reply("overload control", OverloadTermination, OverloadNodes(goldenState())...)
	reply("overload control without values", OverloadTermination, OverloadNodes(&overload.State{})...)
	return all
}

// dumpCommand writes what each parser returns for a command.
func dumpCommand(b *strings.Builder, c *h248.Command) {
	_, _ = fmt.Fprintf(b, "command %q termination %q\n", c.Name, c.Termination)
	if peer, stamps, err := ParseClock(c); err == nil {
		_, _ = fmt.Fprintf(b, "clock peer %q timestamps %v\n", peer, [4]int64(stamps))
	}
	if o, err := ParseNumberingCommand(c); err == nil && o.Op != "" {
		_, _ = fmt.Fprintf(b, "numbering command %q file %q digest %q expected active %q activate at %d\n",
			o.Op, o.File, o.Digest, o.ExpectedActive, o.ActivateAt)
	}
	versions, job := ParseNumbering(c.Descriptors)
	for _, v := range versions {
		_, _ = fmt.Fprintf(b, "version %q name %q state %q prefixes %d calls %d activated at %d scheduled at %d\n",
			v.Digest, v.Name, v.State, v.Prefixes, v.Calls, v.ActivatedAt, v.ScheduledAt)
	}
	if job.ID > 0 {
		_, _ = fmt.Fprintf(b, "job %d command %q running %v error %q digest %q\n",
			job.ID, job.Command.Op, job.IsRunning, job.Error, job.Digest)
	}
	if s := ParseOverload(c.Descriptors); s != nil {
		dumpState(b, s)
	}
}

func dumpState(b *strings.Builder, s *overload.State) {
	_, _ = fmt.Fprintf(b,
		"member %d of %d incarnation %d aggregator %d for %v contact %v alive %d peak %d split %v frequent %v ejected %d\n",
		s.Self, s.Peers, s.Incarnation, s.Aggregator, s.AggregatorFor, s.LastContactAge,
		s.AliveMembers, s.PeakMembers, s.Partitioned, s.FrequentReports, s.Ejected)
	c := &s.Counters
	_, _ = fmt.Fprintf(b,
		"counters sent %d bytes %d received %d malformed %d misattributed %d throttled %d admitted %d silent %d ejected %d\n",
		c.Sent, c.SentBytes, c.Received, c.Malformed, c.Misattributed,
		c.Throttled, c.Admitted, c.AggregatorsUnresponsive, c.AggregatorsEjected)
	for _, v := range s.Servers {
		_, _ = fmt.Fprintf(b,
			"server %q pending %d setup time %v limited %v claimed wait %v throttle %v overflow %v throttled %d\n",
			v.ID, v.PendingAttempts, v.SetupTime, v.Limited, v.ClaimedWait,
			v.ThrottleProbability, v.OverflowProbability, v.Throttled)
	}
	for _, v := range s.Aggregates {
		_, _ = fmt.Fprintf(b, "aggregate %06x offered %v overflow %v answered %v wait %v reports %d admitted rate %v\n",
			v.Key, v.Offered, v.Overflow, v.Answered, v.Wait, v.WaitReports, v.AdmittedRate)
	}
	for _, m := range s.Members {
		_, _ = fmt.Fprintf(b, "member %d status %v last report %v loss share %v report span %v\n",
			m.Number, m.Status, m.LastReportAge, m.LossShare, m.ReportSpan)
	}
}

// TestGoldenCommands compares encoded commands with the committed frames, and the result of parsing the committed
// frames with a committed dump.
func TestGoldenCommands(t *testing.T) {
	var dump strings.Builder
	for _, m := range goldentest.CompareMessages(t, "commands.txt", goldenCommands(t)) {
		_, _ = fmt.Fprintf(&dump, "== %s\n", m.Name)
		var framer h248.Framer
		if err := framer.Feed(m.Bytes, func(text []byte) bool {
			parsed, bad := h248.Parse(text)
			if bad != nil {
				t.Fatalf("%s: %v", m.Name, bad)
			}
			dumpCommand(&dump, parsed.Transactions[0].Actions[0].Commands[0])
			return true
		}); err != nil {
			t.Errorf("%s: %v", m.Name, err)
		}
	}
	goldentest.Compare(t, "read.txt", dump.String())
}
