package console

import (
	"math"
	"time"

	"olivedale/internal/record"
)

// Bounds of the data that a tracker keeps. Records of classes and servers beyond the bounds count in the totals only. A
// gap is shown for gapDisplayPeriod after its end.
const (
	maxInstances      = 4096
	maxServers        = 1024    // of an instance
	maxClasses        = 64      // of an instance
	maxOpenCalls      = 1 << 18 // of an instance
	gapDisplayPeriod  = 2 * time.Second
	maxClockDeviation = time.Second // of the wall clock from the monotonic clock, beyond which it has been set
)

// A tracker keeps the state of the fleet according to the records that were applied so far.
type tracker struct {
	latest    record.Time // of all records
	instances map[string]*trackedInstance
	order     []string // names of the instances as they were first seen
	events    eventLog
	calls     callHistory
}

// A trackedInstance is the state of one instance. The state of a run is cleared at a restart.
type trackedInstance struct {
	Instance
	runID      uint64
	latest     record.Time
	gapAt      record.Time // end of the last gap, 0 if there was none
	objectives map[string]time.Duration
	run        run
}

// run is the part of an instance's state that a restart clears.
type run struct {
	openCalls map[string]string // class by call id
	classes   map[string]*Class
	servers   map[string]*Server
}

func newRun() run {
	return run{
		openCalls: make(map[string]string),
		classes:   make(map[string]*Class),
		servers:   make(map[string]*Server),
	}
}

func newTracker() *tracker {
	return &tracker{instances: make(map[string]*trackedInstance), calls: newCallHistory()}
}

// apply updates the state by one record.
func (t *tracker) apply(h *record.Header, r *record.Record) {
	i := t.instance(h.Name)
	if i == nil {
		return
	}
	if i.runID != h.RunID {
		t.restart(i, h.RunID, r)
	}
	i.latest = max(i.latest, r.At)
	t.latest = max(t.latest, r.At)
	t.applyKind(i, r)
	if r.Call != "" {
		t.calls.add(i.Name, h, r)
	}
}

// instance returns the instance with a name, nil if there are too many.
func (t *tracker) instance(name string) *trackedInstance {
	if i := t.instances[name]; i != nil {
		return i
	}
	if len(t.instances) >= maxInstances {
		return nil
	}
	i := &trackedInstance{
		Instance:   Instance{Name: name, State: StateRunning},
		objectives: make(map[string]time.Duration),
	}
	t.instances[name] = i
	t.order = append(t.order, name)
	return i
}

// restart begins a new run of an instance.
func (t *tracker) restart(i *trackedInstance, runID uint64, r *record.Record) {
	isFirstRun := i.runID == 0
	if !isFirstRun && i.State != StateEnded {
		t.addEvent(i, r, Event{Kind: EventCrashed, Text: "it has restarted", IsFault: true})
	}
	i.runID = runID
	i.State = StateRunning
	i.Total = Counts{}
	i.EstablishedCalls = 0
	i.Starts++
	i.run = newRun()
}

// addEvent adds an event of an instance at the time of a record.
func (t *tracker) addEvent(i *trackedInstance, r *record.Record, e Event) {
	e.At = record.Unix(r.At)
	e.Instance = i.Name
	t.events.add(e)
}

// class returns the counts of a class. The counts of a class over the limit are not kept.
func (i *trackedInstance) class(name string) *Class {
	if c := i.run.classes[name]; c != nil {
		return c
	}
	c := &Class{Name: name}
	if len(i.run.classes) < maxClasses {
		i.run.classes[name] = c
	}
	return c
}

// server returns the state of a server. The state of a server over the limit is not kept.
func (i *trackedInstance) server(name string) *Server {
	if s := i.run.servers[name]; s != nil {
		return s
	}
	s := &Server{Name: name, RateLimit: math.Inf(1)}
	if len(i.run.servers) < maxServers {
		i.run.servers[name] = s
	}
	return s
}

// snapshot returns a copy of the state that later records do not change.
func (t *tracker) snapshot() *Snapshot {
	s := &Snapshot{At: record.Unix(t.latest), HasCalls: true, Events: t.events.latest(), Calls: t.calls.latest()}
	for _, name := range t.order {
		s.Instances = append(s.Instances, t.instances[name].snapshot())
	}
	return s
}

func (i *trackedInstance) snapshot() Instance {
	instance := i.Instance
	instance.Seen = record.Unix(i.latest)
	instance.OpenCalls = len(i.run.openCalls)
	instance.HasGap = i.gapAt > 0 && i.latest-i.gapAt < gapDisplayPeriod
	instance.Classes = sortedByName(i.run.classes)
	instance.Servers = sortedByName(i.run.servers)
	return instance
}
