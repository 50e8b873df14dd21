//go:build review2

package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { scenarios["releases"] = playReleases }

// playReleases: calls stand; the controller is killed and comes back some seconds later; the callers who have hung up
// meanwhile send their releases. Every release that the controller has confirmed must reach the exchange of its call.
func playReleases(s *stage) (bool, error) {
	const (
		callsASecond = 50
		down         = 7 * time.Second // between the kill and the start
		calls        = 350             // what 50 calls a second end in 7 s
		connections  = 10
		patience     = 12 * time.Second
	)
	var exchanges []*exchange
	var members []member
	for pool := range 2 {
		x, err := startExchange(s, fmt.Sprintf("s-%d", pool))
		if err != nil {
			return false, err
		}
		exchanges = append(exchanges, x)
		members = append(members, x.member(pool))
	}
	names, err := startNames(members)
	if err != nil {
		return false, err
	}
	listen, err := freeAddress()
	if err != nil {
		return false, err
	}
	p := platform{
		name: "n0", listen: listen, names: names.address(), memoryMB: 192, sockets: 1024, pools: []int{0, 1},
		members: members,
	}
	dir, err := s.controllerDir("n0", "")
	if err != nil {
		return false, err
	}
	configPath, err := p.write(dir)
	if err != nil {
		return false, err
	}
	controller, err := s.startController("n0", dir, configPath)
	if err != nil {
		return false, err
	}
	c := newCallers(s)
	if err := c.waitReady(listen, 10*time.Second); err != nil {
		return false, err
	}
	open := func() (all []*callerConn, err error) {
		for range connections {
			cc, err := c.connect(listen)
			if err != nil {
				return nil, err
			}
			all = append(all, cc)
		}
		return all, nil
	}
	conns, err := open()
	if err != nil {
		return false, err
	}
	var ids []string
	for i := range calls {
		id := newID()
		ids = append(ids, id)
		if err := conns[i%connections].ask(id, classNames[i%3], fmt.Sprintf("56225550%03d", i), i%2, 3*time.Second); err != nil {
			return false, err
		}
		time.Sleep(time.Second / callsASecond)
	}
	time.Sleep(time.Second)
	var standing []string
	for _, id := range ids {
		if c.stands(id) {
			standing = append(standing, id)
		}
	}
	s.say("%d of %d calls stand", len(standing), calls)
	if len(standing) < calls*9/10 {
		return false, fmt.Errorf("only %d calls stand", len(standing))
	}
	if s.trouble {
		if err := s.signal(controller, syscall.SIGKILL); err != nil {
			return false, err
		}
		time.Sleep(down)
		if _, err := s.startController("n0", dir, configPath); err != nil {
			return false, err
		}
		if err := c.waitReady(listen, 10*time.Second); err != nil {
			return false, err
		}
		if conns, err = open(); err != nil {
			return false, err
		}
		time.Sleep(300 * time.Millisecond) // until the exchanges are connected
	}
	s.say("the callers release %d calls", len(standing))
	for i, id := range standing {
		if err := conns[i%connections].release(id); err != nil {
			return false, err
		}
		time.Sleep(time.Millisecond)
	}
	left := func() (confirmed, kept int) {
		for _, id := range standing {
			c.mu.Lock()
			_, isConfirmed := c.confirmed[id]
			c.mu.Unlock()
			if !isConfirmed {
				continue
			}
			confirmed++
			for _, x := range exchanges {
				if x.stillStanding(id) {
					kept++
				}
			}
		}
		return confirmed, kept
	}
	waitUntil(patience, func() bool {
		confirmed, kept := left()
		return confirmed == len(standing) && kept == 0
	})
	confirmed, kept := left()
	s.say("released %d, confirmed to the caller %d, of these still standing at an exchange %v later: %d",
		len(standing), confirmed, patience, kept)
	return kept == 0, nil
}
