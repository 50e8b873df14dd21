package main

import (
	"encoding/json"
	"fmt"
	stdnet "net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"olivedale/internal/adminapi"
	"olivedale/internal/agent"
	"olivedale/internal/codec/h248"
	"olivedale/internal/config"
	"olivedale/internal/goldentest"
	"olivedale/internal/numbering"
	"olivedale/internal/overload"
	"olivedale/internal/server"
)

// serveAdmin runs an admin server on a free port until the test ends.
func serveAdmin(t *testing.T, handle adminapi.Handler) (addr string) {
	t.Helper()
	ln, err := stdnet.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() { _ = adminapi.Serve(ln, "<fake>", handle) }()
	return ln.Addr().String()
}

// serveAgent runs a fake agent whose only instance, n0, is running and has that admin address.
func serveAgent(t *testing.T, admin string) (addr string) {
	t.Helper()
	return serveAdmin(t, func(c *h248.Command) ([]*h248.Node, *h248.Error) {
		n := &h248.Node{Name: "oa/instance", Children: []*h248.Node{
			{Name: "name", Value: "n0", Quoted: true},
			{Name: "state", Value: "running"},
			{Name: "pid", Value: "7"},
			{Name: "starts", Value: "1"},
			{Name: "admin", Value: admin, Quoted: true},
		}}
		if c.Termination == "ROOT" {
			return []*h248.Node{{Name: "Statistics", Children: []*h248.Node{n}}}, nil
		}
		return []*h248.Node{n}, nil
	})
}

// mustRun executes a command line, reports an error if it fails, and returns its output.
func mustRun(t *testing.T, args ...string) string {
	t.Helper()
	out, err := run(t, args...)
	if err != nil {
		t.Errorf("%v: %v\n%s", args, err, out)
	}
	return out
}

// The output about an agent's instances matches the golden files. The instances have invalid specifications, so that no
// process is started.
func TestGoldenAgent(t *testing.T) {
	a := agent.New(filepath.Join(t.TempDir(), "none"), t.TempDir(), zap.NewNop())
	t.Cleanup(a.Close)
	a.Apply("east", []byte(`{"config":{},"h248":{"listen":"127.0.0.1:2944","admin":"127.0.0.1:2945"}}`))
	a.Apply("west", []byte(`{`))
	addr := serveAdmin(t, a.Handle)
	goldentest.Compare(t, "list.json", mustRun(t, "list", "--agent", addr, "--json"))
	goldentest.Compare(t, "list.txt", mustRun(t, "list", "--agent", addr))
	goldentest.Compare(t, "status_faulty.json", mustRun(t, "status", "east", "--agent", addr, "--json"))
	goldentest.Compare(t, "drain.txt", mustRun(t, "drain", "east", "--agent", addr))
}

// goldenState returns a state in which no field has its zero value.
func goldenState() *overload.State {
	return &overload.State{
		Self: 3, Peers: 300, Incarnation: 77, Aggregator: 5, AggregatorFor: 3 * time.Second,
		LastContactAge: 400 * time.Millisecond, AliveMembers: 260, PeakMembers: 300,
		Partitioned: true, FrequentReports: true, Ejected: 1,
		Servers: []overload.ServerState{{
			ID: "s-1", PendingAttempts: 2, SetupTime: 130 * time.Millisecond, Limited: true,
			ClaimedWait: 900 * time.Millisecond, ThrottleProbability: [4]float64{0.98, 0.5, 0, 1},
			OverflowProbability: 0.25, Throttled: 12,
		}},
		Aggregates: []overload.AggregateState{{
			Key: overload.ServerKey("s-1"), Offered: 40.5, Overflow: 2, Answered: 30,
			Wait: time.Second, WaitReports: 100, AdmittedRate: 28,
		}},
		Members: []overload.MemberState{{
			Number: 2, Status: overload.Suspect, LastReportAge: time.Second, LossShare: 0.125,
			ReportSpan: 500 * time.Millisecond,
		}},
		Counters: overload.Counters{
			Sent: 1, SentBytes: 2, Received: 3, Malformed: 5, Misattributed: 6, Throttled: 8, Admitted: 9,
			AggregatorsUnresponsive: 11, AggregatorsEjected: 12,
		},
	}
}

// The output about overload control and numbering tables of instances matches the golden files.
func TestGoldenInstance(t *testing.T) {
	admin := serveAdmin(t, func(c *h248.Command) ([]*h248.Node, *h248.Error) {
		if c.Termination == adminapi.OverloadTermination {
			return adminapi.OverloadNodes(goldenState()), nil
		}
		const activatedAt = 1764547200 * time.Second
		return adminapi.NumberingNodes([]numbering.VersionStatus{
			{Digest: "7b3cbfb4b82e4e7b", Name: "of today", State: numbering.StateActive, Prefixes: 12, Calls: 3, ActivatedAt: activatedAt},
			{Digest: "00c41f7a00c41f7a", Name: "of tomorrow", State: numbering.StateScheduled, Prefixes: 13, ScheduledAt: activatedAt + time.Hour},
			{Digest: "11c41f7a00c41f7a", Name: "spare", State: numbering.StateLoaded, Prefixes: 1},
		}, numbering.Job{ID: 4, Command: numbering.Command{Op: numbering.OpLoad}, Error: "no such file"}), nil
	})
	addr := serveAgent(t, admin)
	for file, args := range map[string][]string{
		"peers.json":        {"peers", "--json"},
		"peers.txt":         {"peers"},
		"peers_explain.txt": {"peers", "--explain", "s-1"},
		"numbers_list.json": {"numbers", "list", "--json"},
		"numbers_list.txt":  {"numbers", "list"},
	} {
		goldentest.Compare(t, file, mustRun(t, append(args, "--agent", addr)...))
	}
}

// freeAddr returns a loopback address with a free port.
func freeAddr(t *testing.T) string {
	t.Helper()
	ln, err := stdnet.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

const instanceConfig = `{"name":"n0","listen":"%s","seed":"1f","names":"127.0.0.1:9","limits":{"memory_mb":192,"sockets":1024},
	"known":{"n":1,"events":[{"n":1,"members":{"complete":true,"members":[{"id":"s-0","host_port":"127.0.0.1:9","locality":"east","flavor":"std","cell":0,"phase":"Ready"}]}}]},
	"settings":{"groupSize":1,"classes":[{"name":"voice","aim":1000,"deadline":3000,"credit":1}],
	"domain":{"topology":"pools","releaseGuard":300},"limits":{"maxAttempts":2,"connectTimeout":500,"peerMessages":true}}}`

const instanceRules = `version = "of today"
default = "all"
[[route]]
name = "all"
[[route.target]]
pool = 0
`

// startInstance runs an instance with all optional components that have statistics, and returns its admin address.
func startInstance(t *testing.T) (admin string) {
	t.Helper()
	dir := t.TempDir()
	rules := filepath.Join(dir, "numbers.toml")
	if err := os.WriteFile(rules, []byte(instanceRules), 0o600); err != nil {
		t.Fatal(err)
	}
	admin = freeAddr(t)
	peer, number := freeAddr(t), 0
	o := &config.OperatorConfig{H248: &config.H248{Listen: freeAddr(t), Admin: admin}, Records: &config.Records{Dir: filepath.Join(dir, "records")},
		Numbering: &config.Numbering{File: rules, Lookup: config.Lookup{Servers: []string{"127.0.0.1:9"}}},
		Overload:  &config.OverloadControl{Listen: peer, Peers: []string{peer, freeAddr(t)}, Number: &number}}
	if err := o.Validate(); err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Parse(fmt.Appendf(nil, instanceConfig, freeAddr(t)))
	if err != nil {
		t.Fatal(err)
	}
	n, err := server.New(cfg, server.Options{H248: o.H248, Records: o.Records, Numbering: o.Numbering, Overload: o.Overload})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- n.Run() }()
	select {
	case <-n.Started():
	case err := <-done:
		t.Fatal(err)
	case <-time.After(10 * time.Second):
		t.Fatal("the instance did not start")
	}
	t.Cleanup(func() {
		n.Stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return admin
}

// jsonShape lists the path and the type of each member of a JSON value in order; of an array, only the first element.
func jsonShape(t *testing.T, text string) string {
	t.Helper()
	var b strings.Builder
	in := json.NewDecoder(strings.NewReader(text))
	next := func() json.Token {
		token, err := in.Token()
		if err != nil {
			t.Fatal(err)
		}
		return token
	}
	var value func(path string)
	value = func(path string) {
		switch token := next(); token {
		case json.Delim('{'):
			_, _ = fmt.Fprintf(&b, "%s object\n", path)
			for in.More() {
				value(fmt.Sprintf("%s.%v", path, next()))
			}
			next()
		case json.Delim('['):
			_, _ = fmt.Fprintf(&b, "%s array\n", path)
			for first := true; in.More(); first = false {
				before := b.String()
				value(path + "[]")
				if !first {
					b.Reset()
					b.WriteString(before)
				}
			}
			next()
		default:
			_, _ = fmt.Fprintf(&b, "%s %T\n", path, token)
		}
	}
	value("")
	return b.String()
}

// writeNodeNames writes the names of nodes and, recursively, of their children.
func writeNodeNames(b *strings.Builder, path string, nodes []*h248.Node) {
	for _, n := range nodes {
		_, _ = fmt.Fprintf(b, "%s%s\n", path, n.Name)
		writeNodeNames(b, path+n.Name+" ", n.Children)
	}
}

// The names and types in the output about a running instance match the golden files, and so does a replay.
func TestGoldenService(t *testing.T) {
	admin := startInstance(t)
	audit, err := adminapi.Send(t.Context(), admin, adminapi.AuditCommand("ROOT"))
	if err != nil {
		t.Fatal(err)
	}
	var names strings.Builder
	writeNodeNames(&names, "", audit.Descriptors)
	goldentest.Compare(t, "statistics.txt", names.String())
	addr := serveAgent(t, admin)
	goldentest.Compare(t, "status_fields.txt", jsonShape(t, mustRun(t, "status", "n0", "--agent", addr, "--json")))
	goldentest.Compare(t, "top_fields.txt", jsonShape(t, mustRun(t, "top", "--agent", addr, "--interval", "100ms", "--json")))
	goldentest.Compare(t, "top_replay.json", mustRun(t, "top", "--replay", incidentDir, "--json"))
}
