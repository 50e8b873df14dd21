package cluster

import (
	"sync"
	"time"

	"github.com/miekg/dns"

	"olivedale/internal/sim/invariant"
)

// A monitor turns the captured traffic of a run into events and passes them to the checker of the invariants. Its
// knowledge of the processes comes only from proxies, callers and injected faults. Its methods are safe for concurrent
// use.
type monitor struct {
	publishMu sync.Mutex // serializes updates of discovery

	mu                sync.Mutex
	checker           *invariant.Checker
	startTime         time.Time
	lastEventTime     invariant.Time
	closedExchanges   map[string]map[string]bool // by controller: exchanges known to it as draining or gone
	published         map[uint32]availability    // by serial number
	serial            uint32
	unreadableStreams int // SIP streams with a parse error
}

// An availability maps the ID of each exchange to whether it accepts calls, as published by discovery.
type availability map[string]bool

// clockSlack is the tolerance of the invariants for delays of clocks and network. Proxies, callers and checker share a
// machine with all processes, and a verdict must not depend on the machine's load.
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

// record passes an event to the checker with the current time. Its Deadline is relative to now.
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

// publish records an update under the next serial number and calls the function publish, which sets it in discovery.
// Updates are serialized, so that all controllers see the same serial number for the same update.
func (m *monitor) publish(update availability, publish func()) {
	m.publishMu.Lock()
	defer m.publishMu.Unlock()
	m.mu.Lock()
	m.serial++
	m.published[m.serial] = update
	m.mu.Unlock()
	publish()
}

// setStartTime sets the time that the times of events count from.
func (m *monitor) setStartTime(startTime time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.startTime = startTime
}

// clearNotifications discards what a controller was notified of, because it is restarting.
func (m *monitor) clearNotifications(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.closedExchanges, name)
}

// observeDiscovery records the changes of availability in an answer of discovery when it reaches a controller.
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

// soaSerial returns the serial number in the SOA record of a DNS answer.
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

// countUnreadable counts a stream with a parse error.
func (m *monitor) countUnreadable() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unreadableStreams++
}

// violations finishes the checker and returns the violations that it found, each with the latest fault that was
// injected before it.
func (m *monitor) violations(injected []InjectedFault) []Violation {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checker.Finish(time.Since(m.startTime))
	var all []Violation
	for _, b := range m.checker.Violations() {
		v := Violation{Rule: string(b.Rule), Text: b.Text, Controller: b.Controller, Call: b.Call, At: b.At.Seconds()}
		for _, f := range injected {
			if f.At <= v.At {
				v.LatestFault = f.Fault.String()
			}
		}
		for _, e := range b.Events {
			v.PrecedingEvents = append(v.PrecedingEvents, e.String())
		}
		all = append(all, v)
	}
	return all
}
