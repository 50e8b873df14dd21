package agent

import (
	"context"
	"time"
)

// A backoff is a delay that doubles from a minimum to a maximum.
type backoff struct {
	delay, minDelay, maxDelay time.Duration
}

func newBackoff(minDelay, maxDelay time.Duration) *backoff {
	return &backoff{delay: minDelay, minDelay: minDelay, maxDelay: maxDelay}
}

func (b *backoff) reset() { b.delay = b.minDelay }

func (b *backoff) increase() { b.delay = min(2*b.delay, b.maxDelay) }

// wait waits for the current delay and returns true. If ctx is done earlier, it returns false immediately.
func (b *backoff) wait(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(b.delay):
		return true
	}
}
