//go:build review2

package main

import (
	"bytes"
	"fmt"
	"net"
	"sync/atomic"
	"time"
)

func init() { scenarios["leak"] = playLeak }

// playLeak: an answer is lost as its connection is reset under the request, and the next connection to that call server
// is reset while new. The other call server has no circuit. In the end the call must not stand at any server, and
// never twice at once.
func playLeak(s *stage) (bool, error) {
	const (
		talk     = 5 * time.Second  // until the caller hangs up
		patience = 45 * time.Second // after that; any release is due within 8 s
	)
	first, err := startCallServer(s, "s-0", 0)
	if err != nil {
		return false, err
	}
	second, err := startCallServer(s, "s-1", 0)
	if err != nil {
		return false, err
	}
	path, err := startProxy(first.address())
	if err != nil {
		return false, err
	}
	names, err := startNames(nil)
	if err != nil {
		return false, err
	}
	listen, err := freeAddress()
	if err != nil {
		return false, err
	}
	panels, err := freeAddress()
	if err != nil {
		return false, err
	}
	p := platform{name: "n0", listen: listen, names: names.address(), memoryMB: 192, sockets: 1024, pools: []int{0, 1}}
	dir, err := s.controllerDir("n0", fmt.Sprintf("[h248]\nlisten = %q\n"+
		"\n[[h248.server]]\nid = \"s-0\"\naddress = %q\npool = 0\n"+
		"\n[[h248.server]]\nid = \"s-1\"\naddress = %q\npool = 1\n", panels, path.address(), second.address()))
	if err != nil {
		return false, err
	}
	configPath, err := p.write(dir)
	if err != nil {
		return false, err
	}
	id := newID()
	resets := &resetsUnder{stage: s, path: path, id: []byte(id)}
	path.setHandler(resets.handle)
	if _, err := s.startController("n0", dir, configPath); err != nil {
		return false, err
	}
	c := newCallers(s)
	if err := c.waitReady(listen, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	cc, err := c.connect(listen)
	if err != nil {
		return false, err
	}
	for i := range 4 { // calls that go well
		other := newID()
		if err := cc.ask(other, classNames[0], fmt.Sprintf("562255501%02d", i), i%2, 3*time.Second); err != nil {
			return false, err
		}
		if !waitUntil(3*time.Second, func() bool { return c.stands(other) }) {
			return false, fmt.Errorf("a call without trouble does not stand")
		}
		if err := cc.release(other); err != nil {
			return false, err
		}
		time.Sleep(200 * time.Millisecond)
	}
	resets.isOn.Store(s.trouble)
	second.isFull.Store(true)
	if err := cc.ask(id, classNames[0], "56225550199", 0, 3*time.Second); err != nil {
		return false, err
	}
	waitUntil(4*time.Second, func() bool { return c.isAnswered(id) })
	s.say("to the caller the call stands: %v", c.stands(id))
	time.Sleep(talk)
	if c.stands(id) {
		if err := cc.release(id); err != nil {
			return false, err
		}
	}
	time.Sleep(patience)
	return judgeLeak(s, id, first, second), nil
}

func judgeLeak(s *stage, id string, servers ...*callServer) bool {
	held := true
	for _, server := range servers {
		var earlier []serverCall
		for _, call := range server.callsOf(id) {
			at := func(t time.Time) string {
				if t.IsZero() {
					return "never"
				}
				return fmt.Sprintf("at %.3f", t.Sub(s.start).Seconds())
			}
			s.say("%s: %s set up %s, released %s", server.name, call.termination, at(call.setUpAt), at(call.subtractedAt))
			for _, other := range earlier {
				if other.subtractedAt.IsZero() || other.subtractedAt.After(call.setUpAt) {
					s.say("%s was set up while %s stood: two attempts of one call at once", call.termination, other.termination)
					held = false
				}
			}
			if call.stands() {
				s.say("%s is left standing", call.termination)
				held = false
			}
			earlier = append(earlier, call)
		}
	}
	return held
}

// resetsUnder resets the connection that brings the answer to a set-up, before it passes, and the next connection
// when its first bytes come, which do not pass either.
type resetsUnder struct {
	stage *stage
	path  *proxy
	id    []byte // of the call
	isOn  atomic.Bool
	count atomic.Int32
}

func (r *resetsUnder) handle(number int, from net.Conn) bool {
	if r.isOn.Load() && r.count.CompareAndSwap(1, 2) {
		buffer := make([]byte, 1024)
		n, _ := from.Read(buffer)
		r.stage.say("connection %d is reset while new; not passed on: %q", number, buffer[:n])
		reset(from)
		return true
	}
	r.path.pass(from, func(data []byte) bool {
		if !r.isOn.Load() || !bytes.Contains(data, r.id) || !r.count.CompareAndSwap(0, 1) {
			return true
		}
		r.stage.say("connection %d is reset under the request; the answer is lost: %q", number, data)
		return false
	})
	return true
}
