package server

import (
	"fmt"
	"net"
	"reflect"
	"time"

	"github.com/panjf2000/gnet/v2"

	"olivedale/internal/config"
)

// pollInterval is the interval between queries to the discovery service. A query also makes up for a lost earlier one.
const pollInterval = 150 * time.Millisecond

// Run serves until the shutdown that Stop begins is complete.
func (s *Server) Run() error {
	err := s.serve()
	if rejected := s.frontends.host.Counters.LateSetups; rejected > 0 {
		s.loop.Log.Infow("late_setups", "rejected", rejected)
	}
	s.overload.close()
	s.numbering.close()
	s.recorder.close() // the loop has ended, so this goroutine may access its state
	if err != nil {
		return fmt.Errorf("serving %s: %w", s.cfg.Listen, err)
	}
	return s.lifecycle.startError
}

// serve runs the event loop and accepts connections until the shutdown is complete.
func (s *Server) serve() error {
	if err := s.listeners.open(); err != nil {
		return err
	}
	engine, err := gnet.NewClient(s, gnet.WithNumEventLoop(1), gnet.WithLogger(gnetLog{s.loop.Log}))
	if err != nil {
		s.listeners.closeBeforeAccept()
		return err
	}
	if err := engine.Start(); err != nil {
		s.listeners.closeBeforeAccept()
		return err
	}
	s.listeners.accept(engine)
	go s.connectToSelf()
	<-s.lifecycle.ended
	s.listeners.close()
	s.listeners.wait()
	return engine.Stop()
}

// Started returns a channel that is closed once the server accepts calls.
func (s *Server) Started() <-chan struct{} { return s.lifecycle.started }

// connectToSelf opens a first connection to this server. The server needs it to get the event loop, which gnet exposes
// only through a connection.
func (s *Server) connectToSelf() {
	c, err := net.DialTimeout("tcp", s.listeners.callerAddress(), s.cfg.DialTimeout)
	if err != nil {
		s.lifecycle.startError = fmt.Errorf("starting: %w", err)
		close(s.lifecycle.ended)
		return
	}
	<-s.lifecycle.started
	_ = c.Close()
}

// start starts everything that depends on the event loop. It runs when the first connection is opened.
func (s *Server) start(engine gnet.EventLoop) {
	s.loop.Attach(engine)
	s.loop.StartTimer(s.tick)
	s.discovery.open()
	s.overload.open()
	s.backends.Dial()
	s.logStart()
	close(s.lifecycle.started)
}

func (s *Server) logStart() {
	log, settings := s.loop.Log, s.cfg.Settings
	log.Infow("settings", "group", settings.ControllerCount, "resend", settings.ResendInterval,
		"release", settings.RetryGuard, "cold", settings.SlowStartPeriod, "attempts", settings.MaxAttempts,
		"connect", s.cfg.DialTimeout)
	for _, c := range settings.Classes {
		log.Infow("settings", "class", c.Name, "aim", c.LatencyObjective, "deadline", c.Deadline, "credit", c.Weight)
	}
	log.Infow("started", "name", s.cfg.Name, "listen", s.cfg.Listen, "exchanges", s.backends.Len())
}

// setTimer sets the timer to the next deadline. It runs after each iteration of the loop.
func (s *Server) setTimer() {
	if s.lifecycle.isEnding() {
		s.loop.SetTimer(s.lifecycle.checkAt)
		return
	}
	next := min(s.calls.NextDeadline(), s.pollAt, s.overload.nextDeadline())
	if s.lifecycle.state != stateRunning {
		next = min(next, s.lifecycle.checkAt)
	}
	s.loop.SetTimer(next)
}

// tick processes all expired deadlines. It is the timer callback of the loop.
func (s *Server) tick() {
	s.loop.RunIteration(func() {
		now := s.loop.Now()
		if s.lifecycle.isEnding() {
			s.checkStopping(now)
			return
		}
		s.calls.Tick()
		s.overload.tick(now)
		s.backends.CheckResponsiveness(now)
		if now >= s.pollAt {
			s.pollAt = now + pollInterval
			s.poll(now)
		}
		if s.lifecycle.isCheckDue(now) {
			s.checkDraining(now)
		}
	})
}

// poll runs the periodic work, once per pollInterval.
func (s *Server) poll(now time.Duration) {
	s.discovery.poll(now)
	s.recorder.tick(now)
	s.numbering.tick(now)
	s.backends.Tick(now)
	for _, f := range s.frontends.all() {
		f.CloseOverdue(now)
	}
}

// Reload applies a configuration that was read again. It may be called from any goroutine once the server has started.
// Connections, calls and the list of endpoints are kept. Only the address of the discovery service can change at
// runtime. A configuration with which New would fail is not applied, and its error is returned.
func (s *Server) Reload(cfg *config.Config) error {
	if err := checkEndpoints(cfg, s.h248); err != nil {
		return err
	}
	s.loop.ExecuteIteration(func() {
		s.loop.Log.Infow("reloaded", "names", cfg.DiscoveryAddress)
		if needsRestart(s.cfg, cfg) {
			s.loop.Log.Infow("reload_partial", "err", "changes to name, listen, limits and settings need a restart")
		}
		if cfg.DiscoveryAddress != s.discovery.address {
			s.discovery.setAddress(cfg.DiscoveryAddress)
			s.recorder.recordConfig("names", cfg.DiscoveryAddress)
		}
	})
	return nil
}

// needsRestart reports whether two configurations differ in values that only a restart can change.
func needsRestart(current, reloaded *config.Config) bool {
	return reloaded.Name != current.Name || reloaded.Listen != current.Listen ||
		reloaded.MemoryMB != current.MemoryMB || reloaded.Sockets != current.Sockets ||
		!reflect.DeepEqual(reloaded.Settings, current.Settings)
}
