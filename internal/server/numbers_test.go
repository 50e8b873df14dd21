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
	"olivedale/internal/call"
	"olivedale/internal/codec/h248"
	"olivedale/internal/config"
	"olivedale/internal/numbering"
	"olivedale/internal/record"
)

// numberRules are rules by which all numbers go to one pool, except those that begin with 9, which are barred. The
// numbers consist of digits, and a simulated exchange answers every one of them.
func numberRules(pool int) string {
	return fmt.Sprintf("version = \"to %d\"\ndefault = \"r\"\n[[barred]]\nprefix = \"9\"\ncause = 17\n[[route]]\nname = \"r\"\n[[route.target]]\npool = %d\n", pool, pool)
}

// Tables are changed while calls are being set up and others arrive: each call goes by the table that it began with,
// and by no other, as its records show.
func TestTableSwappedInService(t *testing.T) {
	t.Parallel()
	nodes, answers := startFleet(t, 2), newAnswerLog()
	for _, s := range nodes.exchanges {
		s.answersNothing = true // a call on an unresponsive connection is tried again: it must not be established then
	}
	file := filepath.Join(t.TempDir(), "numbers.toml")
	digest := make(map[string]int) // pool by digest
	write := func(pool int) {
		t.Helper()
		if err := os.WriteFile(file, []byte(numberRules(pool)), 0o600); err != nil {
			t.Fatal(err)
		}
		table, _, err := numbering.Read(file, numbering.Env{Now: time.Duration(time.Now().UnixNano())})
		if err != nil {
			t.Fatal(err)
		}
		digest[table.Digest()] = pool
	}
	write(0)
	nodes.numbers = &config.Numbering{File: file}
	dir := t.TempDir()
	s := nodes.startServer(t, "n0", dir, new(atomic.Int64))
	client := dialJSONCaller(t, s.jsonAddress(), answers, "aaaaaaaa")
	status := func() []numbering.Status {
		got := make(chan []numbering.Status, 1)
		s.server.loop.Execute(func() { got <- s.server.numbering.desk.List() })
		return <-got
	}
	holds := func(pool int) (n int) {
		for _, v := range status() {
			if digest[v.Digest] == pool {
				n += v.Pins
			}
		}
		return n
	}
	if said := answers.await(t, client.setUp("911", 4*time.Second), 1); said != "end 17" {
		t.Errorf("a barred number: %q", said)
	}
	held := client.setUp("100", 8*time.Second)
	eventually(t, "it is at the server of pool 0", func() bool { return nodes.observations.attemptsTo("100") >= 1 })
	for i := range 6 {
		pool := (i + 1) % 2
		write(pool)
		s.server.ReloadNumbers()
		eventually(t, "the table is in force", func() bool {
			for _, v := range status() {
				if v.State == numbering.InForce {
					return digest[v.Digest] == pool
				}
			}
			return false
		})
		number := fmt.Sprint("20", i)
		key := client.setUp(number, 8*time.Second)
		eventually(t, "it is at a server or refused", func() bool { return nodes.observations.attemptsTo(number) >= 1 || answers.of(key) != "" })
	}
	if holds(0) == 0 || holds(1) == 0 {
		t.Errorf("calls hold %+v", status())
	}
	// A bad table changes nothing.
	if err := os.WriteFile(file, []byte("default = \"none\""), 0o600); err != nil {
		t.Fatal(err)
	}
	before := status()
	s.server.ReloadNumbers()
	if after := status(); len(after) != len(before) || after[0].Digest != before[0].Digest || after[0].State != before[0].State {
		t.Errorf("a bad table: %+v, before %+v", after, before)
	}
	// The connection of the first call counts as unresponsive, as it does where this test is slow: the call is tried
	// again, by the table that it began with.
	again := nodes.observations.attemptsTo("100")
	s.server.loop.Execute(func() {
		s.server.loop.RunIteration(func() { s.server.backends.Get("s-0").Disconnect(call.Unresponsive) })
	})
	eventually(t, "it is tried again", func() bool { return nodes.observations.attemptsTo("100") > again })
	if holds(0) == 0 || holds(1) == 0 {
		t.Errorf("while one is tried again calls hold %+v", status())
	}
	client.hangUp(held)
	client.close()
	eventually(t, "all calls have let go", func() bool { return holds(0)+holds(1) == 0 })
	s.stop(t)

	// The records, call by call, are compared with the tables.
	r, err := record.OpenDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Close() }()
	var rec record.Record
	pools := make(map[string]int)
	tries := make(map[int]int)
	for r.Next(&rec) == nil {
		switch rec.Kind {
		case record.KindSetUp:
			if strings.HasPrefix(rec.Number, "9") {
				continue
			}
			pool, ok := digest[rec.Text]
			if !ok {
				t.Errorf("%s went by a table that there is not: %q", rec.Call, rec.Text)
			}
			pools[rec.Call] = pool
		case record.KindTry:
			if want := fmt.Sprint("s-", pools[rec.Call]); rec.Server != want {
				t.Errorf("%s went to %s, its table says %s", rec.Call, rec.Server, want)
			}
			tries[pools[rec.Call]]++
		}
	}
	if tries[0] == 0 || tries[1] == 0 {
		t.Errorf("attempts by pool: %v", tries)
	}
}

// Versions are loaded and put in force over the admin address; of two operators one wins; what is in force survives a
// kill, and a damaged version gives way to the last good one.
func TestVersionsInService(t *testing.T) {
	t.Parallel()
	nodes, dir := startFleet(t, 2), t.TempDir()
	write := func(name, text string) string {
		t.Helper()
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	nodes.numbers = &config.Numbering{File: write("first.toml", numberRules(0)), State: filepath.Join(dir, "state")}
	s := nodes.startServer(t, "n0", "", new(atomic.Int64))
	ask := func(s *testServer, c *h248.Command) ([]numbering.Status, numbering.Job, error) {
		reply, err := adminapi.Send(context.Background(), s.adminAddress(), c)
		if err != nil {
			return nil, numbering.Job{}, err
		}
		versions, job := adminapi.ParseNumbering(reply.Descriptors)
		return versions, job, nil
	}
	list := func(s *testServer) ([]numbering.Status, numbering.Job) {
		t.Helper()
		versions, job, err := ask(s, adminapi.AuditCommand(adminapi.NumberingTermination))
		if err != nil {
			t.Fatal(err)
		}
		return versions, job
	}
	inForce := func(s *testServer) (digest string) {
		versions, _ := list(s)
		for _, v := range versions {
			if v.State == numbering.InForce {
				digest = v.Digest
			}
		}
		return digest
	}
	order := func(s *testServer, o numbering.Order) numbering.Job {
		t.Helper()
		_, begun, err := ask(s, adminapi.NumberingCommand(o))
		if err != nil {
			return numbering.Job{Err: err.Error()}
		}
		var job numbering.Job
		eventually(t, "the order ends", func() bool {
			_, job = list(s)
			return job.ID == begun.ID && !job.Running
		})
		return job
	}
	first := inForce(s)
	if job := order(s, numbering.Order{Op: numbering.OpLoad, File: write("bad.toml", "default = \"none\"")}); !strings.Contains(job.Err, "there is no route") {
		t.Errorf("a bad file: %+v", job)
	}
	second := order(s, numbering.Order{Op: numbering.OpLoad, File: write("second.toml", numberRules(1))})
	if second.Err != "" || second.Digest == "" || inForce(s) != first {
		t.Fatalf("%+v; in force %s", second, inForce(s))
	}
	if job := order(s, numbering.Order{Op: numbering.OpActivate, Digest: second.Digest, Saw: first}); job.Err != "" || inForce(s) != second.Digest {
		t.Fatalf("%+v; in force %s", job, inForce(s))
	}
	if job := order(s, numbering.Order{Op: numbering.OpActivate, Digest: first, Saw: first}); !strings.Contains(job.Err, "not the one you saw") || inForce(s) != second.Digest {
		t.Errorf("the second of two operators: %+v", job)
	}
	if job := order(s, numbering.Order{Op: numbering.OpActivate, Digest: first, Saw: second.Digest, At: time.Duration(time.Now().Add(time.Hour).UnixNano())}); job.Err != "" {
		t.Errorf("%+v", job)
	}
	if versions, _ := list(s); len(versions) != 2 {
		t.Errorf("%+v", versions)
	}
	if _, _, err := ask(&testServer{server: s.server}, &h248.Command{Name: "Modify", Termination: adminapi.NumberingTermination}); err == nil {
		t.Error("an order without a word was taken")
	}
	if _, err := adminapi.Send(context.Background(), s.gatewayAddress(), adminapi.NumberingCommand(numbering.Order{Op: numbering.OpCancel})); err == nil {
		t.Error("a gateway may order")
	}

	// What a kill leaves: the folder as it is now.
	killed := filepath.Join(dir, "killed")
	copyStore(t, nodes.numbers.State, killed)
	s.stop(t)
	nodes.numbers = &config.Numbering{File: nodes.numbers.File, State: killed}
	s = nodes.startServer(t, "n0", "", new(atomic.Int64))
	versions, _ := list(s)
	waiting := ""
	for _, v := range versions {
		if v.State == numbering.Waiting {
			waiting = v.Digest
		}
	}
	if inForce(s) != second.Digest || waiting != first {
		t.Errorf("after a kill: %+v", versions)
	}
	if job := order(s, numbering.Order{Op: numbering.OpCancel}); job.Err != "" {
		t.Errorf("%+v", job)
	}
	if job := order(s, numbering.Order{Op: numbering.OpRollback, Saw: second.Digest}); job.Err != "" || inForce(s) != first {
		t.Errorf("%+v; in force %s", job, inForce(s))
	}
	s.stop(t)

	// The last state is torn: the one before holds, in which the second was in force.
	files, err := filepath.Glob(filepath.Join(killed, "standing-*"))
	if err != nil || len(files) < 2 {
		t.Fatal(files, err)
	}
	last := files[len(files)-1]
	b, err := os.ReadFile(last)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(last, b[:len(b)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	s = nodes.startServer(t, "n0", "", new(atomic.Int64))
	if got := inForce(s); got != second.Digest {
		t.Errorf("after a torn standing %s is in force", got)
	}
	s.stop(t)
	// The rules of the version in force are damaged: the state before, which names another, holds.
	rules, err := filepath.Glob(filepath.Join(killed, second.Digest+"-*"))
	if err != nil || len(rules) != 1 {
		t.Fatal(rules, err)
	}
	if err := os.WriteFile(rules[0], []byte("torn"), 0o600); err != nil {
		t.Fatal(err)
	}
	s = nodes.startServer(t, "n0", "", new(atomic.Int64))
	if got := inForce(s); got != first {
		t.Errorf("with damaged rules %s is in force", got)
	}
	s.stop(t)
}
