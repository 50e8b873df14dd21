// Package agent runs the instances of a machine whose specifications are stored in etcd.
//
// It watches a prefix in etcd, starts, supervises and drains olivedale processes, exchanges clock readings with them,
// and answers admin requests from olivectl. It handles no calls.
package agent

import (
	"bytes"
	"sync"

	"go.uber.org/zap"
)

// An Agent supervises instances. Its methods may be called from several goroutines.
type Agent struct {
	program  string
	dir      string
	log      *zap.SugaredLogger
	peerName string // name under which instances record clock exchanges

	mu        sync.Mutex
	instances map[string]*instance
	isClosed  bool

	supervisors sync.WaitGroup
}

// New returns an agent that runs program, an absolute path, for each instance and stores the instances' files below
// dir.
func New(program, dir string, log *zap.Logger) *Agent {
	return &Agent{
		program:   program,
		dir:       dir,
		log:       log.Sugar(),
		peerName:  machineName(),
		instances: make(map[string]*instance),
	}
}

// ReplaceAll implements DesiredState.
func (a *Agent) ReplaceAll(values map[string][]byte) {
	for _, name := range a.undesiredNames(values) {
		a.Apply(name, nil)
	}
	for name, value := range values {
		a.Apply(name, value)
	}
}

// undesiredNames returns the names of the instances that have no entry in values.
func (a *Agent) undesiredNames(values map[string][]byte) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var names []string
	for name := range a.instances {
		if _, isDesired := values[name]; !isDesired {
			names = append(names, name)
		}
	}
	return names
}

// Apply implements DesiredState. If a specification has changed, the old process is drained before the new one starts,
// because both listen on the same addresses. An invalid specification leaves an instance that has a process as it is.
func (a *Agent) Apply(name string, value []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isClosed {
		return
	}
	old := a.instances[name]
	isUnchanged := old != nil && value != nil && bytes.Equal(old.value, value)
	if isUnchanged {
		return
	}
	var next *instance
	if value != nil {
		next = a.parse(name, value)
	}
	if old != nil {
		keepsProcess := next != nil && next.isInvalid() && !old.isInvalid() && !old.isDrainRequested()
		if keepsProcess {
			return
		}
		a.requestDrain(old, "specification changed or removed")
		delete(a.instances, name)
	}
	if next != nil {
		a.add(next, old)
	}
}

// parse returns an instance with the given specification. If the specification is invalid, the instance has the state
// Invalid.
func (a *Agent) parse(name string, value []byte) *instance {
	i := newInstance(name, value)
	var err error
	if i.spec, err = parseSpec(name, value); err != nil {
		a.log.Warnw("bad_spec", "name", name, "err", err)
		i.setState(Invalid, 0)
	}
	return i
}

// add adds an instance and starts its supervisor, which first waits until the previous instance of that name, if any,
// has ended. An instance with the state Invalid gets no supervisor. The caller holds a.mu.
func (a *Agent) add(i, previous *instance) {
	a.instances[i.name] = i
	if i.isInvalid() {
		close(i.ended)
		return
	}
	a.supervisors.Go(func() {
		defer close(i.ended)
		if previous != nil {
			<-previous.ended
		}
		a.supervise(i)
	})
}

// requestDrain asks the supervisor of an instance to drain it. The caller holds a.mu.
func (a *Agent) requestDrain(i *instance, reason string) {
	if i.isDrainRequested() {
		return
	}
	a.log.Infow("drain", "name", i.name, "why", reason)
	i.cancel()
}

// Close drains all instances and waits until they have ended.
func (a *Agent) Close() {
	a.mu.Lock()
	a.isClosed = true
	for _, i := range a.instances {
		if !i.isInvalid() {
			a.requestDrain(i, "agent shutdown")
		}
	}
	a.mu.Unlock()
	a.supervisors.Wait()
}
