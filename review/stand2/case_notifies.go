//go:build review2

package main

import (
	"fmt"
	"time"
)

func init() { scenarios["notifies"] = playNotifies }

// playNotifies: a call server that speaks H.248 ends calls at the rate of the busiest controller. Each caller must be
// told of the end of its call in time.
func playNotifies(s *stage) (bool, error) {
	const (
		busy       = 50 // calls a second of the busiest controller
		quiet      = 10 // 65 calls a second over 6 to 8 controllers
		offering   = 45 * time.Second
		length     = 7200 * time.Millisecond
		patience   = 9 * time.Second         // after the end of the last call
		allowed    = 1050 * time.Millisecond // from the release by the call server, where a release could be sent
		allowedMax = 8050 * time.Millisecond // from the end of the call, where none could be sent
	)
	server, err := startCallServer(s, "s-h248", length)
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
	p := platform{
		name: "n0", listen: listen, names: names.address(), memoryMB: 32, sockets: 256, pools: []int{0},
	}
	dir, err := s.controllerDir("n0", fmt.Sprintf(
		"[h248]\nlisten = %q\n\n[[h248.server]]\nid = \"s-h248\"\naddress = %q\npool = 0\n", panels, server.address()))
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
	time.Sleep(300 * time.Millisecond)
	var conns []*callerConn
	for range 10 {
		cc, err := c.connect(listen)
		if err != nil {
			return false, err
		}
		conns = append(conns, cc)
	}
	rate := busy
	if !s.trouble {
		rate = quiet
	}
	s.say("%d calls a second for %v", rate, offering)
	asked := 0
	tick := time.NewTicker(time.Second / time.Duration(rate))
	for begin := time.Now(); time.Since(begin) < offering; <-tick.C {
		asked++
		number := fmt.Sprintf("5622%07d", asked)
		if err := conns[asked%len(conns)].ask(newID(), classNames[asked%3], number, 0, 3*time.Second); err != nil {
			return false, err
		}
	}
	tick.Stop()
	time.Sleep(length + patience)
	return judgeNotifies(s, c, server, asked, allowed, allowedMax), nil
}

func judgeNotifies(s *stage, c *callers, server *callServer, asked int, allowed, allowedMax time.Duration) bool {
	server.mu.Lock()
	defer server.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	stood, ended, late, tooLate, never := 0, 0, 0, 0, 0
	var latest time.Duration
	for _, call := range server.calls {
		if _, ok := c.answered[call.id]; !ok {
			continue
		}
		stood++
		if call.endedAt.IsZero() {
			continue
		}
		ended++
		told, ok := c.released[call.id]
		took := told.Sub(call.endedAt)
		if !ok {
			never++
			took = now.Sub(call.endedAt)
		}
		latest = max(latest, took)
		if took > allowed {
			late++
		}
		if took > allowedMax {
			tooLate++
		}
	}
	s.say("%d set-ups, %d calls stood, %d ended by the call server", asked, stood, ended)
	s.say("told to the caller later than %v: %d; later than %v: %d; not told at all: %d; latest %v",
		allowed, late, allowedMax, tooLate, never, latest.Round(time.Millisecond))
	if stood < asked/2 {
		s.say("too few calls stood")
	}
	return tooLate == 0
}
