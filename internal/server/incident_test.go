package server

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"olivedale/internal/adminapi"
	"olivedale/internal/incident"
	"olivedale/internal/record"
)

const (
	incidentServers = 4
	skewedServer    = 1 // has a clock that is clockSkew ahead
	steppedServer   = 2 // has a clock that is set back by clockStep
	killedServer    = 3
	clockSkew       = 3700 * time.Millisecond
	clockStep       = 2 * time.Second
)

// An incidentRun simulates an incident on several servers that share their exchanges.
type incidentRun struct {
	t       *testing.T
	shared  *fleet
	answers *answerLog
	root    string
	skews   [incidentServers]atomic.Int64
	servers [incidentServers]*testServer
	callers [incidentServers]*jsonCaller
	stamps  [incidentServers]adminapi.ClockStamps
	dirs    [incidentServers]string // folders of the records
}

// An incidentSum holds totals of the records of all servers.
type incidentSum struct{ offered, established, failed, attempts uint64 }

func startIncident(t *testing.T) *incidentRun {
	t.Helper()
	r := &incidentRun{t: t, shared: startFleet(t, 3), answers: newAnswerLog(), root: t.TempDir()}
	r.skews[skewedServer].Store(int64(clockSkew))
	for i := range incidentServers {
		r.dirs[i] = filepath.Join(r.root, fmt.Sprint("n", i))
		r.start(i, fmt.Sprintf("%08x", i))
	}
	return r
}

func (r *incidentRun) start(i int, idPrefix string) {
	r.t.Helper()
	r.servers[i] = r.shared.startServer(r.t, fmt.Sprint("n", i), r.dirs[i], &r.skews[i])
	r.callers[i] = dialJSONCaller(r.t, r.servers[i].jsonAddress(), r.answers, idPrefix)
}

// restart stops the first server in an orderly way and starts it again, which begins a new record segment.
func (r *incidentRun) restart() {
	r.t.Helper()
	r.servers[0].stop(r.t)
	// With a slow disk the record log may still be open when the server has ended.
	eventually(r.t, "the record log is closed", func() bool { return !record.Live(r.dirs[0]) })
	r.stamps[0] = adminapi.ClockStamps{}
	r.start(0, fmt.Sprintf("%08x", time.Now().UnixNano()&0xffffffff))
}

// exchangeClocks exchanges clock time stamps with all servers.
func (r *incidentRun) exchangeClocks() {
	r.t.Helper()
	for i, s := range r.servers {
		var err error
		r.stamps[i], err = adminapi.ExchangeClocks(context.Background(), s.adminAddress(), "test", r.stamps[i])
		if err != nil {
			r.t.Fatal(err)
		}
	}
}

// call sets up n calls at each server and waits for their answers.
func (r *incidentRun) call(number string, n int) {
	r.t.Helper()
	var keys []string
	for i, caller := range r.callers {
		for j := range n {
			keys = append(keys, caller.setUp(fmt.Sprintf("%s.%d.%d", number, i, j), 4*time.Second))
		}
	}
	for _, key := range keys {
		r.answers.await(r.t, key, 1)
	}
}

// drainExchange drains an exchange and waits until all servers have learned of it.
func (r *incidentRun) drainExchange(i int) {
	r.t.Helper()
	lines := append([]endpointLine(nil), r.shared.lines...)
	lines[i].draining = true
	r.shared.discovery.set(lines...)
	for _, s := range r.servers {
		eventually(r.t, "the drain is known", func() bool {
			drained := make(chan bool, 1)
			s.server.loop.Execute(func() { drained <- s.server.backends.Get(lines[i].id).IsDraining() })
			return <-drained
		})
	}
}

// kill copies the records of a server in the state that a kill at this moment would leave. The server itself keeps
// running.
func (r *incidentRun) kill(i int) (dir string) {
	r.t.Helper()
	eventually(r.t, "the records of the server are on disk", func() bool {
		written := make(chan bool, 1)
		server := r.servers[i].server
		server.loop.Execute(func() { written <- server.recorder.log.Written() == server.recorder.log.Records() })
		return <-written
	})
	dir = filepath.Join(r.root, "killed")
	copyStore(r.t, r.dirs[i], dir)
	return dir
}

// run runs the whole incident.
func (r *incidentRun) run() {
	r.t.Helper()
	r.exchangeClocks()
	r.call("ok", 10)
	r.exchangeClocks()
	r.restart()
	r.skews[steppedServer].Add(-int64(clockStep))
	r.call("busy", 3)
	r.call("full", 3)
	r.drainExchange(1)
	r.call("ok", 5)
	r.restart()
	r.call("keep", 2)
	killed := r.kill(killedServer)
	r.shared.exchanges[2].stop()
	r.call("ok", 5)
	time.Sleep(checkInterval + 100*time.Millisecond) // clocks are checked once per checkInterval
	r.exchangeClocks()
	for _, s := range r.servers {
		s.stop(r.t)
	}
	r.dirs[killedServer] = killed
	r.loseSegment()
}

// loseSegment deletes the second of the three segments of the first server.
func (r *incidentRun) loseSegment() {
	r.t.Helper()
	files, err := filepath.Glob(filepath.Join(r.dirs[0], "*.rec"))
	if err != nil || len(files) != 3 {
		r.t.Fatal(files, err)
	}
	if err := os.Remove(files[1]); err != nil {
		r.t.Fatal(err)
	}
}

// keep copies the records to the folder named by the environment variable KEEP_INCIDENT, if set.
func (r *incidentRun) keep() {
	keep := os.Getenv("KEEP_INCIDENT")
	if keep == "" {
		return
	}
	for i, dir := range r.dirs {
		copyStore(r.t, dir, filepath.Join(keep, fmt.Sprint("n", i)))
	}
}

// checkInstance compares the report on a server with a count of its records and, if its records are complete, with the
// counters of its call manager.
func (r *incidentRun) checkInstance(i int, in *incident.Instance, counts map[string]uint64) {
	c := in.Total
	for what, got := range map[string]uint64{
		"setup":          c.Offered,
		"answer stood":   c.Established(),
		"answer refused": c.Outcome(record.OutcomeRejected),
		"answer failed":  c.Outcome(record.OutcomeFailed),
		"try":            c.Attempts,
		"retry":          c.Retries,
		"cut":            c.Dropped,
		"release":        c.Released,
	} {
		if got != counts[what] {
			r.t.Errorf("%s: the report has %d %s, the records have %d", in.Name, got, what, counts[what])
		}
	}
	if i != skewedServer && i != steppedServer {
		return
	}
	counted := &r.servers[i].server.calls.Counters
	if c.Offered != uint64(counted.Requests) || c.Established() != uint64(counted.Established) ||
		c.Attempts != uint64(counted.Attempts) || in.Incomplete {
		r.t.Errorf("%s: the report has %+v, the call manager counted %+v", in.Name, c.Counts, counted)
	}
}

// checkFindings compares the findings of the report with the simulated events.
func (r *incidentRun) checkFindings(findings []incident.Finding) {
	found := make(map[string]int)
	for _, f := range findings {
		found[f.Kind]++
		switch f.Kind {
		case incident.FoundStep:
			// The two clocks are read one after the other, and the process may be descheduled in between.
			_, text, _ := strings.Cut(f.Text, "set by ")
			text, _, _ = strings.Cut(text, ";")
			by, err := time.ParseDuration(text)
			if f.Instance != "n2" || err != nil || (by+clockStep).Abs() > 50*time.Millisecond {
				r.t.Errorf("clock step: %+v, %v", f, err)
			}
		case incident.FoundDrain:
			if f.Server != "s-1" || len(f.Noticed) != incidentServers {
				r.t.Errorf("drain: %+v", f)
			}
			for _, n := range f.Noticed[1:] {
				if n.MinDelay > time.Second || n.MaxDelay < -time.Second {
					r.t.Errorf("%s noticed the drain %v to %v after the first server", n.Instance, n.MinDelay, n.MaxDelay)
				}
			}
		case incident.FoundSkew:
			if f.Instance != "n1" {
				r.t.Errorf("clock skew: %+v", f)
			}
		}
	}
	if found[incident.FoundStep] != 1 || found[incident.FoundDrain] != 1 || found[incident.FoundSkew] != 1 ||
		found[incident.FoundLateSend] != 0 {
		r.t.Errorf("findings by kind: %v", found)
	}
}

// checkTotal compares the totals of the report with the totals of all records.
func (r *incidentRun) checkTotal(report *incident.Report, sum incidentSum) {
	total := report.Total
	if total.Offered != sum.offered || total.Established() != sum.established ||
		total.Outcome(record.OutcomeFailed) != sum.failed || total.Attempts != sum.attempts {
		r.t.Errorf("the report has the totals %+v, the records have %+v", total.Counts, sum)
	}
	var windows incident.Counts
	for _, w := range report.Windows {
		windows.Offered += w.Offered
		windows.Dropped += w.Dropped
		for i, n := range w.Outcomes {
			windows.Outcomes[i] += n
		}
	}
	if windows.Offered != sum.offered || windows.Outcomes != total.Outcomes || windows.Dropped != total.Dropped {
		r.t.Errorf("the windows add up to %+v, want %+v", windows, total.Counts)
	}
}

// TestIncident simulates an incident on four servers: one is killed, the clock of one is 3.7 s ahead, the clock of one
// is set back by 2 s in the middle, and one loses a record segment; one exchange drains and another dies. The report
// must agree with an independent count of the records and, for servers with complete records, with the counters of the
// call managers.
func TestIncident(t *testing.T) {
	t.Parallel()
	r := startIncident(t)
	r.run()
	r.keep()
	var counts [incidentServers]map[string]uint64
	for i, dir := range r.dirs {
		counts[i], _ = countRecords(t, dir)
	}
	report := analyzeStores(t, r.dirs[:]...)
	var sum incidentSum
	for i := range report.Instances {
		r.checkInstance(i, &report.Instances[i], counts[i])
		sum.offered += counts[i]["setup"]
		sum.established += counts[i]["answer stood"]
		sum.failed += counts[i]["answer failed"]
		sum.attempts += counts[i]["try"]
	}
	r.checkTotal(report, sum)
	if !report.Instances[killedServer].Incomplete || !report.Incomplete {
		t.Error("records without an end are reported as complete")
	}
	first := report.Instances[0]
	if !first.Incomplete || first.Lost != counts[0]["lost"] || first.Lost == 0 || len(first.Starts) != 2 {
		t.Errorf("the server with a lost segment: %+v", first)
	}
	o := report.Instances[skewedServer].Starts[0].Offset
	if !o.Known || o.Min > clockSkew || o.Max < clockSkew || o.Max-o.Min > time.Second {
		t.Errorf("the offset of the skewed clock is %v to %v", o.Min, o.Max)
	}
	r.checkFindings(report.Findings)
	seen := r.shared.observations
	if n := seen.total(&seen.simultaneousAttempts) + seen.total(&seen.earlyRetries); n != 0 {
		t.Errorf("%d simultaneous attempts or early retries, want none", n)
	}
}
