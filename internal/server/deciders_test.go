package server

import (
	"fmt"
	"sync"
	"time"

	"olivedale/internal/admission"
)

// A scriptedDecider sends each attempt to the next exchange in a list. A failed attempt is retried immediately, or after
// retryDelay if it may have run.
type scriptedDecider struct {
	mu         sync.Mutex
	servers    []string
	retryDelay time.Duration // delay of a retry after an attempt that may have run
	retryAt    map[string]time.Duration
	reports    []admission.AttemptReport
}

// setServers sets the exchanges for the next attempts.
func (d *scriptedDecider) setServers(servers ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.servers = servers
}

func (d *scriptedDecider) Place(now time.Duration, r admission.Request) admission.Decision {
	return d.next(r.CallID)
}

func (d *scriptedDecider) next(id string) admission.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.servers) == 0 {
		return admission.Decision{CallID: id, Kind: admission.DecisionFail}
	}
	s := d.servers[0]
	d.servers = d.servers[1:]
	return admission.Decision{CallID: id, Kind: admission.DecisionSend, Server: s, Wait: 3 * time.Second}
}

func (d *scriptedDecider) Report(now time.Duration, p admission.AttemptReport) admission.Decision {
	d.mu.Lock()
	d.reports = append(d.reports, p)
	d.mu.Unlock()
	switch {
	case p.Kind == admission.ReportAbandoned:
		d.mu.Lock()
		delete(d.retryAt, p.CallID)
		d.mu.Unlock()
	case p.Kind != admission.ReportEnded || p.Final:
	case p.Result == admission.ResultServerBusy || p.Result == admission.ResultNotSent || p.Result == admission.ResultDialFailed || p.Result == admission.ResultServerError:
		return d.next(p.CallID)
	default:
		d.mu.Lock()
		if d.retryAt == nil {
			d.retryAt = make(map[string]time.Duration)
		}
		d.retryAt[p.CallID] = now + d.retryDelay
		d.mu.Unlock()
	}
	return admission.Decision{CallID: p.CallID}
}

func (d *scriptedDecider) Tick(now time.Duration) (decisions []admission.Decision) {
	d.mu.Lock()
	var due []string
	for id, at := range d.retryAt {
		if now >= at {
			due = append(due, id)
			delete(d.retryAt, id)
		}
	}
	d.mu.Unlock()
	for _, id := range due {
		decisions = append(decisions, d.next(id))
	}
	return decisions
}

func (d *scriptedDecider) NextDeadline() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := time.Duration(1 << 62)
	for _, at := range d.retryAt {
		next = min(next, at)
	}
	return next
}
func (d *scriptedDecider) UpdateServers(time.Duration, []admission.Server, bool) {}

// results returns the reported results of the attempts of a call.
func (d *scriptedDecider) results(id string) (all []admission.AttemptResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.reports {
		if p.CallID == id && p.Kind == admission.ReportEnded {
			all = append(all, p.Result)
		}
	}
	return all
}

// unlimitedDecider applies no limits: a call is sent to its pools in order, one after another, with the retry guard
// after an attempt that may have run. It lets tests load the rest of the server at rates that the admission control
// would not admit to exchanges it does not know yet.
type unlimitedDecider struct {
	untriedPools   map[string][]int // remaining pools by open call
	delayed        []delayedCall    // calls waiting for the retry guard, by time
	attemptTimeout time.Duration    // timeout of each attempt
}

type delayedCall struct {
	at   time.Duration
	call string
}

// newUnlimitedDecider returns a decider whose attempts time out before an unresponsive connection is closed.
func newUnlimitedDecider() *unlimitedDecider {
	return &unlimitedDecider{untriedPools: make(map[string][]int), attemptTimeout: 150 * time.Millisecond}
}

func (d *unlimitedDecider) Place(_ time.Duration, r admission.Request) admission.Decision {
	d.untriedPools[r.CallID] = r.Pools
	return d.next(r.CallID)
}

func (d *unlimitedDecider) next(call string) admission.Decision {
	pools := d.untriedPools[call]
	if len(pools) == 0 {
		delete(d.untriedPools, call)
		return admission.Decision{CallID: call, Kind: admission.DecisionReject}
	}
	d.untriedPools[call] = pools[1:]
	return admission.Decision{CallID: call, Kind: admission.DecisionSend, Server: fmt.Sprint("s-", pools[0]), Wait: d.attemptTimeout}
}

func (d *unlimitedDecider) Report(now time.Duration, p admission.AttemptReport) admission.Decision {
	switch {
	case p.Kind == admission.ReportLoad:
	case p.Kind != admission.ReportEnded || p.Final:
		delete(d.untriedPools, p.CallID)
	case p.Result == admission.ResultTimedOut || p.Result == admission.ResultConnectionLost || p.Result == admission.ResultCanceled:
		d.delayed = append(d.delayed, delayedCall{now + retryGuard + 50*time.Millisecond, p.CallID})
	default:
		return d.next(p.CallID)
	}
	return admission.Decision{CallID: p.CallID, Kind: admission.DecisionNone}
}

func (d *unlimitedDecider) Tick(now time.Duration) (all []admission.Decision) {
	for len(d.delayed) > 0 && d.delayed[0].at <= now {
		if _, ok := d.untriedPools[d.delayed[0].call]; ok {
			all = append(all, d.next(d.delayed[0].call))
		}
		d.delayed = d.delayed[1:]
	}
	return all
}

func (d *unlimitedDecider) NextDeadline() time.Duration {
	if len(d.delayed) > 0 {
		return d.delayed[0].at
	}
	return time.Duration(1<<63 - 1)
}

func (d *unlimitedDecider) UpdateServers(time.Duration, []admission.Server, bool) {}
