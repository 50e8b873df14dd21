package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["2"] = playCase2 }

// playCase2: panels that speak H.248, and a call controller that is killed outright and restarted. A panel that hangs
// up its own call must not end the call of another panel; a call that the controller ends must be released towards its
// panel within 1 s (and 50 ms).
func playCase2(s *stage) int {
	const line = "line/1" // every panel has one line and numbers it alike
	x := s.startExchange("x1", 0)
	list := []endpoint{{ID: "x1", Address: x.address(), Zone: "santiago", Pool: 0}}
	names := s.startNames("names", false, list)
	listen, gateways := freeAddress(), freeAddress()
	s.operatorFile(fmt.Sprintf("[h248]\nlisten = %q\n", gateways))
	config := &controllerConfig{Name: "n0", Listen: listen, Names: names.address(), MaxAttempts: 4, Members: list}
	controller := s.startController(config)
	early := []*gateway{s.newGateway("<panel-a1>", gateways, 100), s.newGateway("<panel-a2>", gateways, 200)}
	contexts := map[*gateway]string{}
	for _, g := range early {
		g.connect()
		contexts[g] = g.call(line)
	}
	time.Sleep(time.Second)
	if s.trouble {
		s.kill(controller)
		controller = s.startController(config)
		for _, g := range early { // they notice the end of their connection and come back
			g.connect()
		}
	}
	late := []*gateway{s.newGateway("<panel-b1>", gateways, 300), s.newGateway("<panel-b2>", gateways, 400)}
	for _, g := range late {
		g.connect()
		contexts[g] = g.call(line)
	}
	for g, context := range contexts {
		if context == "" {
			check(fmt.Errorf("%s has no call", g.mid))
		}
	}
	time.Sleep(2 * time.Second)
	for _, g := range early {
		g.hangUp(contexts[g], line)
	}
	time.Sleep(3 * time.Second)
	return judgeCase2(s, x, late, contexts)
}

func judgeCase2(s *stage, x *exchange, late []*gateway, contexts map[*gateway]string) int {
	broken := 0
	for _, g := range late { // none of these has hung up, and the exchange has ended no call
		for _, k := range x.received() {
			if !strings.Contains(k.body, "call of "+g.mid) || k.releasedAt.IsZero() {
				continue
			}
			g.mu.Lock()
			told, isTold := g.notified[contexts[g]]
			g.mu.Unlock()
			if isTold && told.Sub(k.releasedAt) <= 1050*time.Millisecond {
				s.logf("judge", "the call of %s was ended by the call controller; the panel was told in time", g.mid)
				continue
			}
			broken++
			s.logf("judge", "the call of %s (%s) was ended by the call controller, nobody had asked for it, "+
				"and the panel was not told within 1.05 s", g.mid, k.id)
		}
	}
	s.logf("judge", "%d of %d calls of panels that did not hang up were ended in silence", broken, len(late))
	if broken > 0 {
		return ruleBroken
	}
	return ruleHeld
}
