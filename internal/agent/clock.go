package agent

import (
	"context"
	"os"
	"time"

	"olivedale/internal/adminapi"
)

// Times of the exchanges by which an instance's records can be laid beside those of others.
const (
	clockFirst = 200 * time.Millisecond // between the first exchanges of a start
	clockLast  = 15 * time.Second       // doubling up to this
)

// peerName is under what name instances record the exchanges: clocks can be compared by way
// of a machine's agent, so it is the machine's.
func peerName() string {
	name, err := os.Hostname()
	if err != nil || name == "" {
		name = "agent"
	}
	return name
}

// clock exchanges time stamps with an instance until ctx is done. An exchange that fails is
// left out: the next one is as good.
func (a *Agent) clock(ctx context.Context, i *instance) {
	var last adminapi.ClockStamps
	pause := clockFirst
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		s, err := adminapi.ExchangeClocks(ctx, i.spec.admin(), a.peer, last)
		if err != nil {
			last = adminapi.ClockStamps{}
			continue
		}
		last = s
		pause = min(2*pause, clockLast)
	}
}
