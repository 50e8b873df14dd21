// Package server is the running call controller: it wires the frontends, the backends, the discovery service and the
// optional parts to the event loop, and owns the life cycle from the start to the orderly shutdown. One goroutine, the
// event loop, owns everything here, and it never blocks. The package decides nothing about calls.
package server

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"

	"olivedale/internal/admission"
	"olivedale/internal/backend"
	"olivedale/internal/call"
	"olivedale/internal/config"
	"olivedale/internal/discovery"
	"olivedale/internal/eventloop"
	"olivedale/internal/frontend"
	"olivedale/internal/frontend/gateway"
	"olivedale/internal/frontend/jsonclient"
)

// reservedSockets are descriptors that are neither callers' nor exchanges'.
const reservedSockets = 40

// maxProbesShift bounds the probes of exchanges, as a shift of the descriptors: those that reservedSockets, callers and
// exchanges leave are more.
const maxProbesShift = 3

// Bounds by the memory of the process, as shifts of its megabytes.
const (
	maxOpenCallsShift        = 6
	maxDescriptionBytesShift = 17
	maxCompletedIDsShift     = 7
	unreadBytesShift         = 17 // an eighth of the memory, for all callers that do not read
)

// A Server is a running call controller.
type Server struct {
	gnet.BuiltinEventEngine

	cfg       *config.Config
	h248      *config.H248 // nil: off
	loop      *eventloop.Loop
	random    *rand.Rand
	calls     *call.Manager
	backends  *backend.Set
	frontends frontends
	resolver  *discovery.Resolver
	discovery *discoveryClient
	listeners *listeners
	lifecycle lifecycle
	malformed malformedInput
	pollAt    time.Duration // when to poll the discovery service next

	recorder  *recorder        // nil: off
	metrics   *metrics         // nil: nobody may ask
	numbering *numberRouter    // nil: off
	overload  *overloadControl // nil: off
}

// frontends are the frontends that are on.
type frontends struct {
	host    *frontend.Host // what they share
	json    *jsonclient.Frontend
	gateway *gateway.Frontend // nil: off
}

// all returns the frontends that are on.
func (f *frontends) all() []frontend.Frontend {
	if f.gateway == nil {
		return []frontend.Frontend{f.json}
	}
	return []frontend.Frontend{f.json, f.gateway}
}

// Options are what an operator chooses. The zero value is the call controller alone.
type Options struct {
	H248      *config.H248            // nil: its frontend is off
	Records   *config.Records         // nil: nothing is recorded
	Numbering *config.Numbering       // nil: calls go by their preferred pool
	Overload  *config.OverloadControl // nil: the controller decides alone
	Log       *zap.Logger             // nil: nothing is logged
	Program   string                  // version, for the records
	Clock     func() time.Time        // the system's; nil: time.Now

	decider call.Decider   // replaces the admission control in tests; nil: the admission control
	dial    backend.Dialer // replaces the dialer in tests; nil: backend.DialTCP
}

// withDefaults returns the options with the log and the clock set.
func (o Options) withDefaults() Options {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	return o
}

// New makes a server from its configuration. It opens the records and reads the table of numbers; Run does the rest.
func New(cfg *config.Config, o Options) (*Server, error) {
	o = o.withDefaults()
	s := &Server{
		cfg:       cfg,
		h248:      o.H248,
		loop:      eventloop.New(o.Log, o.Clock),
		random:    rand.New(rand.NewPCG(cfg.Seed, 1)),
		listeners: newListeners(cfg.Listen, o.H248),
		lifecycle: newLifecycle(),
	}
	s.loop.AfterIteration = s.setTimer
	s.backends = backend.NewSet(backend.Options{
		Loop:            s.loop,
		Name:            cfg.Name,
		MemoryMB:        cfg.MemoryMB,
		DialTimeout:     cfg.DialTimeout,
		MaxProbes:       cfg.Sockets >> maxProbesShift,
		Dial:            o.dial,
		ReportMalformed: s.reportMalformed,
	})
	engine, err := s.newAdmission()
	if err != nil {
		return nil, err
	}
	s.calls = call.NewManager(decider(o, engine), s.backends, s.loop.Now, call.Limits{
		OpenCalls:        cfg.MemoryMB << maxOpenCallsShift,
		DescriptionBytes: cfg.MemoryMB << maxDescriptionBytesShift,
		CompletedIDs:     cfg.MemoryMB << maxCompletedIDsShift,
	})
	if err := s.addOptionalParts(o, engine); err != nil {
		return nil, err
	}
	s.addFrontends()
	if err := s.addBackends(); err != nil {
		return nil, err
	}
	return s, nil
}

// newAdmission returns the admission control, whose messages are logged and recorded.
func (s *Server) newAdmission() (*admission.Engine, error) {
	return admission.NewEngine(s.loop.Now(), s.cfg.Settings, s.cfg.Seed, func(line string) {
		s.loop.Log.Infow("module", "text", line)
		s.recorder.recordNote(line)
	})
}

// decider returns what decides on calls: the admission control, unless a test replaces it.
func decider(o Options, engine *admission.Engine) call.Decider {
	if o.decider != nil {
		return o.decider
	}
	return engine
}

// addOptionalParts adds what the operator's file asks for.
func (s *Server) addOptionalParts(o Options, engine *admission.Engine) error {
	if err := s.addObservers(o, engine); err != nil {
		return err
	}
	if o.Numbering != nil {
		router, err := newNumberRouter(s, o.Numbering)
		if err != nil {
			return err
		}
		s.numbering = router
		s.calls.SetRouter(router)
	}
	if o.Overload != nil {
		control, err := newOverloadControl(s, o.Overload, engine)
		if err != nil {
			return err
		}
		s.overload = control
	}
	return nil
}

// addObservers adds the observers of calls: the recorder, and the metrics where there is an admin address.
func (s *Server) addObservers(o Options, engine *admission.Engine) error {
	var observer call.Observer
	if o.Records != nil {
		r, err := newRecorder(s, o.Records, o.Program)
		if err != nil {
			return err
		}
		s.recorder = r
		observer = r
	}
	if o.H248 != nil && o.H248.Admin != "" {
		s.metrics = newMetrics(s, observer)
		observer = s.metrics
	}
	if observer == nil {
		return nil
	}
	s.calls.SetObserver(observer)
	engine.OnRateLimitChange = func(c admission.RateLimitChanged) {
		s.recorder.rateLimitChanged(c)
		s.metrics.rateLimitChanged(c)
	}
	return nil
}

// addFrontends adds the frontends, which share the budget of sockets.
func (s *Server) addFrontends() {
	host := &frontend.Host{
		Loop:            s.loop,
		Calls:           s.calls,
		Config:          s.cfg,
		Random:          s.random,
		ReportMalformed: s.reportMalformed,
		IsShuttingDown:  s.isShuttingDown,
		IsDisconnected:  s.backends.IsClosed,
	}
	s.frontends.host = host
	maxClients := s.cfg.Sockets*2/3 - reservedSockets
	s.loop.MaxUnreadOutput = s.cfg.MemoryMB << unreadBytesShift / maxClients
	if s.h248 != nil {
		maxClients /= 2
		s.frontends.gateway = gateway.New(host, &administrator{s}, maxClients)
	}
	s.frontends.json = jsonclient.New(host, maxClients)
	var callFrontends []call.Frontend
	for _, f := range s.frontends.all() {
		callFrontends = append(callFrontends, f)
	}
	s.backends.Attach(s.calls, callFrontends...)
}

// addBackends adds the exchanges that are known from the configuration.
func (s *Server) addBackends() error {
	var known []config.Endpoint
	s.resolver, known = discovery.NewResolver(s.cfg.KnownEndpoints)
	s.discovery = newDiscoveryClient(s)
	servers := make([]admission.Server, 0, len(known))
	for _, e := range known {
		servers = append(servers, e.Server())
		s.recorder.recordServer(e.Server(), e.Address)
		s.backends.AddEndpoint(e)
	}
	if s.h248 != nil {
		for _, h := range s.h248.Servers {
			if err := s.backends.AddH248Server(h); err != nil {
				return err
			}
			server := admission.Server{ID: h.ID, Pool: h.Pool}
			servers = append(servers, server)
			s.recorder.recordServer(server, h.Address)
		}
	}
	s.calls.UpdateServers(servers, true)
	return nil
}

// gnetLog passes gnet's errors on and drops the rest.
type gnetLog struct{ log *zap.SugaredLogger }

func (gnetLog) Debugf(string, ...any) {}
func (gnetLog) Infof(string, ...any)  {}
func (gnetLog) Warnf(string, ...any)  {}
func (g gnetLog) Errorf(format string, args ...any) {
	g.log.Errorw("gnet", "err", fmt.Sprintf(format, args...))
}
func (g gnetLog) Fatalf(format string, args ...any) {
	g.log.Fatalw("gnet", "err", fmt.Sprintf(format, args...))
}
