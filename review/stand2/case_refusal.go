//go:build review2

package main

import (
	"fmt"
	"net"
	"time"
)

func init() { scenarios["refusal"] = playRefusal }

// playRefusal: calls stand at an exchange that resets an idle connection and holds as many connections as it accepts,
// so that the next one is refused for a while. The calls stand all the time. A call of which its caller is told that it is
// over must not be left standing at the exchange.
func playRefusal(s *stage) (bool, error) {
	const (
		calls    = 30
		full     = 3 * time.Second
		patience = 12 * time.Second // from when the exchange accepts connections again
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
	listen, err := freeAddress()
	if err != nil {
		return false, err
	}
	p := platform{
		name: "n0", listen: listen, names: names.address(), memoryMB: 192, sockets: 1024, pools: []int{0},
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
	if _, err := s.startController("n0", dir, configPath); err != nil {
		return false, err
	}
	c := newCallers(s)
	if err := c.waitReady(listen, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	cc, err := c.connect(listen)
	if err != nil {
		return false, err
	}
	var standing []string
	for i := range calls {
		id := newID()
		if err := cc.ask(id, classNames[i%3], fmt.Sprintf("56225550%03d", i), 0, 3*time.Second); err != nil {
			return false, err
		}
		if waitUntil(3*time.Second, func() bool { return c.isAnswered(id) }) && c.stands(id) {
			standing = append(standing, id)
		}
		time.Sleep(50 * time.Millisecond)
	}
	s.say("%d of %d calls stand", len(standing), calls)
	if len(standing) < calls*9/10 {
		return false, fmt.Errorf("only %d calls stand", len(standing))
	}
	time.Sleep(time.Second)
	if s.trouble {
		s.say("the exchange resets the idle connection of the controller, and is full: it accepts no other one")
		if err := x.beFull(full); err != nil {
			return false, err
		}
		s.say("the exchange accepts connections again")
	}
	time.Sleep(patience)
	told, apart := 0, 0
	for _, id := range standing {
		c.mu.Lock()
		_, isTold := c.released[id]
		c.mu.Unlock()
		if isTold {
			told++
			if x.stillStanding(id) {
				apart++
			}
		}
	}
	s.say("callers told that their call is over, though the exchange did not end it: %d; of these still standing there: %d",
		told, apart)
	s.showLogs()
	return apart == 0, nil
}

// beFull makes the exchange hold as many connections as it accepts: one of another controller takes the place of those
// that are idle, which are reset. Until the other one leaves, after d, connections are refused. The calls that stand are
// not touched.
func (x *exchange) beFull(d time.Duration) error {
	address := x.listener.Addr().String()
	other, err := net.Dial("tcp4", address)
	if err != nil {
		return err
	}
	time.Sleep(100 * time.Millisecond) // it is accepted
	_ = x.listener.Close()
	x.mu.Lock()
	for _, conn := range x.talking {
		reset(conn)
	}
	x.talking = nil
	x.mu.Unlock()
	time.Sleep(d)
	_ = other.Close()
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	x.listener = listener
	go x.accept(listener)
	return nil
}
