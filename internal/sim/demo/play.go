package demo

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"olivedale/internal/adminapi"
	"olivedale/internal/codec/h248"
	"olivedale/internal/sim/exchange"
	"olivedale/internal/sim/loopback"
)

const (
	// callerTimeout is the time that callers wait for the final answer.
	callerTimeout = 3 * time.Second
	// minStatsInterval is the minimum interval between lines of statistics.
	minStatsInterval = 500 * time.Millisecond
	agentTimeout     = 2 * time.Second
	slowdownFactor   = 3
)

// A fault is injected at a time after the start of the load.
type fault struct {
	at     time.Duration
	inject func() error
}

// play generates the load and injects the faults.
func (d *demo) play(ctx context.Context) error {
	load := &loopback.LoadGenerator{
		Addrs:         d.listen,
		Rate:          d.options.Rate,
		Duration:      d.options.Duration,
		CallerTimeout: callerTimeout,
		Pools:         d.options.Exchanges,
		Classes:       d.scenario.Class,
		Seed:          d.options.Seed,
	}
	done := make(chan error, 1)
	go func() { done <- load.Run(ctx) }()
	d.logHints()
	interval := d.options.Duration / 5
	faults := []fault{
		{interval, d.slowDown},
		{2 * interval, d.replaceExchange},
		{3 * interval, d.killController},
		{4 * interval, d.dropCalls},
	}
	start := time.Now()
	ticker := time.NewTicker(max(d.options.Duration/10, minStatsInterval))
	defer ticker.Stop()
	for {
		var due <-chan time.Time
		if len(faults) > 0 {
			due = time.After(time.Until(start.Add(faults[0].at)))
		}
		select {
		case err := <-done:
			d.logStats(load.Stats())
			return err
		case <-due:
			if err := faults[0].inject(); err != nil {
				return err
			}
			faults = faults[1:]
		case <-ticker.C:
			d.logStats(load.Stats())
		}
	}
}

// logHints prints commands that show the controllers while they run.
func (d *demo) logHints() {
	olivectl := filepath.Join(d.options.Bin, "olivectl")
	d.logf("%v calls per second for %v; to watch, run in another terminal:", d.options.Rate, d.options.Duration)
	d.logf("    %s top --agent %s", olivectl, d.options.Agent)
	d.logf("    %s list --agent %s", olivectl, d.options.Agent)
}

// logStats prints the statistics of the calls so far.
func (d *demo) logStats(s loopback.LoadStats) {
	percentile := func(p float64) time.Duration {
		if s.SetUpTimes == nil || s.SetUpTimes.TotalCount() == 0 {
			return 0
		}
		return (time.Duration(s.SetUpTimes.ValueAtQuantile(p)) * time.Microsecond).Round(time.Millisecond)
	}
	d.logf("%5d calls: %d established (set-up time p50 %v, p99 %v), %d rejected, %d failed, %d abandoned, %d dropped",
		s.Sent, s.Established, percentile(50), percentile(99), s.Rejected, s.Failed+s.Lost, s.Abandoned, s.Dropped)
}

// slowDown slows the processor of the first exchange down for a fifth of the run.
func (d *demo) slowDown() error {
	d.logf("-> the processor of x0 runs three times slower for a while")
	x := d.exchanges[0]
	setFactor := func(factor float64) {
		x.Do(func(m *exchange.Exchange, _ exchange.Time) { m.SetSlowdown(factor) })
	}
	setFactor(slowdownFactor)
	time.AfterFunc(d.options.Duration/5, func() { setFactor(1) })
	return nil
}

// replaceExchange drains the last exchange and starts a replacement, which begins in slow start.
func (d *demo) replaceExchange() error {
	last := d.options.Exchanges - 1
	d.logf("-> %s drains, its replacement x%d.1 begins in slow start", d.endpoints[last].ID, last)
	d.endpoints[last].Draining = true
	old := d.exchanges[last]
	if err := d.startExchange(fmt.Sprintf("x%d.1", last), last, true); err != nil {
		return err
	}
	d.names.Set(d.endpoints...)
	remaining := slices.Delete(slices.Clone(d.endpoints), last, last+1)
	time.AfterFunc(d.options.Duration/5, func() {
		old.Close()
		d.names.Set(remaining...)
	})
	return nil
}

// killController kills a controller, which the agent restarts.
func (d *demo) killController() error {
	ctx, cancel := context.WithTimeout(context.Background(), agentTimeout)
	defer cancel()
	reply, err := adminapi.Send(ctx, d.options.Agent, adminapi.AuditCommand("instance/n0"))
	if err != nil {
		return fmt.Errorf("demo: query the agent: %w", err)
	}
	var pid int
	_, err = fmt.Sscan(h248.Value(reply.Descriptors, "oa/instance", "pid"), &pid)
	if err != nil || pid <= 1 {
		return fmt.Errorf("demo: the agent reports no process id of n0")
	}
	d.logf("-> n0 is killed (process %d); the agent restarts it", pid)
	if err := syscall.Kill(pid, syscall.SIGKILL); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	return nil
}

// dropCalls drops two fifths of the established calls.
func (d *demo) dropCalls() error {
	d.logf("-> two fifths of the established calls are dropped")
	for _, x := range d.exchanges {
		x.Do(func(m *exchange.Exchange, now exchange.Time) { m.DropCalls(now, m.EstablishedCalls()*2/5) })
	}
	return nil
}

// report stops the controllers and creates the report from their records.
func (d *demo) report() error {
	if err := d.stopAgent(); err != nil {
		return err
	}
	if d.options.Report == "" {
		return nil
	}
	dirs, err := filepath.Glob(filepath.Join(d.dir, "records", "*"))
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	args := append([]string{"report", "-o", d.options.Report}, dirs...)
	c := exec.Command(filepath.Join(d.options.Bin, "olivectl"), args...)
	if out, err := c.CombinedOutput(); err != nil {
		return fmt.Errorf("demo: create the report: %w: %s", err, strings.TrimSpace(string(out)))
	}
	d.logf("the report is %s; open it in a browser", d.options.Report)
	return nil
}
