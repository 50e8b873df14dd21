package server

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"olivedale/internal/admission"
	"olivedale/internal/call"
	"olivedale/internal/config"
	"olivedale/internal/record"
)

// Times of the recorder.
const (
	second    = time.Second            // limits that were met and the clocks are looked at so often
	tallies   = 30 * time.Second       // the counters are recorded so often, and at the end
	drift     = 2 * time.Millisecond   // a clock reading is recorded if it differs by more from the last
	lastWords = 250 * time.Millisecond // the disk gets this for what is queued at an orderly end
)

// A recorder tells the store what happens. It runs on the event loop and never waits: the
// store's queue takes what it says or counts it as lost. The zero *recorder is off.
type recorder struct {
	n       *Node
	log     *record.Log
	r       record.Record // the one at hand; Put keeps nothing of it
	checked time.Duration
	tallied time.Duration
	offset  time.Duration // of the system's clock when last recorded
	noted   map[string]int
}

// newRecorder opens the store. It fails where the folder can't be used.
func newRecorder(n *Node, o *config.Records, program string) (*recorder, error) {
	trouble := func(err error) {
		if err != nil {
			n.log.Warnw("records_failed", "dir", o.Dir, "err", err)
		} else {
			n.log.Infow("records_back", "dir", o.Dir)
		}
	}
	log, found, err := record.Open(record.Options{Dir: o.Dir, Name: n.cfg.Name, Program: program, Queue: int(o.Queue), Sync: time.Duration(o.Sync),
		Segment: int64(o.Segment), Total: int64(o.Total), Age: time.Duration(o.Age), Wall: n.unix, Trouble: trouble})
	if err != nil {
		return nil, err
	}
	w := &recorder{n: n, log: log, noted: make(map[string]int), offset: math.MaxInt64}
	n.log.Infow("records", "dir", o.Dir, "found", found.String())
	r := w.put(record.KindStart)
	r.Flag, r.Text, r.By = found.Clean, found.String(), program
	w.done()
	w.configured("settings", newSettingsRecord(n.cfg.Settings))
	for _, k := range n.cfg.Settings.Classes { // an analysis needs what is late, and what is cold
		r := w.put(record.KindConfig)
		r.By, r.Class, r.Wait, r.Took, r.Value = "class", k.Name, k.LatencyObjective, k.Deadline, k.Weight
		w.done()
	}
	r = w.put(record.KindConfig)
	r.By, r.Wait, r.Value = "cold", n.cfg.Settings.SlowStartPeriod, n.cfg.Settings.SlowStartShare
	w.done()
	return w, nil
}

// put begins a record of now; done hands it over.
func (w *recorder) put(k record.Kind) *record.Record {
	w.r = record.Record{Kind: k, At: w.n.now()}
	return &w.r
}

func (w *recorder) done() { w.log.Put(&w.r) }

// configured tells what is in force, and a digest by which it is told from another.
func (w *recorder) configured(what string, v any) {
	text := fmt.Sprintf("%+v", v)
	w.table(what, fmt.Sprintf("%016x", xxhash.Sum64String(text)), text)
}

// table tells that something with a digest of its own is in force.
func (w *recorder) table(what, digest, text string) {
	if w == nil {
		return
	}
	r := w.put(record.KindConfig)
	r.By, r.Text = what, digest+" "+text
	w.done()
}

// CallOffered implements call.Observer.
func (w *recorder) CallOffered(now call.Time, q *call.Request) {
	w.r = record.Record{Kind: record.KindSetUp, At: now, Call: q.ID, Class: q.Class, Number: q.Number, Pool: q.PreferredPool, Flag: q.Reestablish, Wait: q.Deadline - now, Text: q.Table}
	w.done()
}

// Decided implements call.Observer.
func (w *recorder) Decided(now call.Time, o *admission.Decision) {
	w.r = record.Record{Kind: record.KindOrder, At: now, Call: o.CallID, Code: uint8(moves[o.Kind]), Server: o.Server, Attempt: o.Attempt, Wait: o.Wait, Text: string(o.Reason)}
	w.done()
}

// moves are the module's in the numbers of the format, which must stay.
var moves = map[admission.DecisionKind]record.Move{admission.None: record.Hold, admission.Send: record.Try, admission.Reject: record.Deny,
	admission.Fail: record.GiveUp, admission.Cancel: record.CallOff}

// AttemptStarted implements call.Observer.
func (w *recorder) AttemptStarted(now call.Time, server string, s *call.Setup) {
	w.r = record.Record{Kind: record.KindTry, At: now, Call: s.ID, Server: server, Attempt: s.Attempt, Wait: s.Timeout}
	w.done()
}

// AttemptEnded implements call.Observer.
func (w *recorder) AttemptEnded(now call.Time, server, id string, attempt int, e call.AttemptEnd, took time.Duration) {
	w.r = record.Record{Kind: record.KindTryEnd, At: now, Call: id, Server: server, Attempt: attempt, End: e.String(), Took: took}
	w.done()
}

var outcomes = [...]record.Outcome{call.Established: record.Stood, call.Rejected: record.Refused, call.Failed: record.Failed, call.Abandoned: record.GivenUp,
	call.RejectedOverLimit: record.Crowded, call.RejectedReusedID: record.Reused, call.RejectedInvalid: record.Impossible, call.RejectedShuttingDown: record.Stopped, call.RejectedByPolicy: record.Barred}

// CallAnswered implements call.Observer.
func (w *recorder) CallAnswered(now call.Time, a *call.Answer) {
	w.r = record.Record{Kind: record.KindAnswer, At: now, Call: a.ID, Class: a.Class, Code: uint8(outcomes[a.Outcome]), Cause: a.Cause, Wait: a.RetryAfter,
		Took: a.Elapsed, Server: a.Server, Attempt: a.Attempts}
	w.done()
}

// CallReleased implements call.Observer.
func (w *recorder) CallReleased(now call.Time, o *call.Release) {
	w.r = record.Record{Kind: record.KindRelease, At: now, Call: o.ID, Class: o.Class, Server: o.Server, Cause: o.Cause, End: o.End.String(), Took: o.Duration}
	w.done()
}

var limits = [...]string{call.LimitRepeatedSetup: "repeated_setup", call.LimitReusedID: "reused_id", call.LimitUnknownRelease: "unknown_release"}

// LimitReached implements call.Observer.
func (w *recorder) LimitReached(now call.Time, l call.Limit, id string) {
	w.r = record.Record{Kind: record.KindLimit, At: now, By: limits[l], Count: 1, Call: id}
	w.done()
}

// ceiling tells of a server's ceiling; +Inf is none.
func (w *recorder) ceiling(c admission.RateLimitChanged) {
	if w == nil {
		return
	}
	r := w.put(record.KindCeiling)
	r.Server, r.Value, r.Text = c.Server, c.AttemptsPerSecond, string(c.Reason)
	w.done()
}

// note tells a line of the module.
func (w *recorder) note(text string) {
	if w == nil {
		return
	}
	w.put(record.KindNote).Text = text
	w.done()
}

// server tells news of a server.
func (w *recorder) server(s admission.Server, addr string) {
	if w == nil {
		return
	}
	r := w.put(record.KindServer)
	r.Server, r.Pool, r.Since, r.Text = s.ID, s.Pool, s.Started, addr
	switch s.State {
	case admission.Draining:
		r.Code = uint8(record.Drains)
	case admission.Removed:
		r.Code = uint8(record.Gone)
	}
	r.Flag = s.Started > 0 && r.At-s.Started < w.n.cfg.Settings.SlowStartPeriod
	w.done()
}

// stopping tells that SIGTERM came.
func (w *recorder) stopping() {
	if w == nil {
		return
	}
	w.put(record.KindStopping)
	w.done()
}

// tick records, a second at a time, what is too frequent to be recorded one by one: what
// limits have turned away, and the clocks.
func (w *recorder) tick(now time.Duration) {
	if w == nil || now-w.checked < second {
		return
	}
	w.checked = now
	c := &w.n.Counters
	w.limit("clients_shut", c.ClientsShut)
	w.limit("clients_turned_away", c.ClientsTurnedAway)
	w.limit("clients_silent", c.ClientsSilent)
	w.limit("malformed", c.Malformed)
	w.limit("bad_news", c.BadNews)
	if offset := time.Duration(w.n.clock().UnixNano()) - now; offset-w.offset > drift || w.offset-offset > drift {
		w.offset = offset
		r := w.put(record.KindClock)
		r.T[0], r.T[1] = int64(now+offset), int64(now)
		w.done()
	}
	if now-w.tallied >= tallies {
		w.tallied = now
		w.tally()
	}
}

// limit records what a counter has grown by.
func (w *recorder) limit(name string, count int) {
	if grown := count - w.noted[name]; grown > 0 {
		r := w.put(record.KindLimit)
		r.By, r.Count = name, uint64(grown)
		w.done()
	}
	w.noted[name] = count
}

// tally records the core's counters, by which an analysis can be checked.
func (w *recorder) tally() {
	k := &w.n.core.Counters
	for _, c := range [...]struct {
		name  string
		count int
	}{{"requests", k.Requests}, {"stood", k.Established}, {"refused", k.Rejected}, {"failed", k.Failed}, {"given_up", k.Abandoned},
		{"repeated", k.Repeated}, {"reused", k.ReusedIDs}, {"crowded", k.OverLimit}, {"impossible", w.n.Impossible}, {"attempts", k.Attempts},
		{"released_by_exchange", k.ReleasedByBackend}, {"released_by_caller", k.ReleasedByCaller}} {
		r := w.put(record.KindTally)
		r.By, r.Count = c.name, uint64(c.count)
		w.done()
	}
}

// clock records an exchange of time stamps with a peer.
func (w *recorder) clock(peer string, stamps [4]int64) {
	if w == nil {
		return
	}
	r := w.put(record.KindClock)
	r.By, r.T = peer, stamps
	w.done()
}

// close ends the store in good order once the loop has ended.
func (w *recorder) close() {
	if w == nil {
		return
	}
	w.tally()
	w.put(record.KindEnd).Count = w.log.Records()
	w.done()
	if err := w.log.Close(lastWords); err != nil {
		w.n.log.Warnw("records_failed", "err", err)
	}
	w.n.log.Infow("records_end", "written", w.log.Written(), "lost", w.log.Lost())
}

// observe has those told of calls that the operator's file asks for; everything that is
// known at the start is in the records.
func (n *Node) observe(o Options, desk *admission.Engine) error {
	var watch call.Observer
	if o.Records != nil {
		w, err := newRecorder(n, o.Records, o.Program)
		if err != nil {
			return err
		}
		n.rec, watch = w, w
	}
	if o.H248 != nil && o.H248.Admin != "" {
		n.meter = newMeter(n, watch)
		watch = n.meter
	}
	if watch == nil {
		return nil
	}
	n.core.SetObserver(watch)
	desk.OnRateLimitChange = func(c admission.RateLimitChanged) {
		n.rec.ceiling(c)
		n.meter.ceiling(c)
	}
	return nil
}

var _ call.Observer = (*recorder)(nil)
