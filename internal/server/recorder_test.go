package server

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"olivedale/internal/adminapi"
	"olivedale/internal/call"
	"olivedale/internal/codec/h248"
	"olivedale/internal/incident"
	"olivedale/internal/record"
)

// copyStore copies the files of a store in their current state, which is what a kill at this moment would leave.
func copyStore(t testing.TB, from, to string) {
	t.Helper()
	if err := os.MkdirAll(to, 0o700); err != nil {
		t.Fatal(err)
	}
	entries, err := os.ReadDir(from)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		b, err := os.ReadFile(filepath.Join(from, e.Name()))
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(to, e.Name()), b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// countRecords counts the records of a store by kind, independently of the analysis, and returns the sequence of records
// of each call.
func countRecords(t testing.TB, dir string) (counts map[string]uint64, sequences map[string]string) {
	t.Helper()
	counts, sequences = make(map[string]uint64), make(map[string]string)
	r, err := record.OpenDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Close() }()
	var rec record.Record
	for r.Next(&rec) == nil {
		what := rec.Kind.String()
		switch rec.Kind {
		case record.KindAnswer:
			what += " " + record.Outcome(rec.Code).String()
		case record.KindAttemptEnded:
			counts["end "+rec.End]++
		case record.KindAttemptStarted:
			counts["try "+rec.Server]++
			if rec.Attempt > 0 {
				counts["retry"]++
			}
		case record.KindRelease:
			if rec.End == "cut" || rec.End == "exchange_lost" {
				counts["cut"]++
			}
		}
		counts[what]++
		if rec.Call != "" {
			sequences[rec.Call] += what + ","
		}
		if rec.Kind == record.KindGap {
			counts["lost"] += rec.Lost()
		}
	}
	return counts, sequences
}

// analyzeStores returns the incident report on the given stores.
func analyzeStores(t testing.TB, dirs ...string) *incident.Report {
	t.Helper()
	var parts []*incident.Part
	for _, dir := range dirs {
		r, err := record.OpenDir(dir)
		if err != nil {
			t.Fatal(err)
		}
		p := incident.NewPart()
		var rec record.Record
		for r.Next(&rec) == nil {
			h := r.Header()
			p.AddRecord(&h, &rec)
		}
		_ = r.Close()
		p.Close()
		parts = append(parts, p)
	}
	return incident.Combine(parts)
}

// The records of calls agree with the counters of the call manager and with what the exchanges received.
func TestRecordsTellEveryCall(t *testing.T) {
	t.Parallel()
	nodes, answers := startFleet(t, 2), newAnswerLog()
	dir := t.TempDir()
	s := nodes.startServer(t, "n0", dir, new(atomic.Int64))
	client := dialJSONCaller(t, s.jsonAddress(), answers, "aaaaaaaa")
	for i := range 10 {
		answers.await(t, client.setUp(fmt.Sprint("ok.", i), 4*time.Second), 2)
	}
	kept := client.setUp("keep.1", 4*time.Second)
	answers.await(t, kept, 1)
	client.hangUp(kept)
	eventually(t, "the release is sent", func() bool { return nodes.observations.total(&nodes.observations.released) == 1 })
	left := client.setUp("silent.2", 4*time.Second)
	eventually(t, "the set-up is sent", func() bool { return nodes.observations.attemptsTo("silent.2") == 1 })
	client.hangUp(left)
	eventually(t, "the set-up is canceled", func() bool { return nodes.observations.total(&nodes.observations.canceled) == 1 })
	for _, number := range []string{"busy.1", "full.1", "moot.1", "reset.1"} {
		answers.await(t, client.setUp(number, 4*time.Second), 1)
	}
	silent := client.setUp("silent.1", 300*time.Millisecond)
	answers.await(t, silent, 1)
	audit, err := adminapi.Send(context.Background(), s.adminAddress(), adminapi.AuditCommand("ROOT"))
	if err != nil {
		t.Fatal(err)
	}
	if got := h248.Value(audit.Descriptors, "Statistics", "oc/class", "oc/requests"); got != "17" {
		t.Errorf("the audit reports %s requests of the class, want 17", got)
	}
	tries := 0
	for _, n := range h248.Find(audit.Descriptors, "Statistics").Children {
		if n.Name == "oc/server" {
			v, err := strconv.Atoi(h248.Value(n.Children, "oc/attempts"))
			if tries += v; err != nil || h248.Value(n.Children, "oc/phase") != "listed" {
				t.Errorf("audit of an exchange: %+v", n)
			}
		}
	}
	if got := h248.Value(audit.Descriptors, "Statistics", "oc/attempts"); got != strconv.Itoa(tries) {
		t.Errorf("the audit reports %d attempts over all exchanges and a total of %s", tries, got)
	}
	if audit, err = adminapi.Send(context.Background(), s.gatewayAddress(), adminapi.AuditCommand("ROOT")); err != nil || h248.Find(audit.Descriptors, "Statistics", "oc/server") != nil {
		t.Errorf("the gateway address reports exchanges, or failed: %v", err)
	}
	s.stop(t)

	c := &s.server.calls.Counters
	counts, sequences := countRecords(t, dir)
	for what, want := range map[string]int{"setup": c.Requests, "answer stood": c.Established, "answer refused": c.Rejected, "answer failed": c.Failed,
		"answer given_up": c.Abandoned, "try": c.Attempts, "release": c.ReleasedByCaller + c.ReleasedByBackend, "start": 1, "stopping": 1, "end": 1, "lost": 0, "gap": 0} {
		if counts[what] != uint64(want) {
			t.Errorf("%d records of %s, the call manager counted %d", counts[what], what, want)
		}
	}
	for end, n := range c.Ends {
		if what := "end " + call.AttemptEnd(end).String(); counts[what] != uint64(n) {
			t.Errorf("%d records of %s, the call manager counted %d", counts[what], what, n)
		}
	}
	for i, server := range nodes.exchanges {
		server.mu.Lock()
		if got := counts[fmt.Sprint("try s-", i)]; got != uint64(server.invited) {
			t.Errorf("%d recorded attempts at exchange %d, it received %d", got, i, server.invited)
		}
		server.mu.Unlock()
	}
	for id, sequence := range sequences {
		if strings.Count(sequence, "answer") != 1 || !strings.HasPrefix(sequence, "setup,order,") {
			t.Errorf("records of call %s: %s", id, sequence)
		}
	}
	if got := sequences[kept]; got != "setup,order,try,answer stood,release,try_end," {
		t.Errorf("records of a call that its caller released: %s", got)
	}
	r := analyzeStores(t, dir)
	if r.Total.Offered != uint64(c.Requests) || r.Total.Established() != uint64(c.Established) || r.Incomplete || r.Instances[0].Counters["stood"] != uint64(c.Established) {
		t.Errorf("the report: %+v", r.Total.Counts)
	}
}

// BenchmarkSetUp measures set-ups one at a time, with and without records. About five per second are admitted, so run it
// with -benchtime 200x.
func BenchmarkSetUp(b *testing.B) {
	for _, on := range []bool{false, true} {
		b.Run(fmt.Sprint("records=", on), func(b *testing.B) {
			nodes, answers := startFleet(b, 1), newAnswerLog()
			dir := ""
			if on {
				dir = b.TempDir()
			}
			s := nodes.startServer(b, "n0", dir, new(atomic.Int64))
			client := dialJSONCaller(b, s.jsonAddress(), answers, "aaaaaaaa")
			took := hdrhistogram.New(1, int64(time.Second), 3)
			refused := 0
			for b.Loop() {
				for {
					time.Sleep(20 * time.Millisecond) // the admission control limits open attempts to the number it has seen answered
					began := time.Now()
					key := client.setUp("keep.1", 4*time.Second)
					if got := answers.await(b, key, 1); strings.HasPrefix(got, "stands") {
						_ = took.RecordValue(int64(time.Since(began)))
						client.hangUp(key)
						break
					}
					refused++
				}
			}
			b.ReportMetric(float64(refused), "refused")
			b.ReportMetric(float64(took.ValueAtQuantile(50)), "p50-ns")
			b.ReportMetric(float64(took.ValueAtQuantile(99)), "p99-ns")
			s.stop(b)
		})
	}
}
