package cluster

import (
	"sync"
	"time"

	"github.com/miekg/dns"

	"olivedale/internal/sim/invariant"
)

// A monitor turns the captured traffic of a run into events and has the invariants checked. What it knows of the
// processes comes from the proxies and the callers alone. Its methods are safe for concurrent use.
type monitor struct {
	publishMu sync.Mutex // one update of discovery at a time

	mu                sync.Mutex
	checker           *invariant.Checker
	startTime         time.Time
	lastEventTime     invariant.Time
	closedExchanges   map[string]map[string]bool // by controller: exchanges that it was notified are draining or gone
	published         map[uint32]availability    // by serial number
	serial            uint32
	unreadableStreams int // streams that could not be parsed to their end
}

// An availability says of each exchange whether it takes calls, as published by discovery.
type availability map[string]bool

// clockSlack is the tolerance of the invariants for clocks and network: proxies, callers and checker share a machine
// with all the processes, and a verdict must not depend on its load.
const clockSlack = 150 * time.Millisecond

func newMonitor(startTime time.Time) *monitor {
	limits := invariant.DefaultLimits()
	limits.Slack = clockSlack
	return &monitor{
		startTime:       startTime,
		checker:         invariant.New(limits),
		closedExchanges: make(map[string]map[string]bool),
		published:       make(map[uint32]availability),
	}
}

// record passes an event to the checker as of now. Until is taken as a time from now.
func (m *monitor) record(e invariant.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordLocked(e)
}

func (m *monitor) recordLocked(e invariant.Event) {
	m.lastEventTime = max(time.Since(m.startTime), m.lastEventTime)
	e.At = m.lastEventTime
	e.Deadline += e.At
	m.checker.Record(e)
}

// publish has discovery publish an update by the function publish. Updates are made one after the other, so that the
// serial number is the same for all controllers.
func (m *monitor) publish(update availability, publish func()) {
	m.publishMu.Lock()
	defer m.publishMu.Unlock()
	m.mu.Lock()
	m.serial++
	m.published[m.serial] = update
	m.mu.Unlock()
	publish()
}

// restart sets the clock to zero as calls begin.
func (m *monitor) setStartTime(startTime time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.startTime = startTime
}

// clearNotifications forgets what a controller was notified of, because it starts again.
func (m *monitor) clearNotifications(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.closedExchanges, name)
}

// observeDiscovery records an answer of discovery as it reaches a controller.
func (m *monitor) observeDiscovery(controller string, answer []byte) {
	serial, ok := soaSerial(answer)
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	update, ok := m.published[serial]
	if !ok {
		return
	}
	closed := m.closedExchanges[controller]
	if closed == nil {
		closed = make(map[string]bool)
		m.closedExchanges[controller] = closed
	}
	for _, past := range m.published {
		for id := range past {
			isClosed := !update[id]
			if isClosed != closed[id] {
				closed[id] = isClosed
				m.recordLocked(invariant.Event{
					Kind:       invariant.ServerUpdated,
					Controller: controller,
					Server:     id,
					IsSet:      isClosed,
				})
			}
		}
	}
}

// soaSerial returns the serial number of the zone in a DNS answer.
func soaSerial(answer []byte) (uint32, bool) {
	var message dns.Msg
	if message.Unpack(answer) != nil || len(message.Ns) == 0 {
		return 0, false
	}
	soa, ok := message.Ns[0].(*dns.SOA)
	if !ok {
		return 0, false
	}
	return soa.Serial, true
}

// countUnreadable counts a stream that cannot be parsed any further.
func (m *monitor) countUnreadable() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unreadableStreams++
}

// violations returns the violations that the checker found, each with the latest fault that was injected before it.
func (m *monitor) violations(injected []InjectedFault) []Violation {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checker.Finish(time.Since(m.startTime))
	var all []Violation
	for _, b := range m.checker.Violations() {
		v := Violation{Rule: string(b.Rule), Text: b.Text, Node: b.Controller, Call: b.Call, At: b.At.Seconds()}
		for _, f := range injected {
			if f.At <= v.At {
				v.LatestFault = f.Fault.String()
			}
		}
		for _, e := range b.Events {
			v.Around = append(v.Around, e.String())
		}
		all = append(all, v)
	}
	return all
}
