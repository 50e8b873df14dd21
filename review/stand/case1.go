package main

import (
	"fmt"
	"time"
)

func init() { cases["1"] = playCase1 }

// playCase1: a call server that speaks H.248, and a call controller that is killed outright and restarted. Every call
// that is answered as standing must have been set up at the server, and with the server's description for it.
func playCase1(s *stage) int {
	server := s.startCallServer()
	names := s.startNames("names", false, nil)
	listen := freeAddress()
	s.operatorFile(fmt.Sprintf("[h248]\nlisten = %q\n[[h248.server]]\nid = \"s-h248-1\"\naddress = %q\npool = 0\n",
		freeAddress(), server.address()))
	config := &controllerConfig{Name: "n0", Listen: listen, Names: names.address(), MaxAttempts: 4}
	controller := s.startController(config)
	clients := s.newCallers(listen)
	place := func(count int) {
		for range count {
			id := clients.setUp("resident-call", 0, 3*time.Second)
			time.AfterFunc(8*time.Second, func() { clients.hangUp(id) })
			time.Sleep(400 * time.Millisecond)
		}
	}
	place(5)
	if s.trouble {
		s.kill(controller)
		controller = s.startController(config)
		awaitClose(clients)
	}
	place(5)
	time.Sleep(9500 * time.Millisecond)
	return judgeCase1(s, server, clients.snapshot())
}

// awaitClose waits until the callers have noticed that their connection has ended.
func awaitClose(c *callers) {
	for range 100 {
		c.mu.Lock()
		isClosed := c.conn == nil
		c.mu.Unlock()
		if isClosed {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func judgeCase1(s *stage, server *callServer, calls []call) int {
	server.mu.Lock()
	defer server.mu.Unlock()
	served, broken := 0, 0
	for _, k := range calls {
		if !k.served {
			continue
		}
		served++
		made, ran := server.made[k.id]
		switch {
		case !ran:
			broken++
			s.logf("judge", "call %s was answered 'stands' with %q, but no server ever ran it", k.id, k.blob)
		case made != k.blob:
			broken++
			s.logf("judge", "call %s was answered with %q, the server's description is %q", k.id, k.blob, made)
		}
	}
	s.logf("judge", "%d calls, %d answered as standing, %d of them with what no server made for them; "+
		"%d transactions taken for repeats; %d calls left standing at the server",
		len(calls), served, broken, server.repeats, len(server.standing))
	if served == 0 {
		return notRun
	}
	if broken > 0 {
		return ruleBroken
	}
	return ruleHeld
}
