package server

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"olivedale/internal/call"
	"olivedale/internal/config"
)

// testServer is a running server with simulated exchanges.
type testServer struct {
	server       *Server
	discovery    *discoveryServer
	observations *callObservations
	exchanges    []*simulatedExchange
	done         chan error
}

func (s *testServer) boundAddress(configured string) string {
	for _, l := range s.server.listeners.all {
		if l.configuredAddress == configured {
			return l.acceptor.Address()
		}
	}
	return ""
}

func (s *testServer) jsonAddress() string    { return s.boundAddress(s.server.cfg.Listen) }
func (s *testServer) gatewayAddress() string { return s.boundAddress(s.server.h248.Listen) }
func (s *testServer) adminAddress() string   { return s.boundAddress(s.server.h248.Admin) }

const settings = `{"groupSize":1,"classes":[{"name":"voice","aim":2000,"deadline":9000,"credit":1,"lateWorth":0.2}],
 "domain":{"topology":"pools","releaseGuard":300,"resend":1500,"skilledPools":[[0,1,2,3]]},
 "limits":{"maxAttempts":4,"cancel":true,"connectTimeout":500},"safety":{"startCapacity":0.5,"cold":1000}}`

// A testDeployment holds the values that differ between the configurations of test servers.
type testDeployment struct {
	name     string
	settings string
	memoryMB int
	sockets  int
}

// defaultDeployment is the deployment of a single server.
var defaultDeployment = testDeployment{name: "n0", settings: settings, memoryMB: 192, sockets: 1024}

// config returns the configuration of a server whose initial list of endpoints is lines.
func (d testDeployment) config(t testing.TB, discovery *discoveryServer, lines []endpointLine) *config.Config {
	t.Helper()
	var endpoints []config.Endpoint
	for _, l := range lines {
		endpoints = append(endpoints, config.Endpoint{
			ID:      l.id,
			Address: l.addr,
			Zone:    "east",
			Kind:    "std",
			Pool:    l.pool,
			Phase:   config.PhaseReady,
		})
	}
	list := config.EndpointList{Complete: true, Endpoints: endpoints}
	text, err := json.Marshal(map[string]any{
		"name":     d.name,
		"listen":   "127.0.0.1:0",
		"seed":     "1f",
		"names":    discovery.conn.LocalAddr().String(),
		"limits":   map[string]any{"memory_mb": d.memoryMB, "sockets": d.sockets},
		"settings": json.RawMessage(d.settings),
		"known":    config.KnownEndpoints{LastEvent: 1, Events: []config.EndpointEvent{{N: 1, Endpoints: list}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// h248Config returns options that enable the H.248 frontend and the admin address.
func h248Config() *config.H248 { return &config.H248{Listen: "127.0.0.2:0", Admin: "127.0.0.3:0"} }

// run creates the server and runs it. It returns when the server has started; ended is called when the server has ended.
func (s *testServer) run(t testing.TB, cfg *config.Config, o Options, ended func()) {
	t.Helper()
	var err error
	if s.server, err = New(cfg, o); err != nil {
		t.Fatal(err)
	}
	s.observeRetries()
	go func() {
		s.done <- s.server.Run()
		ended()
	}()
	select {
	case <-s.server.Started():
	case err := <-s.done:
		t.Fatal(err)
	case <-time.After(10 * time.Second):
		t.Fatal("the server did not start")
	}
}

// stopAtCleanup shuts the server down at the end of the test.
func (s *testServer) stopAtCleanup(t testing.TB) {
	t.Cleanup(func() {
		s.server.Stop()
		select {
		case <-s.done:
		case <-time.After(10 * time.Second):
			t.Error("the server did not stop")
		}
	})
}

// startTestServer starts a server with a simulated exchange for each flag. The exchange speaks H.248 if the flag is set
// and SIP otherwise.
func startTestServer(t *testing.T, isH248 ...bool) *testServer {
	t.Helper()
	s := &testServer{
		discovery:    startDiscoveryServer(t),
		observations: newCallObservations(),
		done:         make(chan error, 1),
	}
	h := h248Config()
	var lines []endpointLine
	for i, isH248 := range isH248 {
		exchange := startSimulatedExchange(t, s.observations, isH248)
		s.exchanges = append(s.exchanges, exchange)
		id := fmt.Sprint("s-", i)
		if isH248 {
			h.Servers = append(h.Servers, config.H248Server{ID: id, Address: exchange.addr(), Pool: i})
			continue
		}
		lines = append(lines, endpointLine{id: id, addr: exchange.addr(), pool: i})
	}
	s.discovery.set(lines...)
	s.run(t, defaultDeployment.config(t, s.discovery, lines), Options{H248: h}, func() {})
	s.stopAtCleanup(t)
	return s
}

// eventually waits up to 10 seconds for a condition.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

func writeFile(t testing.TB, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// fleet is a group of servers that share simulated exchanges and a discovery service.
type fleet struct {
	discovery    *discoveryServer
	observations *callObservations
	exchanges    []*simulatedExchange
	lines        []endpointLine
	numbers      *config.Numbering // numbering options of servers that are started later
	decider      call.Decider      // decider of the next server; nil for the admission control
	pools        string            // pools of the calls; "" for those of settings
	recordQueue  config.Size       // queue size of records; 0 for the default
	sockets      int               // socket limit; 0 for 1024
}

func startFleet(t testing.TB, servers int) *fleet {
	t.Helper()
	f := &fleet{discovery: startDiscoveryServer(t), observations: newCallObservations()}
	for i := range servers {
		s := startSimulatedExchange(t, f.observations, false)
		f.exchanges = append(f.exchanges, s)
		f.lines = append(f.lines, endpointLine{id: fmt.Sprint("s-", i), addr: s.addr(), pool: i})
	}
	f.discovery.set(f.lines...)
	return f
}

// startServer starts another server. Its clock is ahead by skew. It writes records to dir unless dir is empty.
func (f *fleet) startServer(t testing.TB, name, dir string, skew *atomic.Int64) *testServer {
	t.Helper()
	const allPools = "[[0,1,2,3]]"
	deployment := testDeployment{
		name:     name,
		settings: strings.Replace(settings, allPools, cmp.Or(f.pools, allPools), 1),
		memoryMB: defaultDeployment.memoryMB,
		sockets:  cmp.Or(f.sockets, defaultDeployment.sockets),
	}
	var records *config.Records
	if dir != "" {
		records = &config.Records{Dir: dir, Sync: config.Duration(10 * time.Millisecond), Queue: f.recordQueue}
		if err := records.Validate(); err != nil {
			t.Fatal(err)
		}
	}
	s := &testServer{
		discovery:    f.discovery,
		observations: f.observations,
		exchanges:    f.exchanges,
		done:         make(chan error, 1),
	}
	s.run(t, deployment.config(t, f.discovery, f.lines), Options{
		Records:   records,
		Numbering: f.numbers,
		Program:   "test",
		decider:   f.decider,
		H248:      h248Config(),
		Clock:     func() time.Time { return time.Now().Add(time.Duration(skew.Load())) },
	}, func() {})
	return s
}

// stop shuts the server down and waits for its end.
func (s *testServer) stop(t testing.TB) {
	t.Helper()
	s.server.Stop()
	select {
	case <-s.done:
	case <-time.After(10 * time.Second):
		t.Fatal("the server did not stop")
	}
}
