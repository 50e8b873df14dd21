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

// numberRules returns rules that route all numbers to one pool, except numbers that begin with 9, which are barred. The
// numbers consist of digits, which name no behavior: a simulated exchange does not answer the first attempt and
// establishes later ones.
func numberRules(pool int) string {
	return fmt.Sprintf("version = \"to %d\"\ndefault = \"r\"\n[[barred]]\nprefix = \"9\"\ncause = 17\n[[route]]\nname = \"r\"\n[[route.target]]\npool = %d\n", pool, pool)
}

// A tableRun is a server whose numbering table changes while calls are being set up.
type tableRun struct {
	*testServer
	t       *testing.T
	fleet   *fleet
	file    string
	dir     string         // folder of the records
	pools   map[string]int // pool of all numbers, by table digest
	caller  *jsonCaller
	answers *answerLog
}

func startTableRun(t *testing.T) *tableRun {
	t.Helper()
	r := &tableRun{
		t:       t,
		fleet:   startFleet(t, 2),
		file:    filepath.Join(t.TempDir(), "numbers.toml"),
		dir:     t.TempDir(),
		pools:   make(map[string]int),
		answers: newAnswerLog(),
	}
	for _, s := range r.fleet.exchanges {
		s.answersNothing = true // otherwise a retry after an unresponsive connection would be established
	}
	r.writeTable(0)
	r.fleet.numbers = &config.Numbering{File: r.file}
	r.testServer = r.fleet.startServer(t, "n0", r.dir, new(atomic.Int64))
	r.caller = dialJSONCaller(t, r.jsonAddress(), r.answers, "aaaaaaaa")
	return r
}

// writeTable writes a table that routes all numbers to one pool.
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

// callsOf returns the number of calls that use a table of the given pool.
func (r *tableRun) callsOf(pool int) (calls int) {
	for _, v := range r.versions() {
		if r.pools[v.Digest] == pool {
			calls += v.Calls
		}
	}
	return calls
}

// swapTable activates a table of the given pool.
func (r *tableRun) swapTable(pool int) {
	r.t.Helper()
	r.writeTable(pool)
	r.server.ReloadNumbering()
	eventually(r.t, "the table is active", func() bool {
		for _, v := range r.versions() {
			if v.State == numbering.StateActive {
				return r.pools[v.Digest] == pool
			}
		}
		return false
	})
}

// reloadInvalidTable checks that reloading an invalid table changes nothing.
func (r *tableRun) reloadInvalidTable() {
	r.t.Helper()
	writeFile(r.t, r.file, "default = \"none\"")
	before := r.versions()
	r.server.ReloadNumbering()
	after := r.versions()
	if len(after) != len(before) || after[0].Digest != before[0].Digest || after[0].State != before[0].State {
		r.t.Errorf("an invalid table changed the versions from %+v to %+v", before, after)
	}
}

// checkRecords checks in the records that each call was routed by its table.
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
				r.t.Errorf("call %s was routed by the unknown table %q", rec.Call, rec.Text)
			}
			pools[rec.Call] = pool
		case record.KindAttemptStarted:
			if want := fmt.Sprint("s-", pools[rec.Call]); rec.Server != want {
				r.t.Errorf("call %s was sent to %s, its table has %s", rec.Call, rec.Server, want)
			}
			attempts[pools[rec.Call]]++
		}
	}
	if attempts[0] == 0 || attempts[1] == 0 {
		r.t.Errorf("attempts by pool: %v", attempts)
	}
}

// The table changes while calls are being set up and others arrive. The records must show that each call is routed only
// by the table that was active when it began.
func TestTableSwappedInService(t *testing.T) {
	t.Parallel()
	r := startTableRun(t)
	attemptsTo := r.fleet.observations.attemptsTo
	if got := r.answers.await(t, r.caller.setUp("911", 4*time.Second), 1); got != "end 17" {
		t.Errorf("a call to a barred number: got %q", got)
	}
	const number = "100"
	first := r.caller.setUp(number, 8*time.Second)
	eventually(t, "the call is at the exchange of pool 0", func() bool { return attemptsTo(number) >= 1 })
	for i := range 6 {
		r.swapTable((i + 1) % 2)
		number := fmt.Sprint("20", i)
		key := r.caller.setUp(number, 8*time.Second)
		eventually(t, "the call is at an exchange or rejected", func() bool {
			return attemptsTo(number) >= 1 || r.answers.of(key) != ""
		})
	}
	if r.callsOf(0) == 0 || r.callsOf(1) == 0 {
		t.Errorf("versions used by calls: %+v", r.versions())
	}
	r.reloadInvalidTable()
	// The connection of the first call is closed as unresponsive, which also happens when this test runs slowly. The
	// call is tried again, using the table that it began with.
	before := attemptsTo(number)
	r.server.loop.ExecuteIteration(func() { r.server.backends.Get("s-0").Disconnect(call.Unresponsive) })
	eventually(t, "the call is tried again", func() bool { return attemptsTo(number) > before })
	if r.callsOf(0) == 0 || r.callsOf(1) == 0 {
		t.Errorf("versions used by calls after a retry: %+v", r.versions())
	}
	r.caller.hangUp(first)
	r.caller.close()
	eventually(t, "no call holds a table", func() bool { return r.callsOf(0)+r.callsOf(1) == 0 })
	r.stop(t)
	r.checkRecords()
}

// A versionRun is a server whose table versions are changed over the admin address.
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

// send sends a command to the admin address.
func (r *versionRun) send(c *h248.Command) ([]numbering.VersionStatus, numbering.Job, error) {
	reply, err := adminapi.Send(context.Background(), r.adminAddress(), c)
	if err != nil {
		return nil, numbering.Job{}, err
	}
	versions, job := adminapi.ParseNumbering(reply.Descriptors)
	return versions, job, nil
}

// list returns the versions that the server holds and the job of the last command.
func (r *versionRun) list() ([]numbering.VersionStatus, numbering.Job) {
	r.t.Helper()
	versions, job, err := r.send(adminapi.AuditCommand(adminapi.NumberingTermination))
	if err != nil {
		r.t.Fatal(err)
	}
	return versions, job
}

// digestWhere returns the digest of the version that matches, or "" if there is none.
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

// activeDigest returns the digest of the active version.
func (r *versionRun) activeDigest() string {
	return r.digestWhere(func(v numbering.VersionStatus) bool { return v.State == numbering.StateActive })
}

// scheduledDigest returns the digest of the version that is scheduled for activation.
func (r *versionRun) scheduledDigest() string {
	return r.digestWhere(func(v numbering.VersionStatus) bool { return v.State == numbering.StateScheduled })
}

// runCommand sends a command and waits until its job has ended.
func (r *versionRun) runCommand(o numbering.Command) numbering.Job {
	r.t.Helper()
	_, begun, err := r.send(adminapi.NumberingCommand(o))
	if err != nil {
		return numbering.Job{Error: err.Error()}
	}
	var job numbering.Job
	eventually(r.t, "the job has ended", func() bool {
		_, job = r.list()
		return job.ID == begun.ID && !job.IsRunning
	})
	return job
}

// changeVersions loads a second version, activates it, and schedules the first one again in an hour. It returns the
// digests of both.
func (r *versionRun) changeVersions() (first, second string) {
	r.t.Helper()
	first = r.activeDigest()
	bad := numbering.Command{Op: numbering.OpLoad, File: r.writeRules("bad.toml", "default = \"none\"")}
	if job := r.runCommand(bad); !strings.Contains(job.Error, "there is no route") {
		r.t.Errorf("loading an invalid file: %+v", job)
	}
	load := numbering.Command{Op: numbering.OpLoad, File: r.writeRules("second.toml", numberRules(1))}
	loaded := r.runCommand(load)
	second = loaded.Digest
	if loaded.Error != "" || second == "" || r.activeDigest() != first {
		r.t.Fatalf("loading a version: %+v; active version %s", loaded, r.activeDigest())
	}
	job := r.runCommand(numbering.Command{Op: numbering.OpActivate, Digest: second, ExpectedActive: first})
	if job.Error != "" || r.activeDigest() != second {
		r.t.Fatalf("activating a version: %+v; active version %s", job, r.activeDigest())
	}
	job = r.runCommand(numbering.Command{Op: numbering.OpActivate, Digest: first, ExpectedActive: first})
	if !strings.Contains(job.Error, "not the one you saw") || r.activeDigest() != second {
		r.t.Errorf("an activation with an outdated expected version: %+v", job)
	}
	inAnHour := time.Duration(time.Now().Add(time.Hour).UnixNano())
	job = r.runCommand(numbering.Command{Op: numbering.OpActivate, Digest: first, ExpectedActive: second, ActivateAt: inAnHour})
	if job.Error != "" {
		r.t.Errorf("scheduling a version: %+v", job)
	}
	if versions, _ := r.list(); len(versions) != 2 {
		r.t.Errorf("want two versions, got %+v", versions)
	}
	return first, second
}

// checkInvalidCommands checks that empty commands and commands on the gateway address are rejected.
func (r *versionRun) checkInvalidCommands() {
	r.t.Helper()
	empty := &h248.Command{Name: "Modify", Termination: adminapi.NumberingTermination}
	if _, _, err := r.send(empty); err == nil {
		r.t.Error("an empty command was accepted")
	}
	cancel := adminapi.NumberingCommand(numbering.Command{Op: numbering.OpCancel})
	if _, err := adminapi.Send(context.Background(), r.gatewayAddress(), cancel); err == nil {
		r.t.Error("a command on the gateway address was accepted")
	}
}

// restartAfterKill restarts the server from a copy of its current state folder, which is what a kill would leave.
func (r *versionRun) restartAfterKill() {
	r.t.Helper()
	killed := filepath.Join(r.dir, "killed")
	copyStore(r.t, r.fleet.numbers.State, killed)
	r.stop(r.t)
	r.fleet.numbers = &config.Numbering{File: r.fleet.numbers.File, State: killed}
	r.start()
}

// truncateState truncates the latest stored state to half of its length.
func (r *versionRun) truncateState() {
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

// damageRules overwrites the stored rules of a version.
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

// Guards against a stored table that the next start refuses: a holiday without a target, more than a year ahead when the
// table was loaded, counted as an error weeks later.
func TestStoredVersionSurvivesTheYear(t *testing.T) {
	t.Parallel()
	const untilHoliday, untilRestart = 400 * 24 * time.Hour, 60 * 24 * time.Hour
	holiday := time.Now().UTC().Add(untilHoliday).Format(time.DateOnly)
	rules := numberRules(0) + "when = \"day\"\n[[when]]\nname = \"day\"\nholidays = [\"" + holiday + "\"]\n"
	r := &versionRun{t: t, fleet: startFleet(t, 2), dir: t.TempDir()}
	r.fleet.numbers = &config.Numbering{File: r.writeRules("rules.toml", rules), State: filepath.Join(r.dir, "state")}
	r.start()
	loaded := r.activeDigest()
	r.stop(t)
	var skew atomic.Int64
	skew.Store(int64(untilRestart))
	r.testServer = r.fleet.startServer(t, "n0", "", &skew)
	if got := r.activeDigest(); got != loaded {
		t.Errorf("after the restart version %s is active, want %s", got, loaded)
	}
	r.stop(t)
}

// Versions are loaded and activated over the admin address. If two operators activate concurrently, only one succeeds.
// The active version survives a kill, and a damaged version is replaced by the last valid one.
func TestVersionsInService(t *testing.T) {
	t.Parallel()
	r := startVersionRun(t)
	first, second := r.changeVersions()
	r.checkInvalidCommands()

	r.restartAfterKill()
	if r.activeDigest() != second || r.scheduledDigest() != first {
		versions, _ := r.list()
		t.Errorf("after a kill: %+v", versions)
	}
	if job := r.runCommand(numbering.Command{Op: numbering.OpCancel}); job.Error != "" {
		t.Errorf("canceling the scheduled version: %+v", job)
	}
	job := r.runCommand(numbering.Command{Op: numbering.OpRollback, ExpectedActive: second})
	if job.Error != "" || r.activeDigest() != first {
		t.Errorf("rolling back: %+v; active version %s", job, r.activeDigest())
	}
	r.stop(t)

	// The latest state is truncated, so the one before is restored, in which the second version was active.
	r.truncateState()
	r.start()
	if got := r.activeDigest(); got != second {
		t.Errorf("with a truncated state %s is the active version", got)
	}
	r.stop(t)

	// The rules of the active version are damaged, so the state before is restored, in which the first version was
	// active.
	r.damageRules(second)
	r.start()
	if got := r.activeDigest(); got != first {
		t.Errorf("with damaged rules %s is the active version", got)
	}
	r.stop(t)
}
