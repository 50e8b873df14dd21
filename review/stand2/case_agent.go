//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"syscall"
	"time"

	"olivedale/internal/sim/fakeetcd"
)

func init() { scenarios["agent"] = playAgent }

const (
	instancePrefix = "/olivedale/instances/"
	instanceName   = "east"
)

// playAgent: an agent runs the instance that etcd lists, and is killed and started again. Then the operator moves the
// instance to another address and, at last, removes it. An address that the instance has left must take no calls, and
// two processes must not be the same instance.
func playAgent(s *stage) (bool, error) {
	const (
		settle   = 35 * time.Second // an agent drains a process within 15 s and starts one again after at most 10 s
		pause    = 3 * time.Second  // between the end of the agent and its next start
		callTime = 3 * time.Second
	)
	x, err := startExchange(s, "s-0")
	if err != nil {
		return false, err
	}
	members := []member{x.member(0)}
	names, err := startNames(members)
	if err != nil {
		return false, err
	}
	store, err := fakeetcd.Start("127.0.0.1:0")
	if err != nil {
		return false, err
	}
	first, err := freeAddress()
	if err != nil {
		return false, err
	}
	second, err := freeAddress()
	if err != nil {
		return false, err
	}
	put := func(listen string) error {
		p := platform{
			name: instanceName, listen: listen, names: names.address(), memoryMB: 192, sockets: 1024, pools: []int{0},
			members: members,
		}
		value, err := json.Marshal(object{"config": p.file()})
		if err == nil {
			store.Set(instancePrefix+instanceName, value)
		}
		return err
	}
	startAgent := func() (*process, error) {
		control, err := freeAddress()
		if err != nil {
			return nil, err
		}
		return s.startProcess("agent", s.root, nil, "bin/oliveagent", "--etcd", store.Addr(),
			"--dir", filepath.Join(s.dir, "instances"), "--program", "bin/olivedale", "--listen", control)
	}
	if err := put(first); err != nil {
		return false, err
	}
	agent, err := startAgent()
	if err != nil {
		return false, err
	}
	c := newCallers(s)
	if err := c.waitReady(first, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(pause)
	if s.trouble {
		if err := s.signal(agent, syscall.SIGKILL); err != nil {
			return false, err
		}
		time.Sleep(pause)
		if _, err := startAgent(); err != nil {
			return false, err
		}
		time.Sleep(pause)
	}
	s.say("the operator moves the instance from %s to %s", first, second)
	if err := put(second); err != nil {
		return false, err
	}
	time.Sleep(settle)
	held := true
	judge := func(address string, mayServe bool) {
		id, stood := c.tryCall(address, "56225550100", 0, callTime)
		s.say("call %s by %s: stands: %v, set-ups of it at the exchange: %d, wanted there: %v", id, address, stood,
			x.setupsOf(id), mayServe)
		if stood && !mayServe {
			held = false
		}
	}
	judge(first, false)
	judge(second, true)
	s.say("the operator removes the instance")
	store.Set(instancePrefix+instanceName, nil)
	time.Sleep(settle)
	judge(first, false)
	judge(second, false)
	s.showLogs()
	if !held {
		s.say("%s takes calls as an instance that is no longer there", fmt.Sprintf("a process of %s", instanceName))
	}
	return held, nil
}
