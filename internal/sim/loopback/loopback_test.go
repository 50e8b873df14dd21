package loopback

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"olivedale/internal/codec/sip"
	"olivedale/internal/config"
	"olivedale/internal/server"
	"olivedale/internal/sim/exchange"
	"olivedale/internal/sim/experiment"
	"olivedale/internal/sim/result"
	"olivedale/internal/sim/scenario"
	"olivedale/internal/sim/virtualtime"
)

// shortHolding holds short call durations, so that tests do not wait for long calls.
var shortHolding = map[string]time.Duration{
	"resident-call":  200 * time.Millisecond,
	"concierge-call": 200 * time.Millisecond,
	"delivery-call":  200 * time.Millisecond,
}

// controllerSettings are the settings of the controller under test.
const controllerSettings = `{
	"groupSize": 1,
	"classes": [
		{"name": "resident-call", "aim": 1500, "deadline": 9000, "credit": 1},
		{"name": "concierge-call", "aim": 1200, "deadline": 9000, "credit": 3},
		{"name": "delivery-call", "aim": 2000, "deadline": 9000, "credit": 1}
	],
	"domain": {"topology": "pools", "releaseGuard": 300, "resend": 500},
	"limits": {"maxAttempts": 4, "cancel": true, "connectTimeout": 500},
	"safety": {"startCapacity": 0.31, "cold": 15000}
}`

// start runs a real controller with a number of emulated exchanges and a name service.
func start(t testing.TB, settings exchange.Settings, exchanges int) (addr string, names *NameService, all []*Exchange, endpoints []Endpoint) {
	t.Helper()
	names, err := ListenNameService("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(names.Close)
	var members []config.Endpoint
	for i := range exchanges {
		x, err := Listen("127.0.0.1:0", settings, false, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(x.Close)
		all = append(all, x)
		endpoints = append(endpoints, Endpoint{ID: fmt.Sprint("x", i), Addr: x.Addr(), Zone: "east", Pool: i})
		members = append(members, config.Endpoint{ID: endpoints[i].ID, Address: endpoints[i].Addr, Zone: "east", Kind: "std", Pool: i, Phase: config.PhaseReady})
	}
	names.Set(endpoints...)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr = ln.Addr().String()
	_ = ln.Close()
	list := config.EndpointList{Complete: true, Endpoints: members}
	text, err := json.Marshal(map[string]any{
		"name":     "n0",
		"listen":   addr,
		"seed":     "1f",
		"names":    names.Addr(),
		"limits":   map[string]any{"memory_mb": 192, "sockets": 1024},
		"known":    config.KnownEndpoints{LastEvent: 1, Events: []config.EndpointEvent{{N: 1, Endpoints: list}}},
		"settings": json.RawMessage(controllerSettings),
	})
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	n, err := server.New(cfg, server.Options{})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- n.Run() }()
	<-n.Started()
	t.Cleanup(func() {
		n.Stop()
		<-done
	})
	return addr, names, all, endpoints
}

// TestLoadAndExchanges sends calls through a real controller to emulated exchanges and checks that the counters of the
// load match those of the exchanges, also when calls are dropped and an exchange stops.
func TestLoadAndExchanges(t *testing.T) {
	t.Parallel()
	sc := scenario.Default()
	settings := sc.ExchangeSettings()
	settings.MeanHoldingTime = shortHolding
	addr, names, all, endpoints := start(t, settings, 2)
	l := &LoadGenerator{Addrs: []string{addr}, Rate: 30, Duration: 3 * time.Second, CallerTimeout: 3 * time.Second, Pools: 2, Classes: scenario.Default().Class, Seed: 1}
	done := make(chan error, 1)
	go func() { done <- l.Run(context.Background()) }()
	for end := time.Now().Add(10 * time.Second); all[0].EstablishedCalls() == 0 || all[1].EstablishedCalls() == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("some exchange has no established call after 10 s")
		}
	}
	all[0].Do(func(x *exchange.Exchange, now exchange.Time) { x.DropCalls(now, x.EstablishedCalls()) })
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	var established, setUps int
	for _, x := range all {
		c := x.Counters()
		established, setUps = established+c.Established, setUps+c.SetUps
	}
	s := l.Stats()
	if s.Sent < 60 || s.Established != established || s.Established+s.Rejected+s.Failed+s.Abandoned != s.Sent || s.Dropped == 0 || s.Established < s.Sent*8/10 || setUps < established {
		t.Errorf("load %+v; the exchanges established %d calls of %d set-ups", s, established, setUps)
	}
	if s.SetUpTimes.TotalCount() != int64(s.Established) {
		t.Errorf("%d set-up times recorded for %d established calls", s.SetUpTimes.TotalCount(), s.Established)
	}

	// One exchange stops and is removed from discovery: calls go to the other.
	all[0].Close()
	names.Set(endpoints[1])
	l = &LoadGenerator{Addrs: []string{addr}, Rate: 20, Duration: 2 * time.Second, CallerTimeout: 3 * time.Second, Pools: 2, Classes: scenario.Default().Class, Seed: 2}
	if err := l.Run(context.Background()); err != nil {
		t.Fatal(err)
	}
	if s := l.Stats(); s.Established < s.Sent/2 || s.Established+s.Rejected+s.Failed+s.Abandoned != s.Sent {
		t.Errorf("load with one exchange: %+v", s)
	}
	if err := (&LoadGenerator{}).Run(context.Background()); err == nil {
		t.Error("Run accepted a load without addresses")
	}
}

// BenchmarkFloors compares runs in virtual time with runs on sockets: one controller, three exchanges, no redials.
// go test -run '^$' -bench Floors -benchtime 1x ./internal/sim/loopback
func BenchmarkFloors(b *testing.B) {
	for range b.N {
		for _, load := range []float64{0.6, 0.9, 1.3} {
			compareRuns(b, load)
		}
	}
}

// comparisonScenario returns a scenario that is equivalent in virtual time and on sockets.
func comparisonScenario(b *testing.B, load float64) scenario.Scenario {
	b.Helper()
	sc := scenario.Default()
	sc.Length = scenario.Duration(30 * time.Second)
	sc.Fleet.Controllers = 1
	sc.Callers.Load = load
	sc.Callers.PreferredWeight = 1
	sc.Callers.PreferenceInterval = scenario.DurationRange{}
	sc.Callers.MaxRedials = 0
	sc.Callers.Patience = [2]float64{1.0 / 3, 1.0 / 3}
	// The latency of the loopback interface.
	near := scenario.DurationRange{scenario.Duration(50 * time.Microsecond), scenario.Duration(150 * time.Microsecond)}
	sc.Network.Near = near
	sc.Network.Far = near
	sc.Network.Client = scenario.Duration(100 * time.Microsecond)
	if err := sc.Check(); err != nil {
		b.Fatal(err)
	}
	return sc
}

// compareRuns logs figures of 12 runs in virtual time and of one run on sockets.
func compareRuns(b *testing.B, load float64) {
	b.Helper()
	sc := comparisonScenario(b, load)
	results, err := experiment.RunSeeds(context.Background(), &sc, experiment.Seeds(1, 12), virtualtime.Options{})
	if err != nil {
		b.Fatal(err)
	}
	addr, _, _, _ := start(b, sc.ExchangeSettings(), 3)
	l := &LoadGenerator{
		Addrs:         []string{addr},
		Rate:          load * sc.Rate(),
		Duration:      sc.Length.D(),
		CallerTimeout: 3 * time.Second,
		Pools:         3,
		Classes:       sc.Class,
		Seed:          1,
	}
	if err := l.Run(context.Background()); err != nil {
		b.Fatal(err)
	}
	s := l.Stats()
	fraction := func(n, of int) float64 { return float64(n) / float64(max(of, 1)) }
	for _, figure := range []struct {
		name    string
		sockets float64
	}{
		{"stood", fraction(s.Established, s.Sent)},
		{"refused", fraction(s.Rejected, s.Sent)},
		{"p50 ms", float64(s.SetUpTimes.ValueAtQuantile(50)) / 1000},
		{"p99 ms", float64(s.SetUpTimes.ValueAtQuantile(99)) / 1000},
	} {
		values := valuesOf(results, figure.name)
		b.Logf("load %v, %s: virtual time %.3f, runs from %.3f to %.3f; sockets %.3f", load, figure.name,
			experiment.Bootstrap(values, false).Mean, slices.Min(values), slices.Max(values), figure.sockets)
	}
}

// valuesOf returns a figure of each run.
func valuesOf(all []*result.Result, name string) (v []float64) {
	for _, r := range all {
		switch name {
		case "stood":
			v = append(v, float64(r.Established)/float64(r.Offered))
		case "refused":
			v = append(v, float64(r.Rejected)/float64(r.Offered))
		case "p50 ms":
			v = append(v, r.P50)
		default:
			v = append(v, r.P99)
		}
	}
	return v
}

// TestClosedConnectionIsForgotten checks that an exchange removes the attempts of a closed connection, which it
// otherwise would keep for ever.
func TestClosedConnectionIsForgotten(t *testing.T) {
	t.Parallel()
	sc := scenario.Default()
	settings := sc.ExchangeSettings()
	settings.SetUp = time.Hour // no call is established
	x, err := Listen("127.0.0.1:0", settings, false, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer x.Close()
	c, err := net.Dial("tcp", x.Addr())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write(sip.AppendRequest(nil, &sip.Request{Method: "INVITE", Number: "5", CallID: "a", CSeq: 1})); err != nil {
		t.Fatal(err)
	}
	openAttempts := func() int {
		x.mu.Lock()
		defer x.mu.Unlock()
		return len(x.calls)
	}
	for want := 1; want >= 0; want-- {
		for end := time.Now().Add(5 * time.Second); openAttempts() != want; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d attempts are open, want %d", openAttempts(), want)
			}
		}
		_ = c.Close()
	}
}
