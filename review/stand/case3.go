package main

import (
	"path/filepath"
	"syscall"
	"time"
)

func init() { cases["3"] = playCase3 }

// playCase3: the platform's file is replaced by a broken one (attempts are not a positive number) and SIGHUP is sent.
// Nothing may be taken from that file. Later an exchange drains; nothing new may reach it more than 2 s after the
// controller was told.
func playCase3(s *stage) int {
	const (
		drainTime = 10 * time.Second // the longest that the site file gives
		told      = 7 * time.Second  // the name service's news counts as told then at the latest, arrived or not
		grace     = 2050 * time.Millisecond
	)
	x1, x2 := s.startExchange("x1", 5*time.Second), s.startExchange("x2", 5*time.Second)
	x1.quiet, x2.quiet = true, true
	list := []endpoint{
		{ID: "x1", Address: x1.address(), Zone: "santiago", Pool: 0},
		{ID: "x2", Address: x2.address(), Zone: "temuco", Pool: 1},
	}
	names := s.startNames("names", false, list)
	elsewhere := s.startNames("elsewhere", true, nil) // a loopback address that does not answer
	config := &controllerConfig{Name: "n0", Listen: freeAddress(), Names: names.address(), MaxAttempts: 4,
		Members: list}
	controller := s.startController(config)
	clients := s.newCallers(config.Listen)
	clients.quiet = true
	stop := make(chan struct{})
	go placeCalls(clients, stop)
	time.Sleep(3 * time.Second)
	if s.trouble {
		broken := *config
		broken.MaxAttempts = 0
		broken.Names = elsewhere.address()
		broken.write(filepath.Join(s.dir, "config.json"))
		check(controller.cmd.Process.Signal(syscall.SIGHUP))
		s.logf("platform", "file replaced (maxAttempts 0, names %s), SIGHUP sent", broken.Names)
	}
	time.Sleep(5 * time.Second)
	names.takeQueries()
	list[0].Draining = true
	names.set([]endpoint{list[0], list[1]})
	drainedAt := time.Now()
	s.logf("names", "event: x1 drains")
	time.Sleep(drainTime)
	x1.stop()
	names.set(list[1:])
	s.logf("names", "event: x1 is gone; %d queries while it drained", names.takeQueries())
	time.Sleep(time.Second)
	close(stop)
	time.Sleep(500 * time.Millisecond)
	return judgeCase3(s, x1, x2, clients.snapshot(), drainedAt, told+grace)
}

// placeCalls sends 30 set-ups a second, to both pools in turn.
func placeCalls(c *callers, stop chan struct{}) {
	ticker := time.NewTicker(time.Second / 30)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
			c.setUp("resident-call", i%2, 3*time.Second)
		}
	}
}

func judgeCase3(s *stage, x1, x2 *exchange, calls []call, drainedAt time.Time, bound time.Duration) int {
	late, lateCut, soon := 0, 0, 0
	for _, k := range x1.received() {
		after := k.receivedAt.Sub(drainedAt)
		if after > 3550*time.Millisecond {
			soon++
		}
		if after > bound {
			late++
			if k.cut {
				lateCut++
			}
			s.logf("judge", "x1 got set-up %s %.2f s after it began to drain", k.id, after.Seconds())
		}
	}
	served := 0
	for _, k := range calls {
		if k.served {
			served++
		}
	}
	s.logf("judge", "%d set-ups, %d stood; x1 got %d in all, x2 %d",
		len(calls), served, len(x1.received()), len(x2.received()))
	s.logf("judge", "x1 got %d more than %.2f s after it began to drain; %d of these stood and were cut when it "+
		"stopped (%d more than 3.55 s after, which is 1.5 s to be told, 2 s and 50 ms)",
		late, bound.Seconds(), lateCut, soon)
	if served == 0 {
		return notRun
	}
	if late > 0 {
		return ruleBroken
	}
	return ruleHeld
}
