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

// Intervals and timeouts of the recorder.
const (
	// checkInterval is the interval between checks of the limit counters and the clocks.
	checkInterval = time.Second
	// countersInterval is the interval between records of the call counters, which are also recorded at the end.
	countersInterval = 30 * time.Second
	// minClockDrift: the clock offset is recorded if it differs from the last record by more than this.
	minClockDrift = 2 * time.Millisecond
	// closeTimeout bounds the time for writing queued records to disk at an orderly shutdown.
	closeTimeout = 250 * time.Millisecond
)

// A recorder writes events to the record log. It runs on the event loop and never blocks: the queue of the log accepts
// a record or counts it as lost. A nil *recorder is disabled.
type recorder struct {
	server             *Server
	log                *record.Log
	current            record.Record // reused for each record; Put does not retain it
	checkedAt          time.Duration
	countersRecordedAt time.Duration
	lastClockOffset    time.Duration  // offset of the system clock that was last recorded
	lastCounts         map[string]int // limit counters that were last recorded
}

var _ call.Observer = (*recorder)(nil)

// newRecorder opens the record log and records the start and the settings. It fails if the folder cannot be used.
func newRecorder(s *Server, o *config.Records, program string) (*recorder, error) {
	log, found, err := record.Open(record.Options{
		Dir:          o.Dir,
		Name:         s.cfg.Name,
		Program:      program,
		QueueBytes:   int(o.Queue),
		SyncInterval: time.Duration(o.Sync),
		SegmentBytes: int64(o.Segment),
		TotalBytes:   int64(o.Total),
		MaxAge:       time.Duration(o.Age),
		StartTime:    s.loop.StartTime(),
		OnDiskHealth: func(err error) { s.logRecordsState(o.Dir, err) },
	})
	if err != nil {
		return nil, err
	}
	w := &recorder{server: s, log: log, lastCounts: make(map[string]int), lastClockOffset: math.MaxInt64}
	s.loop.Log.Infow("records", "dir", o.Dir, "found", found.String())
	r := w.begin(record.KindStart)
	r.Flag = found.Clean
	r.Text = found.String()
	r.By = program
	w.put()
	w.recordSettings()
	return w, nil
}

// logRecordsState logs that records cannot be written, or that they can be written again. It may be called from any
// goroutine.
func (s *Server) logRecordsState(dir string, err error) {
	if err != nil {
		s.loop.Log.Warnw("records_failed", "dir", dir, "err", err)
	} else {
		s.loop.Log.Infow("records_back", "dir", dir)
	}
}

// recordSettings records the active settings. An analysis needs the latency objectives and the length of a slow start.
func (w *recorder) recordSettings() {
	settings := w.server.cfg.Settings
	w.recordConfig("settings", newSettingsRecord(settings))
	for _, c := range settings.Classes {
		r := w.begin(record.KindConfig)
		r.By = "class"
		r.Class = c.Name
		r.Wait = c.LatencyObjective
		r.Took = c.Deadline
		r.Value = c.Weight
		w.put()
	}
	r := w.begin(record.KindConfig)
	r.By = "cold"
	r.Wait = settings.SlowStartPeriod
	r.Value = settings.SlowStartShare
	w.put()
}

// begin resets the current record to the given kind and the current time and returns it. put writes it.
func (w *recorder) begin(k record.Kind) *record.Record {
	w.current = record.Record{Kind: k, At: w.server.loop.Now()}
	return &w.current
}

func (w *recorder) put() { w.log.Put(&w.current) }

// recordConfig records an active configuration value as text, with the digest of that text.
func (w *recorder) recordConfig(name string, v any) {
	text := fmt.Sprintf("%+v", v)
	w.recordConfigVersion(name, fmt.Sprintf("%016x", xxhash.Sum64String(text)), text)
}

// recordConfigVersion records an active configuration value that has its own digest.
func (w *recorder) recordConfigVersion(name, digest, text string) {
	if w == nil {
		return
	}
	r := w.begin(record.KindConfig)
	r.By = name
	r.Text = digest + " " + text
	w.put()
}

// rateLimitChanged records the rate limit of an exchange. +Inf means no limit.
func (w *recorder) rateLimitChanged(c admission.RateLimitChanged) {
	if w == nil {
		return
	}
	r := w.begin(record.KindRateLimit)
	r.Server = c.Server
	r.Value = c.AttemptsPerSecond
	r.Text = string(c.Reason)
	w.put()
}

// recordNote records a message from the admission control.
func (w *recorder) recordNote(text string) {
	if w == nil {
		return
	}
	w.begin(record.KindNote).Text = text
	w.put()
}

// recordServer records the state of an exchange.
func (w *recorder) recordServer(server admission.Server, address string) {
	if w == nil {
		return
	}
	r := w.begin(record.KindServer)
	r.Server = server.ID
	r.Pool = server.Pool
	r.Since = server.Started
	r.Text = address
	switch server.State {
	case admission.Draining:
		r.Code = uint8(record.ServerDraining)
	case admission.Removed:
		r.Code = uint8(record.ServerRemoved)
	case admission.Active:
		r.Code = uint8(record.ServerActive)
	}
	r.Flag = server.Started > 0 && r.At-server.Started < w.server.cfg.Settings.SlowStartPeriod
	w.put()
}

// recordStopping records that a shutdown was requested.
func (w *recorder) recordStopping() {
	if w == nil {
		return
	}
	w.begin(record.KindStopping)
	w.put()
}

// tick records, once per checkInterval, what is too frequent for individual records: the limit counters and the clocks.
// The call counters follow once per countersInterval.
func (w *recorder) tick(now time.Duration) {
	if w == nil || now-w.checkedAt < checkInterval {
		return
	}
	w.checkedAt = now
	c := &w.server.frontends.host.Counters
	w.recordLimit("clients_shut", c.ClosedIdle)
	w.recordLimit("clients_turned_away", c.RejectedFull)
	w.recordLimit("clients_silent", c.ClosedOverdue)
	w.recordLimit("malformed", w.server.malformed.count)
	w.recordLimit("bad_news", w.server.discovery.counters.invalidAnswers)
	w.recordClockOffset(now)
	if now-w.countersRecordedAt >= countersInterval {
		w.countersRecordedAt = now
		w.recordCounters()
	}
}

// recordClockOffset records the offset between the system clock and the clock of the loop if it has changed.
func (w *recorder) recordClockOffset(now time.Duration) {
	offset := w.server.loop.SystemTime() - now
	if offset-w.lastClockOffset <= minClockDrift && w.lastClockOffset-offset <= minClockDrift {
		return
	}
	w.lastClockOffset = offset
	r := w.begin(record.KindClock)
	r.T[0] = int64(now + offset)
	r.T[1] = int64(now)
	w.put()
}

// recordLimit records the increase of a limit counter since its last record.
func (w *recorder) recordLimit(name string, count int) {
	if increase := count - w.lastCounts[name]; increase > 0 {
		r := w.begin(record.KindLimitReached)
		r.By = name
		r.Count = uint64(increase)
		w.put()
	}
	w.lastCounts[name] = count
}

// recordCounters records the call counters, against which an analysis can be checked.
func (w *recorder) recordCounters() {
	c := &w.server.calls.Counters
	for _, counter := range [...]struct {
		name  string
		count int
	}{
		{"requests", c.Requests},
		{"stood", c.Established},
		{"refused", c.Rejected},
		{"failed", c.Failed},
		{"given_up", c.Abandoned},
		{"repeated", c.Repeated},
		{"reused", c.ReusedIDs},
		{"crowded", c.OverLimit},
		{"impossible", w.server.frontends.host.Counters.InvalidSetups},
		{"attempts", c.Attempts},
		{"released_by_exchange", c.ReleasedByBackend},
		{"released_by_caller", c.ReleasedByCaller},
	} {
		r := w.begin(record.KindCounter)
		r.By = counter.name
		r.Count = uint64(counter.count)
		w.put()
	}
}

// recordClockStamps records the time stamps of a clock comparison with a peer.
func (w *recorder) recordClockStamps(peer string, stamps [4]int64) {
	if w == nil {
		return
	}
	r := w.begin(record.KindClock)
	r.By = peer
	r.T = stamps
	w.put()
}

// close records the end and closes the record log. It must be called after the loop has ended.
func (w *recorder) close() {
	if w == nil {
		return
	}
	log := w.server.loop.Log
	w.recordCounters()
	w.begin(record.KindEnd).Count = w.log.Records()
	w.put()
	if err := w.log.Close(closeTimeout); err != nil {
		log.Warnw("records_failed", "err", err)
	}
	log.Infow("records_end", "written", w.log.Written(), "lost", w.log.Lost())
}
