// Package server implements the running call controller. It connects the frontends, the backends, the discovery client
// and the optional components to the event loop, and manages the life cycle from the start to the orderly shutdown. All
// state belongs to the goroutine of the event loop, which never blocks. Decisions about calls are made by other
// packages.
package server

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"

	"olivedale/internal/admission"
	"olivedale/internal/backend"
	"olivedale/internal/call"
	"olivedale/internal/codec/h248/transaction"
	"olivedale/internal/config"
	"olivedale/internal/discovery"
	"olivedale/internal/eventloop"
	"olivedale/internal/frontend"
	"olivedale/internal/frontend/gateway"
	"olivedale/internal/frontend/jsonclient"
)

// reservedSockets is the number of descriptors that are used neither for callers nor for exchanges.
const reservedSockets = 40

// maxProbesShift bounds the concurrent probes of exchanges, as a shift of the number of descriptors. That is less than
// what reservedSockets, callers and exchanges leave.
const maxProbesShift = 3

// Bounds that depend on the memory of the process, as shifts of its size in megabytes.
const (
	maxCallsShift            = 8
	maxOpenCallsShift        = 6
	maxDescriptionBytesShift = 17
	maxCompletedIDsShift     = 7
	unreadBytesShift         = 17 // an eighth of the memory, shared by all callers that do not read their answers
)

// A Server is a running call controller.
type Server struct {
	gnet.BuiltinEventEngine

	cfg       *config.Config
	h248      *config.H248 // nil if the H.248 frontend is disabled
	loop      *eventloop.Loop
	random    *rand.Rand    // seeded by the configuration
	randomID  func() uint32 // see frontend.Host
	calls     *call.Manager
	backends  *backend.Set
	frontends frontends
	resolver  *discovery.Resolver
	discovery *discoveryClient
	listeners *listeners
	lifecycle lifecycle
	pollAt    time.Duration // time of the next periodic poll

	malformed    inputLog // input that cannot be parsed
	strayReplies inputLog // replies that do not belong to the transaction whose id they have

	recorder  *recorder        // nil if disabled
	metrics   *metrics         // nil if there is no admin address
	numbering *numberRouter    // nil if disabled
	overload  *overloadControl // nil if disabled
}

// frontends are the enabled frontends.
type frontends struct {
	host    *frontend.Host // state shared by the frontends
	json    *jsonclient.Frontend
	gateway *gateway.Frontend // nil if disabled
}

// all returns the enabled frontends.
func (f *frontends) all() []frontend.Frontend {
	if f.gateway == nil {
		return []frontend.Frontend{f.json}
	}
	return []frontend.Frontend{f.json, f.gateway}
}

// Options holds the optional components and dependencies of a server. The zero value disables all components.
type Options struct {
	H248      *config.H248            // nil disables the H.248 frontend
	Records   *config.Records         // nil disables records
	Numbering *config.Numbering       // nil routes calls by their preferred pool
	Overload  *config.OverloadControl // nil disables messages between controllers
	Log       *zap.Logger             // nil disables logging
	Program   string                  // program version, written to the records
	Clock     func() time.Time        // system clock; nil means time.Now

	decider  call.Decider   // replaces the admission control in tests if not nil
	dial     backend.Dialer // replaces backend.DialTCP in tests if not nil
	randomID func() uint32  // replaces the system's random numbers in tests if not nil
}

// withDefaults returns the options with defaults for a missing logger or clock.
func (o Options) withDefaults() Options {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.randomID == nil {
		o.randomID = rand.Uint32 // seeded by the operating system
	}
	return o
}

// New creates a server from its configuration. It opens the record log and reads the numbering table. Run starts
// everything else.
func New(cfg *config.Config, o Options) (*Server, error) {
	if err := checkEndpoints(cfg, o.H248); err != nil {
		return nil, err
	}
	o = o.withDefaults()
	s := &Server{
		cfg:       cfg,
		h248:      o.H248,
		loop:      eventloop.New(o.Log, o.Clock),
		listeners: newListeners(cfg.Listen, o.H248),
		lifecycle: newLifecycle(),
		random:    rand.New(rand.NewPCG(cfg.Seed, 1)),
		randomID:  o.randomID,
	}
	s.loop.AfterIteration = s.setTimer
	s.backends = backend.NewSet(backend.Options{
		Loop:            s.loop,
		Name:            cfg.Name,
		MemoryMB:        cfg.MemoryMB,
		DialTimeout:     cfg.DialTimeout,
		MaxAttempts:     cfg.Settings.MaxAttempts,
		MaxProbes:       cfg.Sockets >> maxProbesShift,
		Dial:            o.dial,
		TransactionIDs:  transaction.NewIDSequence(o.randomID()),
		ReportMalformed: s.reportMalformed,
		ReportStray:     s.reportStray,
	})
	engine, err := s.newAdmission()
	if err != nil {
		return nil, err
	}
	s.calls = call.NewManager(decider(o, engine), s.backends, s.loop.Now, call.Limits{
		Calls:            cfg.MemoryMB << maxCallsShift,
		OpenCalls:        cfg.MemoryMB << maxOpenCallsShift,
		DescriptionBytes: cfg.MemoryMB << maxDescriptionBytesShift,
		CompletedIDs:     cfg.MemoryMB << maxCompletedIDsShift,
	})
	if err := s.addOptionalParts(o, engine); err != nil {
		return nil, err
	}
	s.addFrontends()
	s.addBackends()
	return s, nil
}

// A ConfiguredEndpointError reports that the discovery service lists an H.248 server of the operator's file.
type ConfiguredEndpointError struct{ ID string }

// Error returns the description of the problem.
func (e *ConfiguredEndpointError) Error() string {
	return fmt.Sprintf("%q is the id of an H.248 server", e.ID)
}

// checkEndpoints returns an error if an endpoint of the configuration has the id of an H.248 server of the operator's
// file. Together with config.Parse it decides whether a controller can start with a configuration.
func checkEndpoints(cfg *config.Config, h *config.H248) error {
	if h == nil {
		return nil
	}
	_, known := discovery.NewResolver(cfg.KnownEndpoints)
	for _, server := range h.Servers {
		if slices.ContainsFunc(known, func(e config.Endpoint) bool { return e.ID == server.ID }) {
			return fmt.Errorf("known: %w", &ConfiguredEndpointError{server.ID})
		}
	}
	return nil
}

// newAdmission returns the admission control. Its messages are logged and recorded.
func (s *Server) newAdmission() (*admission.Engine, error) {
	return admission.NewEngine(s.loop.Now(), s.cfg.Settings, s.cfg.Seed, func(line string) {
		s.loop.Log.Infow("module", "text", line)
		s.recorder.recordNote(line)
	})
}

// decider returns the component that makes decisions about calls: the admission control, unless a test replaces it.
func decider(o Options, engine *admission.Engine) call.Decider {
	if o.decider != nil {
		return o.decider
	}
	return engine
}

// addOptionalParts adds the components that the operator has configured.
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

// addObservers adds the configured observers of calls: the recorder, and the metrics if there is an admin address.
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

// addFrontends adds the enabled frontends, which share the socket budget.
func (s *Server) addFrontends() {
	host := &frontend.Host{
		Loop:            s.loop,
		Calls:           s.calls,
		Config:          s.cfg,
		RandomID:        s.randomID,
		ReportMalformed: s.reportMalformed,
		ReportStray:     s.reportStray,
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
	s.calls.SetReservedRoom(s.pendingReleases)
}

// pendingReleases returns the number of releases of known calls that wait for their exchange or their caller.
func (s *Server) pendingReleases() int {
	pending := s.backends.WaitingReleases()
	for _, f := range s.frontends.all() {
		pending += f.PendingReleases()
	}
	return pending
}

// addBackends adds the exchanges that are listed in the configuration.
func (s *Server) addBackends() {
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
			s.backends.AddH248Server(h)
			server := admission.Server{ID: h.ID, Pool: h.Pool}
			servers = append(servers, server)
			s.recorder.recordServer(server, h.Address)
		}
	}
	s.calls.UpdateServers(servers, true)
}

// gnetLog forwards the error messages of gnet to the log and drops all others.
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
