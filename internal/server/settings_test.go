package server

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"olivedale/internal/codec/jsonl"
	"olivedale/internal/config"
)

// deploymentSettings returns settings with the given classes, pools and circuits by class.
func deploymentSettings(classes, pools, circuits string) string {
	return fmt.Sprintf(`{"groupSize":1,"classes":[%s],"domain":{"topology":"pools","releaseGuard":300,"resend":1500,"skilledPools":[%s],
		"circuitsByClass":[%s]},"limits":{"maxAttempts":4,"cancel":true,"connectTimeout":500},"safety":{"startCapacity":0.5,"cold":1000}}`,
		classes, pools, circuits)
}

// Deployments are served one after the other in one process, with classes of the same names in a different order and
// with different values. The deadline, the width and the pools of each call must be those of its class in its own
// deployment. A call of an unknown class is rejected.
func TestDeploymentsAreIndependent(t *testing.T) {
	const (
		long  = `{"name":"long","aim":2000,"deadline":9000,"credit":1}`
		short = `{"name":"short","aim":300,"deadline":800,"credit":1}`
		swap  = `{"name":"short","aim":2000,"deadline":6000,"credit":1}`
		other = `{"name":"long","aim":300,"deadline":700,"credit":1}`
	)
	for i, d := range []struct {
		settings string
		deadline map[string]int // in milliseconds
		width    map[string]int
		pool     map[string]int // the only pool of the class
	}{
		{deploymentSettings(long+","+short, "[0],[1]", "1,3"), map[string]int{"long": 9000, "short": 800}, map[string]int{"long": 1, "short": 3}, map[string]int{"long": 0, "short": 1}},
		{deploymentSettings(swap+","+other, "[0],[1]", "2"), map[string]int{"long": 700, "short": 6000}, map[string]int{"long": 1, "short": 2}, map[string]int{"long": 1, "short": 0}},
		{deploymentSettings(short+","+long, "[1],[0]", "3,1"), map[string]int{"long": 9000, "short": 800}, map[string]int{"long": 1, "short": 3}, map[string]int{"long": 0, "short": 1}},
	} {
		exchanges := []*fakeExchange{startFakeExchange(t, "127.0.0.1:0"), startFakeExchange(t, "127.0.0.1:0")}
		bed := startTestbedWith(t, d.settings, 192, exchanges, nil)
		setUp := func(class string, width, dest, n int) string {
			id := fmt.Sprintf("%016x", 0x100*i+n)
			bed.caller.send(&jsonl.Message{Verb: jsonl.Start, Tag: id, Blob: []byte("o"), Options: []jsonl.Option{{Name: "class", Value: class}, {Name: "left", Value: "60000"},
				{Name: "key", Value: fmt.Sprint(n)}, {Name: "extras", Value: fmt.Sprintf("dest:%d;width:%d;via:-1", dest, width)}}})
			return id
		}
		for n, class := range []string{"long", "short"} {
			pool := d.pool[class]
			id := setUp(class, d.width[class], pool, 10*n)
			exchanges[pool].awaitReceived("INVITE", id, 1)
			exchanges[pool].mu.Lock()
			m := exchanges[pool].latestMessage["INVITE"+id]
			exchanges[pool].mu.Unlock()
			if ms, err := strconv.Atoi(m.Header("X-Timer-Ms")); err != nil || ms > d.deadline[class] || ms < d.deadline[class]-100 || m.Header("X-Cos") != class {
				t.Errorf("deployment %d, %s: class %s, %s ms, want %d", i, class, m.Header("X-Cos"), m.Header("X-Timer-Ms"), d.deadline[class])
			}
			exchanges[pool].send(sipResponse(id, "INVITE", 200, 1, "a"))
			bed.answers.await(t, id, 1)
			for what, id := range map[string]string{"too wide": setUp(class, d.width[class]+1, pool, 10*n+1), "pool of another class": setUp(class, 1, 1-pool, 10*n+2)} {
				if got := bed.answers.await(t, id, 1); got != "end 41" {
					t.Errorf("deployment %d, %s, %s: got %q", i, class, what, got)
				}
			}
		}
		if got := bed.answers.await(t, setUp("nobody", 1, 0, 99), 1); got != "end 34" {
			t.Errorf("deployment %d, an unknown class: got %q", i, got)
		}
		bed.server.Stop()
		select {
		case <-bed.done:
		case <-time.After(8 * time.Second):
			t.Fatal("the server did not end")
		}
	}
}

// A configuration that lists an H.248 server of the operator's file is refused by a start and by a reload alike. The reload
// takes nothing from it.
func TestEndpointWithTheIDOfAnH248Server(t *testing.T) {
	t.Parallel()
	server := startUnreadExchange(t)
	withServer := func(o *Options) {
		o.H248 = h248Config()
		o.H248.Servers = []config.H248Server{{ID: "h-0", Address: server.addr()}}
	}
	bed := startTestbed(t, nil, &scriptedDecider{}, withServer)
	cfg := *bed.server.cfg
	cfg.DiscoveryAddress = "127.0.0.1:9"
	endpoint := config.Endpoint{ID: "h-0", Address: server.addr(), Phase: config.PhaseReady}
	cfg.KnownEndpoints.Events = append(slices.Clone(cfg.KnownEndpoints.Events),
		config.EndpointEvent{N: 2, Endpoints: config.EndpointList{Endpoints: []config.Endpoint{endpoint}}})
	var options Options
	withServer(&options)
	if _, err := New(&cfg, options); err == nil {
		t.Error("a start accepts the configuration")
	}
	if err := bed.server.Reload(&cfg); err == nil {
		t.Error("a reload accepts the configuration")
	}
	bed.runIteration(func() {
		if bed.server.discovery.address == cfg.DiscoveryAddress {
			t.Error("the discovery address was taken from it")
		}
	})
}

// Guards against a list that a running server takes and a start refuses: discovery moved an H.248 server of the operator's
// file to another address, and removed it later on. The other endpoints of the list are taken.
func TestDiscoveryListsAnH248Server(t *testing.T) {
	t.Parallel()
	server, other := startUnreadExchange(t), startFakeExchange(t, "127.0.0.1:0")
	bed := startTestbed(t, nil, &scriptedDecider{}, func(o *Options) {
		o.H248 = h248Config()
		o.H248.Servers = []config.H248Server{{ID: "h-0", Address: server.addr()}}
	})
	server.awaitConn()
	own := endpointLine{id: "s-9", addr: other.addr()}
	for _, lines := range [][]endpointLine{{own, {id: "h-0", addr: other.addr()}}, {own}} {
		before := bed.listSerial()
		bed.discovery.set(lines...)
		eventually(t, "the list is applied", func() bool { return bed.listSerial() > before })
		bed.runIteration(func() {
			h := bed.server.backends.Get("h-0")
			if bed.server.backends.Get("s-9") == nil || h == nil || !h.IsConnected() || h.IsDraining() {
				t.Errorf("list %v: s-9 %v, h-0 %v", lines, bed.server.backends.Get("s-9"), h)
			}
		})
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	if n := len(server.conns); n != 1 {
		t.Errorf("%d connections to the H.248 server, want 1", n)
	}
}

// A rejection includes a retry-after time unless the settings forbid it.
func TestRetryAfterIsSentWhereSettingsAllow(t *testing.T) {
	t.Parallel()
	for key, want := range map[string]bool{"": true, `"retryAfter":true,`: true, `"retryAfter":false,`: false} {
		bed := startTestbedWith(t, strings.Replace(settings, `"limits":{`, `"limits":{`+key, 1), 192, nil, nil)
		c, err := net.Dial("tcp", bed.jsonAddress())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(8 * time.Second))
		if _, err := c.Write(jsonSetup(testCallID, 2*time.Second)); err != nil {
			t.Fatal(err)
		}
		text, err := bufio.NewReader(c).ReadString('\n')
		if err != nil || !strings.Contains(text, testCallID) || strings.Contains(text, `"wait"`) != want {
			t.Errorf("%q: %s, %v", key, text, err)
		}
	}
}
