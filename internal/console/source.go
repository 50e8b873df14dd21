package console

import (
	"context"
	"time"
)

// A Source produces snapshots. It is not safe for concurrent use.
type Source interface {
	// Next returns the first snapshot at once and each further one an interval after the previous one. It returns
	// the error of ctx as soon as ctx is done.
	Next(ctx context.Context) (*Snapshot, error)
	Close() error
}

// A Player controls a replay. Its methods may be called from any goroutine.
type Player interface {
	TogglePause()
	// ScaleSpeed multiplies the speed by a factor, within MinSpeed and MaxSpeed.
	ScaleSpeed(factor float64)
}

// Bounds of the speed of a replay, in seconds of records per second.
const (
	MinSpeed = 1.0 / 16
	MaxSpeed = 4096
)

// pacer delays all snapshots but the first.
type pacer struct {
	interval time.Duration
	hasFirst bool // the first snapshot has been requested
}

// wait returns nil when the next snapshot is due, or the error of ctx.
func (p *pacer) wait(ctx context.Context) error {
	if !p.hasFirst {
		return nil
	}
	timer := time.NewTimer(p.interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
