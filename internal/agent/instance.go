package agent

import (
	"context"
	"strconv"
	"sync"

	"olivedale/internal/codec/h248"
)

// An instance is a process that etcd lists as desired, or one that drains. The goroutine of its supervisor owns the
// process.
type instance struct {
	name   string
	value  []byte // the specification as stored in etcd
	spec   Spec
	drain  context.Context // done after a drain was requested
	cancel context.CancelFunc
	ended  chan struct{} // closed when the supervisor has ended

	mu     sync.Mutex
	status status
}

// A status is the part of an instance's state that the agent reports.
type status struct {
	state  State
	pid    int // 0: no process is running
	starts int // how often the process was started
}

func newInstance(name string, value []byte) *instance {
	drain, cancel := context.WithCancel(context.Background())
	return &instance{name: name, value: value, drain: drain, cancel: cancel, ended: make(chan struct{})}
}

// setState changes the state of an instance. No other function does. It is called only by the instance's supervisor, or
// by the agent if the instance has no supervisor.
func (i *instance) setState(state State, pid int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.status.state = state
	i.status.pid = pid
	if state == Running {
		i.status.starts++
	}
}

func (i *instance) currentStatus() status {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.status
}

func (i *instance) isInvalid() bool { return i.currentStatus().state == Invalid }

func (i *instance) isDrainRequested() bool { return i.drain.Err() != nil }

// node returns the H.248 node that reports the instance in the admin protocol.
func (i *instance) node() *h248.Node {
	status := i.currentStatus()
	n := &h248.Node{Name: "oa/instance", Children: []*h248.Node{
		{Name: "name", Value: i.name, Quoted: true},
		{Name: "state", Value: status.state.String()},
		{Name: "pid", Value: strconv.Itoa(status.pid)},
		{Name: "starts", Value: strconv.Itoa(status.starts)},
	}}
	if addr := i.spec.adminAddr(); addr != "" {
		n.Children = append(n.Children, &h248.Node{Name: "admin", Value: addr, Quoted: true})
	}
	return n
}
