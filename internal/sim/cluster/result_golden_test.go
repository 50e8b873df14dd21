package cluster

import (
	"encoding/json"
	"testing"

	"olivedale/internal/sim/scenario"
)

const goldenResult = `{"seed":7,"topology":{"Controllers":2,"Exchanges":1,"Zones":1},"for_s":10,` +
	`"zones":[{"name":"z0","sent":1,"stood":2,"refused":3,"failed":4,"cut":5,"p50_ms":6.5,"p99_ms":7.5}],` +
	`"struck":[{"at_s":1.25,"step":{"at":"1s","for":"2s","kind":"delay","name":"zone","from":["z0"],"to":["x*"],` +
	`"by":"10ms","spread":"5ms","share":0.5,"factor":2,"rate":3}}],` +
	`"breaches":[{"rule":"no_crash","text":"n0 ended","node":"n0","call":"c1","at_s":2.5,"step":"1s delay z0","around":["a"]}],` +
	`"broken":1,"seen":8,"unread":9,"course":[{"at_s":1,"sent":[1],"stood":[2]}],` +
	`"schedule":{"seed":7,"step":[{"at":"1s","for":"2s","kind":"delay","name":"zone","from":["z0"],"to":["x*"],` +
	`"by":"10ms","spread":"5ms","share":0.5,"factor":2,"rate":3}]}}`

// TestResultMatchesGolden guards the JSON keys of a Result, which is the output of `olivesim run --json`, and of the
// specification of an Instance, which agents read from etcd.
func TestResultMatchesGolden(t *testing.T) {
	t.Parallel()
	step := &Fault{
		At: seconds(1), Duration: seconds(2), Kind: FaultDelay, Name: "zone", From: []string{"z0"}, To: []string{"x*"},
		Latency: seconds(0.01), Jitter: seconds(0.005), Fraction: 0.5, Factor: 2, BytesPerSecond: 3,
	}
	res := &Result{
		Seed: 7, Topology: Topology{Controllers: 2, Exchanges: 1, Zones: 1}, Duration: 10,
		Zones:          []ZoneStats{{Name: "z0", Sent: 1, Established: 2, Rejected: 3, Failed: 4, Dropped: 5, P50: 6.5, P99: 7.5}},
		InjectedFaults: []InjectedFault{{At: 1.25, Fault: step}},
		Violations:     []Violation{{Rule: "no_crash", Text: "n0 ended", Controller: "n0", Call: "c1", At: 2.5, LatestFault: "1s delay z0", PrecedingEvents: []string{"a"}}},
		ViolationCount: 1, EventCount: 8, UnreadableStreams: 9, Samples: []Sample{{At: 1, Sent: []int{1}, Established: []int{2}}},
		Schedule: &Schedule{Seed: 7, Faults: []*Fault{step}},
	}
	got, err := json.Marshal(res)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != goldenResult {
		t.Errorf("result is\n%s, want\n%s", got, goldenResult)
	}
	sc := scenario.Default()
	instance := &Instance{
		Name: "n0", Listen: "l", GatewayListen: "p", Admin: "a", Discovery: "d", Records: "r", AdminProxy: "c", Zone: "z0", Seed: 255, FleetSize: 2,
		OverloadControl: map[string]any{"number": 1},
	}
	text, err := instance.Spec(&sc)
	if err != nil {
		t.Fatal(err)
	}
	if string(text) != goldenInstance {
		t.Errorf("instance is\n%s, want\n%s", text, goldenInstance)
	}
}

const goldenInstance = `{"config":{"known":{"n":1,"events":[{"n":1,"members":{"revision":0,"complete":true,"members":nu` +
	`ll}}]},"limits":{"memory_mb":192,"sockets":1024},"listen":"l","name":"n0","names":"d","seed":"f` +
	`f","settings":{"classes":[{"aim":1500,"credit":1,"deadline":9000,"lateWorth":0.25,"name":"resid` +
	`ent-call"},{"aim":1200,"credit":3,"deadline":9000,"lateWorth":0.25,"name":"concierge-call"},{"a` +
	`im":2000,"credit":1,"deadline":9000,"lateWorth":0.25,"name":"delivery-call"}],"domain":{"releas` +
	`eGuard":300,"resend":500,"topology":"pools"},"groupSize":2,"limits":{"cancel":true,"connectTime` +
	`out":500,"maxAttempts":4},"myZone":"z0","safety":{"cold":15000,"startCapacity":0.31}}},"h248":{` +
	`"Admin":"a","Listen":"p"},"reach":"c","records":{"dir":"r"},"share":{"number":1}}`
