package agent

import (
	"context"
	"strconv"
	"sync"

	"olivedale/internal/codec/h248"
)

// An instance is a desired process, or one that drains. The goroutine of its supervisor owns the process.
type instance struct {
	name   string
	value  []byte // the specification as etcd stores it
	spec   Spec
	drain  context.Context // done when the instance is to drain
	cancel context.CancelFunc
	ended  chan struct{} // closed when the supervisor has ended

	mu     sync.Mutex
	status status
}

// A status is what the agent reports of an instance.
type status struct {
	state  State
	pid    int // 0: it has no process
	starts int // of its process
}

func newInstance(name string, value []byte) *instance {
	drain, cancel := context.WithCancel(context.Background())
	return &instance{name: name, value: value, drain: drain, cancel: cancel, ended: make(chan struct{})}
}

// setState is the only place where the state of an instance changes. Only the instance's supervisor calls it, or the
// agent before it starts one.
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

func (i *instance) isDrainRequested() bool { return i.drain.Err() != nil }

// node returns the node that reports the instance in the admin protocol.
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
