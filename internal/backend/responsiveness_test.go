package backend

import (
	"testing"
	"time"
)

func TestResponseTimeout(t *testing.T) {
	const dialTimeout = 500 * time.Millisecond
	for _, test := range []struct {
		name          string
		waitingSetups int
		longestGap    time.Duration
		want          time.Duration
	}{
		{"few set-ups", 2, 0, 4 * dialTimeout},
		{"fast exchange", 3, 0, dialTimeout / 2},
		{"usual gap", 3, 200 * time.Millisecond, 800 * time.Millisecond},
		{"slow exchange", 3, time.Minute, 4 * dialTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := activity{waitingSetups: test.waitingSetups, longestGap: test.longestGap}
			if got := a.responseTimeout(dialTimeout); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
