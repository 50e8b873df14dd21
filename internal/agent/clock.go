package agent

import (
	"context"
	"os"
	"sync"
	"time"

	"olivedale/internal/adminapi"
)

// Intervals of the clock exchanges by which the records of instances on several machines are aligned.
const (
	minClockInterval = 200 * time.Millisecond // after a start of the instance
	maxClockInterval = 15 * time.Second
)

// machineName returns the name under which instances record clock exchanges. All instances of a machine record the same
// name, so that their clocks can be compared.
func machineName() string {
	name, err := os.Hostname()
	if err != nil || name == "" {
		name = "agent"
	}
	return name
}

// startClockExchange exchanges clock readings with an instance in a goroutine. The function that it returns ends the
// goroutine and waits for it.
func (a *Agent) startClockExchange(i *instance) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var exchange sync.WaitGroup
	exchange.Go(func() { a.exchangeClocks(ctx, i.spec.adminAddr()) })
	return func() {
		cancel()
		exchange.Wait()
	}
}

// exchangeClocks exchanges clock readings with the instance at addr until ctx is done. After a failed exchange it
// forgets the previous timestamps and does not increase the interval.
func (a *Agent) exchangeClocks(ctx context.Context, addr string) {
	var previous adminapi.ClockStamps
	interval := newBackoff(minClockInterval, maxClockInterval)
	for interval.wait(ctx) {
		stamps, err := adminapi.ExchangeClocks(ctx, addr, a.peerName, previous)
		if err != nil {
			previous = adminapi.ClockStamps{}
			continue
		}
		previous = stamps
		interval.increase()
	}
}
