package console

import (
	"context"
	"sync"
	"time"

	"olivedale/internal/record"
)

// A Replay is a Source that replays the records of stores at an adjustable speed. It also implements Player.
type Replay struct {
	reader   *recordReader
	rates    rateCalculator
	pacer    pacer
	position record.Time // records up to this time have been replayed

	mu       sync.Mutex // guards the fields below
	speed    float64
	isPaused bool
}

// NewReplay opens stores to replay them from a time on; 0 means the time of the first record. It returns an error if
// one of them cannot be opened.
func NewReplay(
	stores []record.Store, start record.Time, speed float64, interval time.Duration,
) (*Replay, error) {
	reader, err := newRecordReader(stores)
	if err != nil {
		return nil, err
	}
	return &Replay{reader: reader, pacer: pacer{interval: interval}, position: start, speed: speed}, nil
}

// Close implements Source.
func (r *Replay) Close() error { return r.reader.close() }

// TogglePause implements Player.
func (r *Replay) TogglePause() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isPaused = !r.isPaused
}

// ScaleSpeed implements Player.
func (r *Replay) ScaleSpeed(factor float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.speed = min(max(r.speed*factor, MinSpeed), MaxSpeed)
}

// effectiveSpeed returns the speed, which is 0 during a pause.
func (r *Replay) effectiveSpeed() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isPaused {
		return 0
	}
	return r.speed
}

// Next implements Source.
func (r *Replay) Next(ctx context.Context) (*Snapshot, error) {
	if err := r.pacer.wait(ctx); err != nil {
		return nil, err
	}
	speed := r.effectiveSpeed()
	if err := r.reader.peek(); err != nil {
		return nil, err
	}
	r.movePosition(speed)
	r.pacer.hasFirst = true
	if err := r.reader.advance(ctx, r.position); err != nil {
		return nil, err
	}
	s := r.snapshot(speed)
	r.rates.apply(s)
	return s, nil
}

// movePosition moves the position by one interval; the first time it sets it to the start of the replay.
func (r *Replay) movePosition(speed float64) {
	switch {
	case r.pacer.hasFirst:
		r.position += time.Duration(float64(r.pacer.interval) * speed)
	case r.position == 0 && r.reader.hasNext:
		r.position = r.reader.next.At
	}
}

// snapshot returns the state at the position. At the end of the records the position is the time of the last one.
func (r *Replay) snapshot(speed float64) *Snapshot {
	s := r.reader.tracker.snapshot()
	s.Source = "replay"
	s.IsReplay = true
	s.Speed = speed
	s.AtEnd = !r.reader.hasNext
	if s.AtEnd {
		r.position = r.reader.tracker.latest
		s.At = record.Unix(max(r.position, 0))
		return s
	}
	s.At = record.Unix(r.position)
	for i := range s.Instances {
		instance := &s.Instances[i]
		// A running instance without records has no calls: its counts are up to date.
		if instance.State == StateRunning || instance.State == StateStopping {
			instance.Seen = s.At
		}
	}
	return s
}
