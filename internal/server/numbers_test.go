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

// A tableRun is a server whose table of numbers changes while calls are being set up.
type tableRun struct {
	*testServer
	t      *testing.T
	fleet  *fleet
	file   string
	dir    string         // of the records
	pools  map[string]int // that all numbers go to, by the digest of a table
	caller *jsonCaller
	log    *answerLog
}

func startTableRun(t *testing.T) *tableRun {
	t.Helper()
	r := &tableRun{
		t:     t,
		fleet: startFleet(t, 2),
		file:  filepath.Join(t.TempDir(), "numbers.toml"),
		dir:   t.TempDir(),
		pools: make(map[string]int),
		log:   newAnswerLog(),
	}
	for _, s := range r.fleet.exchanges {
		s.answersNothing = true // a call on an unresponsive connection is tried again: it must not be established then
	}
	r.writeTable(0)
	r.fleet.numbers = &config.Numbering{File: r.file}
	r.testServer = r.fleet.startServer(t, "n0", r.dir, new(atomic.Int64))
	r.caller = dialJSONCaller(t, r.jsonAddress(), r.log, "aaaaaaaa")
	return r
}

// writeTable writes a table by which all numbers go to one pool.
func (r *tableRun) writeTable(pool int) {
	r.t.Helper()
	if err := os.WriteFile(r.file, []byte(numberRules(pool)), 0o600); err != nil {
		r.t.Fatal(err)
	}
	table, _, err := numbering.CompileFile(r.file, numbering.Deployment{Now: time.Duration(time.Now().UnixNano())})
	if err != nil {
		r.t.Fatal(err)
	}
	r.pools[table.Digest()] = pool
}

// versions returns the versions of the table that the server holds.
func (r *tableRun) versions() []numbering.VersionStatus {
	versions := make(chan []numbering.VersionStatus, 1)
	r.server.loop.Execute(func() { versions <- r.server.numbering.versions.List() })
	return <-versions
}

// callsOf returns the number of calls that go by the tables of a pool.
func (r *tableRun) callsOf(pool int) (calls int) {
	for _, v := range r.versions() {
		if r.pools[v.Digest] == pool {
			calls += v.Calls
		}
	}
	return calls
}

// swapTable puts the table of a pool in force.
func (r *tableRun) swapTable(pool int) {
	r.t.Helper()
	r.writeTable(pool)
	r.server.ReloadNumbering()
	eventually(r.t, "the table is in force", func() bool {
		for _, v := range r.versions() {
			if v.State == numbering.StateActive {
				return r.pools[v.Digest] == pool
			}
		}
		return false
	})
}

// reloadBadTable checks that a bad table changes nothing.
func (r *tableRun) reloadBadTable() {
	r.t.Helper()
	writeFile(r.t, r.file, "default = \"none\"")
	before := r.versions()
	r.server.ReloadNumbering()
	after := r.versions()
	if len(after) != len(before) || after[0].Digest != before[0].Digest || after[0].State != before[0].State {
		r.t.Errorf("a bad table: %+v, before %+v", after, before)
	}
}

// checkRecords compares the records, call by call, with the tables.
func (r *tableRun) checkRecords() {
	r.t.Helper()
	reader, err := record.OpenDir(r.dir)
	if err != nil {
		r.t.Fatal(err)
	}
	defer func() { _ = reader.Close() }()
	var rec record.Record
	pools := make(map[string]int) // by call
	attempts := make(map[int]int) // by pool
	for reader.Next(&rec) == nil {
		switch rec.Kind {
		case record.KindCallOffered:
			if strings.HasPrefix(rec.Number, "9") {
				continue
			}
			pool, ok := r.pools[rec.Text]
			if !ok {
				r.t.Errorf("%s went by a table that there is not: %q", rec.Call, rec.Text)
			}
			pools[rec.Call] = pool
		case record.KindAttemptStarted:
			if want := fmt.Sprint("s-", pools[rec.Call]); rec.Server != want {
				r.t.Errorf("%s went to %s, its table says %s", rec.Call, rec.Server, want)
			}
			attempts[pools[rec.Call]]++
		}
	}
	if attempts[0] == 0 || attempts[1] == 0 {
		r.t.Errorf("attempts by pool: %v", attempts)
	}
}

// Tables are changed while calls are being set up and others arrive: each call goes by the table that it began with,
// and by no other, as its records show.
func TestTableSwappedInService(t *testing.T) {
	t.Parallel()
	r := startTableRun(t)
	attemptsTo := r.fleet.observations.attemptsTo
	if got := r.log.await(t, r.caller.setUp("911", 4*time.Second), 1); got != "end 17" {
		t.Errorf("a barred number: %q", got)
	}
	const number = "100"
	first := r.caller.setUp(number, 8*time.Second)
	eventually(t, "it is at the exchange of pool 0", func() bool { return attemptsTo(number) >= 1 })
	for i := range 6 {
		r.swapTable((i + 1) % 2)
		number := fmt.Sprint("20", i)
		key := r.caller.setUp(number, 8*time.Second)
		eventually(t, "it is at an exchange or rejected", func() bool {
			return attemptsTo(number) >= 1 || r.log.of(key) != ""
		})
	}
	if r.callsOf(0) == 0 || r.callsOf(1) == 0 {
		t.Errorf("calls hold %+v", r.versions())
	}
	r.reloadBadTable()
	// The connection of the first call counts as unresponsive, as it does where this test is slow: the call is tried
	// again, by the table that it began with.
	before := attemptsTo(number)
	r.server.loop.ExecuteIteration(func() { r.server.backends.Get("s-0").Disconnect(call.Unresponsive) })
	eventually(t, "it is tried again", func() bool { return attemptsTo(number) > before })
	if r.callsOf(0) == 0 || r.callsOf(1) == 0 {
		t.Errorf("while one is tried again calls hold %+v", r.versions())
	}
	r.caller.hangUp(first)
	r.caller.close()
	eventually(t, "no call holds a table", func() bool { return r.callsOf(0)+r.callsOf(1) == 0 })
	r.stop(t)
	r.checkRecords()
}

// A versionRun is a server whose versions of the table are changed over the admin address.
type versionRun struct {
	*testServer
	t     *testing.T
	fleet *fleet
	dir   string
}

func startVersionRun(t *testing.T) *versionRun {
	t.Helper()
	r := &versionRun{t: t, fleet: startFleet(t, 2), dir: t.TempDir()}
	r.fleet.numbers = &config.Numbering{
		File:  r.writeRules("first.toml", numberRules(0)),
		State: filepath.Join(r.dir, "state"),
	}
	r.start()
	return r
}

func (r *versionRun) start() {
	r.t.Helper()
	r.testServer = r.fleet.startServer(r.t, "n0", "", new(atomic.Int64))
}

// writeRules writes rules to a file and returns its path.
func (r *versionRun) writeRules(name, text string) (path string) {
	r.t.Helper()
	path = filepath.Join(r.dir, name)
	writeFile(r.t, path, text)
	return path
}

// ask sends a command to the admin address.
func (r *versionRun) ask(c *h248.Command) ([]numbering.VersionStatus, numbering.Job, error) {
	reply, err := adminapi.Send(context.Background(), r.adminAddress(), c)
	if err != nil {
		return nil, numbering.Job{}, err
	}
	versions, job := adminapi.ParseNumbering(reply.Descriptors)
	return versions, job, nil
}

// list returns the versions that the server holds, and the last order.
func (r *versionRun) list() ([]numbering.VersionStatus, numbering.Job) {
	r.t.Helper()
	versions, job, err := r.ask(adminapi.AuditCommand(adminapi.NumberingTermination))
	if err != nil {
		r.t.Fatal(err)
	}
	return versions, job
}

// digestWhere returns the digest of the version that matches; "": there is none.
func (r *versionRun) digestWhere(matches func(numbering.VersionStatus) bool) (digest string) {
	r.t.Helper()
	versions, _ := r.list()
	for _, v := range versions {
		if matches(v) {
			digest = v.Digest
		}
	}
	return digest
}

// inForce returns the digest of the version in force.
func (r *versionRun) inForce() string {
	return r.digestWhere(func(v numbering.VersionStatus) bool { return v.State == numbering.StateActive })
}

// waiting returns the digest of the version that is to come into force later.
func (r *versionRun) waiting() string {
	return r.digestWhere(func(v numbering.VersionStatus) bool { return v.State == numbering.StateScheduled })
}

// order gives an order and waits for its end.
func (r *versionRun) order(o numbering.Command) numbering.Job {
	r.t.Helper()
	_, begun, err := r.ask(adminapi.NumberingCommand(o))
	if err != nil {
		return numbering.Job{Error: err.Error()}
	}
	var job numbering.Job
	eventually(r.t, "the order ends", func() bool {
		_, job = r.list()
		return job.ID == begun.ID && !job.IsRunning
	})
	return job
}

// changeVersions loads a second version and puts it in force, and the first again in an hour. It returns their digests.
func (r *versionRun) changeVersions() (first, second string) {
	r.t.Helper()
	first = r.inForce()
	bad := numbering.Command{Op: numbering.OpLoad, File: r.writeRules("bad.toml", "default = \"none\"")}
	if job := r.order(bad); !strings.Contains(job.Error, "there is no route") {
		r.t.Errorf("a bad file: %+v", job)
	}
	load := numbering.Command{Op: numbering.OpLoad, File: r.writeRules("second.toml", numberRules(1))}
	loaded := r.order(load)
	second = loaded.Digest
	if loaded.Error != "" || second == "" || r.inForce() != first {
		r.t.Fatalf("%+v; in force %s", loaded, r.inForce())
	}
	job := r.order(numbering.Command{Op: numbering.OpActivate, Digest: second, ExpectedActive: first})
	if job.Error != "" || r.inForce() != second {
		r.t.Fatalf("%+v; in force %s", job, r.inForce())
	}
	job = r.order(numbering.Command{Op: numbering.OpActivate, Digest: first, ExpectedActive: first})
	if !strings.Contains(job.Error, "not the one you saw") || r.inForce() != second {
		r.t.Errorf("the second of two operators: %+v", job)
	}
	inAnHour := time.Duration(time.Now().Add(time.Hour).UnixNano())
	job = r.order(numbering.Command{Op: numbering.OpActivate, Digest: first, ExpectedActive: second, ActivateAt: inAnHour})
	if job.Error != "" {
		r.t.Errorf("%+v", job)
	}
	if versions, _ := r.list(); len(versions) != 2 {
		r.t.Errorf("%+v", versions)
	}
	return first, second
}

// checkInvalidOrders checks that an order needs a form and the admin address.
func (r *versionRun) checkInvalidOrders() {
	r.t.Helper()
	empty := &h248.Command{Name: "Modify", Termination: adminapi.NumberingTermination}
	if _, _, err := r.ask(empty); err == nil {
		r.t.Error("an empty order was taken")
	}
	cancel := adminapi.NumberingCommand(numbering.Command{Op: numbering.OpCancel})
	if _, err := adminapi.Send(context.Background(), r.gatewayAddress(), cancel); err == nil {
		r.t.Error("a gateway may order")
	}
}

// restartAfterKill starts the server from what a kill leaves: the folder as it is now.
func (r *versionRun) restartAfterKill() {
	r.t.Helper()
	killed := filepath.Join(r.dir, "killed")
	copyStore(r.t, r.fleet.numbers.State, killed)
	r.stop(r.t)
	r.fleet.numbers = &config.Numbering{File: r.fleet.numbers.File, State: killed}
	r.start()
}

// tearState cuts the last state of the store in half.
func (r *versionRun) tearState() {
	r.t.Helper()
	files, err := filepath.Glob(filepath.Join(r.fleet.numbers.State, stateName+"-*"))
	if err != nil || len(files) < 2 {
		r.t.Fatal(files, err)
	}
	last := files[len(files)-1]
	b, err := os.ReadFile(last)
	if err != nil {
		r.t.Fatal(err)
	}
	if err := os.WriteFile(last, b[:len(b)/2], 0o600); err != nil {
		r.t.Fatal(err)
	}
}

// damageRules destroys the stored rules of a version.
func (r *versionRun) damageRules(digest string) {
	r.t.Helper()
	rules, err := filepath.Glob(filepath.Join(r.fleet.numbers.State, digest+"-*"))
	if err != nil || len(rules) != 1 {
		r.t.Fatal(rules, err)
	}
	if err := os.WriteFile(rules[0], []byte("torn"), 0o600); err != nil {
		r.t.Fatal(err)
	}
}

// Versions are loaded and put in force over the admin address; of two operators one wins; what is in force survives a
// kill, and a damaged version gives way to the last good one.
func TestVersionsInService(t *testing.T) {
	t.Parallel()
	r := startVersionRun(t)
	first, second := r.changeVersions()
	r.checkInvalidOrders()

	r.restartAfterKill()
	if r.inForce() != second || r.waiting() != first {
		versions, _ := r.list()
		t.Errorf("after a kill: %+v", versions)
	}
	if job := r.order(numbering.Command{Op: numbering.OpCancel}); job.Error != "" {
		t.Errorf("%+v", job)
	}
	job := r.order(numbering.Command{Op: numbering.OpRollback, ExpectedActive: second})
	if job.Error != "" || r.inForce() != first {
		t.Errorf("%+v; in force %s", job, r.inForce())
	}
	r.stop(t)

	// The last state is torn: the one before holds, in which the second was in force.
	r.tearState()
	r.start()
	if got := r.inForce(); got != second {
		t.Errorf("after a torn state %s is in force", got)
	}
	r.stop(t)

	// The rules of the version in force are damaged: the state before, which names another, holds.
	r.damageRules(second)
	r.start()
	if got := r.inForce(); got != first {
		t.Errorf("with damaged rules %s is in force", got)
	}
	r.stop(t)
}
