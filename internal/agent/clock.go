package agent

import (
	"context"
	"os"
	"sync"
	"time"

	"olivedale/internal/adminapi"
)

// Intervals of clock exchanges, which are used to align the records of instances on several machines.
const (
	minClockInterval = 200 * time.Millisecond // after the instance has started
	maxClockInterval = 15 * time.Second
)

// machineName returns the name under which instances record clock exchanges. It is the same for all instances of a
// machine, so that their clocks can be compared.
func machineName() string {
	name, err := os.Hostname()
	if err != nil || name == "" {
		name = "agent"
	}
	return name
}

// startClockExchange starts a goroutine that exchanges clock readings with an instance. The returned function stops the
// goroutine and waits until it has ended.
func (a *Agent) startClockExchange(i *instance) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var exchange sync.WaitGroup
	exchange.Go(func() { a.exchangeClocks(ctx, i.spec.adminAddr()) })
	return func() {
		cancel()
		exchange.Wait()
	}
}

// exchangeClocks periodically exchanges clock readings with the instance at addr until ctx is done. After a failed
// exchange it discards the previous timestamps and does not increase the interval.
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
