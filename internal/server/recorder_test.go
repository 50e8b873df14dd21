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

// copyStore copies a store as it is now: what a kill at this moment would leave.
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

// countRecords counts a store's records one by one, without the analysis.
func countRecords(t testing.TB, dir string) (counts map[string]uint64, lives map[string]string) {
	t.Helper()
	counts, lives = make(map[string]uint64), make(map[string]string)
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
		case record.KindTryEnd:
			counts["end "+rec.End]++
		case record.KindTry:
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
			lives[rec.Call] += what + ","
		}
		if rec.Kind == record.KindGap {
			counts["lost"] += rec.Lost()
		}
	}
	return counts, lives
}

// analyzeStores returns the report on stores.
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
			p.Take(&h, &rec)
		}
		_ = r.Close()
		p.Close()
		parts = append(parts, p)
	}
	return incident.Combine(parts)
}

// The records of calls agree with what the manager of calls counted and the exchanges saw, call by call.
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
	eventually(t, "the release went out", func() bool { return nodes.observations.total(&nodes.observations.released) == 1 })
	left := client.setUp("silent.2", 4*time.Second)
	eventually(t, "it is out", func() bool { return nodes.observations.attemptsTo("silent.2") == 1 })
	client.hangUp(left)
	eventually(t, "it is given up", func() bool { return nodes.observations.total(&nodes.observations.canceled) == 1 })
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
		t.Errorf("the class had %s requests, want 17", got)
	}
	tries := 0
	for _, n := range h248.Find(audit.Descriptors, "Statistics").Kids {
		if n.Name == "oc/server" {
			v, err := strconv.Atoi(h248.Value(n.Kids, "oc/attempts"))
			if tries += v; err != nil || h248.Value(n.Kids, "oc/phase") != "listed" {
				t.Errorf("%+v", n)
			}
		}
	}
	if got := h248.Value(audit.Descriptors, "Statistics", "oc/attempts"); got != strconv.Itoa(tries) {
		t.Errorf("%d attempts by server, %s in all", tries, got)
	}
	if audit, err = adminapi.Send(context.Background(), s.gatewayAddress(), adminapi.AuditCommand("ROOT")); err != nil || h248.Find(audit.Descriptors, "Statistics", "oc/server") != nil {
		t.Errorf("a gateway is shown exchanges, %v", err)
	}
	s.stop(t)

	c := &s.server.calls.Counters
	counts, lives := countRecords(t, dir)
	for what, want := range map[string]int{"setup": c.Requests, "answer stood": c.Established, "answer refused": c.Rejected, "answer failed": c.Failed,
		"answer given_up": c.Abandoned, "try": c.Attempts, "release": c.ReleasedByCaller + c.ReleasedByBackend, "start": 1, "stopping": 1, "end": 1, "lost": 0, "gap": 0} {
		if counts[what] != uint64(want) {
			t.Errorf("%d records of %s, the core counted %d", counts[what], what, want)
		}
	}
	for end, n := range c.Ends {
		if what := "end " + call.AttemptEnd(end).String(); counts[what] != uint64(n) {
			t.Errorf("%d records of %s, the core counted %d", counts[what], what, n)
		}
	}
	for i, server := range nodes.exchanges {
		server.mu.Lock()
		if got := counts[fmt.Sprint("try s-", i)]; got != uint64(server.invited) {
			t.Errorf("%d attempts recorded at server %d, it saw %d", got, i, server.invited)
		}
		server.mu.Unlock()
	}
	for id, life := range lives {
		if strings.Count(life, "answer") != 1 || !strings.HasPrefix(life, "setup,order,") {
			t.Errorf("the life of %s: %s", id, life)
		}
	}
	if got := lives[kept]; got != "setup,order,try,answer stood,release,try_end," {
		t.Errorf("the life of a call that was kept: %s", got)
	}
	r := analyzeStores(t, dir)
	if r.Total.Offered != uint64(c.Requests) || r.Total.Established() != uint64(c.Established) || r.Incomplete || r.Instances[0].Tallies["stood"] != uint64(c.Established) {
		t.Errorf("the report: %+v", r.Total.Counts)
	}
}

// TestIncident runs an incident on four servers: one is killed, one's clock is 3.7 s ahead, one's is set back by 2 s
// in the middle, one loses a segment; an exchange drains, another dies. The report must equal a count of the records
// one by one, and for servers without gaps what the managers of calls counted.
func TestIncident(t *testing.T) {
	t.Parallel()
	shared, answers := startFleet(t, 3), newAnswerLog()
	root := t.TempDir()
	var skews [4]atomic.Int64
	skews[1].Store(int64(3700 * time.Millisecond))
	var nodes []*testServer
	var callers []*jsonCaller
	var stamps [4]adminapi.ClockStamps
	dirs := make([]string, 4)
	for i := range 4 {
		dirs[i] = filepath.Join(root, fmt.Sprint("n", i))
		nodes = append(nodes, shared.startServer(t, fmt.Sprint("n", i), dirs[i], &skews[i]))
		callers = append(callers, dialJSONCaller(t, nodes[i].jsonAddress(), answers, fmt.Sprintf("%08x", i)))
	}
	exchange := func() {
		for i, n := range nodes {
			var err error
			if stamps[i], err = adminapi.ExchangeClocks(context.Background(), n.adminAddress(), "test", stamps[i]); err != nil {
				t.Fatal(err)
			}
		}
	}
	dial := func(number string, n int) {
		var keys []string
		for i, k := range callers {
			for j := range n {
				keys = append(keys, k.setUp(fmt.Sprintf("%s.%d.%d", number, i, j), 4*time.Second))
			}
		}
		for _, key := range keys {
			answers.await(t, key, 1)
		}
	}
	again := func() { // n0 ends in good order and starts again: its next records are another segment
		nodes[0].stop(t)
		eventually(t, "its store is let go", func() bool { return !record.Live(dirs[0]) }) // a slow disk may take longer than a server waits
		nodes[0], stamps[0] = shared.startServer(t, "n0", dirs[0], &skews[0]), adminapi.ClockStamps{}
		callers[0] = dialJSONCaller(t, nodes[0].jsonAddress(), answers, fmt.Sprintf("%08x", time.Now().UnixNano()&0xffffffff))
	}
	exchange()
	dial("ok", 10)
	exchange()
	again()
	skews[2].Add(int64(-2 * time.Second))
	dial("busy", 3)
	dial("full", 3)
	lines := append([]endpointLine(nil), shared.lines...)
	lines[1].draining = true
	shared.discovery.set(lines...)
	for _, n := range nodes {
		eventually(t, "the drain is known", func() bool {
			drained := make(chan bool, 1)
			n.server.loop.Execute(func() { drained <- n.server.backends.Get("s-1").IsDraining() })
			return <-drained
		})
	}
	dial("ok", 5)
	again()
	dial("keep", 2)
	eventually(t, "the records of n3 are on disk", func() bool {
		open := make(chan bool, 1)
		nodes[3].server.loop.Execute(func() { open <- nodes[3].server.recorder.log.Written() == nodes[3].server.recorder.log.Records() })
		return <-open
	})
	killed := filepath.Join(root, "killed")
	copyStore(t, dirs[3], killed)
	shared.exchanges[2].stop()
	dial("ok", 5)
	time.Sleep(1100 * time.Millisecond) // clocks are looked at once a second
	exchange()
	for _, n := range nodes {
		n.stop(t)
	}
	dirs[3] = killed
	files, err := filepath.Glob(filepath.Join(dirs[0], "*.rec"))
	if err != nil || len(files) != 3 {
		t.Fatal(files, err)
	}
	if err := os.Remove(files[1]); err != nil {
		t.Fatal(err)
	}
	if keep := os.Getenv("KEEP_INCIDENT"); keep != "" {
		for i, dir := range dirs {
			copyStore(t, dir, filepath.Join(keep, fmt.Sprint("n", i)))
		}
	}

	var sum [4]map[string]uint64
	for i, dir := range dirs {
		sum[i], _ = countRecords(t, dir)
	}
	r := analyzeStores(t, dirs...)
	var offered, stood, failed, tries uint64
	for i, in := range r.Instances {
		n, c := sum[i], in.Total
		for what, got := range map[string]uint64{"setup": c.Offered, "answer stood": c.Established(), "answer refused": c.Outcome(record.Refused),
			"answer failed": c.Outcome(record.Failed), "try": c.Attempts, "retry": c.Retries, "cut": c.Dropped, "release": c.Released} {
			if got != n[what] {
				t.Errorf("%s: %d %s, one by one %d", in.Name, got, what, n[what])
			}
		}
		if core := &nodes[i].server.calls.Counters; (i == 1 || i == 2) && (c.Offered != uint64(core.Requests) || c.Established() != uint64(core.Established) || c.Attempts != uint64(core.Attempts) || in.Incomplete) {
			t.Errorf("%s: %+v, the core counted %+v", in.Name, c.Counts, core)
		}
		offered, stood, failed, tries = offered+n["setup"], stood+n["answer stood"], failed+n["answer failed"], tries+n["try"]
	}
	if r.Total.Offered != offered || r.Total.Established() != stood || r.Total.Outcome(record.Failed) != failed || r.Total.Attempts != tries {
		t.Errorf("in all %+v, one by one %d %d %d %d", r.Total.Counts, offered, stood, failed, tries)
	}
	if !r.Instances[3].Incomplete || !r.Incomplete {
		t.Error("records without an end are taken for whole")
	}
	if n0 := r.Instances[0]; !n0.Incomplete || n0.Lost != sum[0]["lost"] || n0.Lost == 0 || len(n0.Starts) != 2 {
		t.Errorf("a segment is gone: %+v", n0)
	}
	o := r.Instances[1].Starts[0].Offset
	if !o.Known || o.Min > 3700*time.Millisecond || o.Max < 3700*time.Millisecond || o.Max-o.Min > time.Second {
		t.Errorf("the skewed clock: %v to %v", o.Min, o.Max)
	}
	found := make(map[string]int)
	for _, f := range r.Findings {
		found[f.Kind]++
		switch f.Kind {
		case incident.FoundStep:
			// Two clocks are read one after the other, and the process may be descheduled between the two.
			_, text, _ := strings.Cut(f.Text, "set by ")
			text, _, _ = strings.Cut(text, ";")
			if by, err := time.ParseDuration(text); f.Instance != "n2" || err != nil || (by+2*time.Second).Abs() > 50*time.Millisecond {
				t.Errorf("%+v, %v", f, err)
			}
		case incident.FoundDrain:
			if f.Server != "s-1" || len(f.Noticed) != 4 {
				t.Errorf("%+v", f)
			}
			for _, n := range f.Noticed[1:] {
				if n.MinDelay > time.Second || n.MaxDelay < -time.Second {
					t.Errorf("%s heard %v to %v after the first", n.Instance, n.MinDelay, n.MaxDelay)
				}
			}
		case incident.FoundSkew:
			if f.Instance != "n1" {
				t.Errorf("%+v", f)
			}
		}
	}
	if found[incident.FoundStep] != 1 || found[incident.FoundDrain] != 1 || found[incident.FoundSkew] != 1 || found[incident.FoundLateSend] != 0 {
		t.Errorf("found %v", found)
	}
	var windows incident.Counts
	for _, w := range r.Windows {
		windows.Offered += w.Offered
		windows.Dropped += w.Dropped
		for i, n := range w.Outcomes {
			windows.Outcomes[i] += n
		}
	}
	if windows.Offered != offered || windows.Outcomes != r.Total.Outcomes || windows.Dropped != r.Total.Dropped {
		t.Errorf("windows hold %+v of %+v", windows, r.Total.Counts)
	}
	if n := shared.observations.total(&shared.observations.simultaneousAttempts) + shared.observations.total(&shared.observations.earlyRetries); n != 0 {
		t.Errorf("%d rules broken", n)
	}
}

// BenchmarkSetUp times set-ups one by one with records off and on; about five a second are admitted, so run it with
// -benchtime 200x.
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
					time.Sleep(20 * time.Millisecond) // the admission control admits no more at once than it has seen answered
					began := time.Now()
					key := client.setUp("keep.1", 4*time.Second)
					if said := answers.await(b, key, 1); strings.HasPrefix(said, "stands") {
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
