package simproto

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"olivedale/internal/admission"
)

const startRow = `["START",7,{"groupSize":3,"future":{"x":1},"classes":[{"name":"read","aim":900.5,"deadline":5000,` +
	`"credit":1,"lateWorth":0.2}],` +
	`"domain":{"topology":"pools","releaseGuard":150,"skilledPools":[[0,2]],"thisNode":-1},` +
	`"limits":{"maxAttempts":2,"cancel":true},"safety":{"startCapacity":0.5,"cold":9000}}]`

// line returns a line with items for one node.
func line(items string) []byte {
	return []byte(`{"atTime":1000.25,"nodes":[{"node":2,"items":[` + items + `]}]}`)
}

func decodeOne(t *testing.T, d *Decoder, items string) []Item {
	t.Helper()
	b, err := d.Decode(line(items))
	if err != nil {
		t.Fatal(err)
	}
	return b.Nodes[0].Items
}

func TestDecodeStart(t *testing.T) {
	items := decodeOne(t, &Decoder{}, startRow)
	got := items[0].Start
	want := &Start{Seed: 7, Settings: admission.Settings{
		ControllerCount: 3, Topology: "pools", MaxAttempts: 2, CanCancel: true, RetryGuard: 150 * time.Millisecond,
		SlowStartPeriod: 9 * time.Second, SlowStartShare: 0.5,
		Classes: []admission.Class{{Name: "read", LatencyObjective: 900500 * time.Microsecond,
			Deadline: 5 * time.Second, Weight: 1, LateWeightFactor: 0.2, Pools: []int{0, 2},
			DeduplicationScope: admission.ScopePool}},
	}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestDecodeEvents(t *testing.T) {
	for _, test := range []struct {
		text string
		want admission.Event
	}{
		{`["ASK","ab",null,3,1,1500.5,18,null,"n1",-1,"read"]`, admission.CallOffered{CallID: "ab", PreferredPool: 3,
			Deadline: 1500500 * time.Microsecond, Redialed: true, Reestablish: true, Number: "n1", Class: "read"}},
		{`["HEADERS","ab",1,"s",12.5]`, admission.CallEstablished{CallID: "ab", Attempt: 1, Server: "s",
			SetupTime: 12500 * time.Microsecond}},
		{`["GONE","ab"]`, admission.CallAbandoned{CallID: "ab"}},
		{`["BELL",77]`, admission.TimerFired{Key: 77}},
		{`["RETURNED","ab",0,"s","shed",2.0,false,4003,{"recent_ms":-1,"backlog":4,"new":1}]`, admission.AttemptEnded{
			CallID: "ab", Server: "s", Result: admission.ResultServerBusy, Cause: admission.CauseProcessorBusy,
			RetryAfter: 250 * time.Millisecond, Elapsed: 2 * time.Millisecond,
			Load: admission.LoadReport{QueueLength: admission.Optional{Value: 4, Valid: true}}}},
		{`["PROBED","delivered","s",0,null]`, admission.LoadReported{Server: "s", OK: true}},
	} {
		t.Run(test.text, func(t *testing.T) {
			items := decodeOne(t, &Decoder{}, test.text)
			if !reflect.DeepEqual(items[0].Event, test.want) {
				t.Errorf("got %+v\nwant %+v", items[0].Event, test.want)
			}
		})
	}
}

// List numbers are reused within a batch: a number means the latest PAGE row before the MEMBERS row.
func TestPageNumbersAreReused(t *testing.T) {
	items := decodeOne(t, &Decoder{}, `["PAGE",0,[["a","z","k",0,"IN",1,null]]],["MEMBERS","full",0,1],`+
		`["PAGE",0,[["b","z","k",1,"LAME",1,6100.5]]],["MEMBERS","delta",0,2],["MEMBERS","failed",9,2],["KILL"]`)
	if len(items) != 4 || !items[3].Kill || !items[2].Event.(admission.ServersUpdated).Failed {
		t.Fatalf("got %d items, want three server updates, the last of them failed, and a kill", len(items))
	}
	first := items[0].Event.(admission.ServersUpdated)
	second := items[1].Event.(admission.ServersUpdated)
	want := admission.Server{ID: "b", Pool: 1, Zone: "z", State: admission.Draining, Started: 6100500 * time.Microsecond}
	if !first.Full || first.Servers[0].ID != "a" || second.Full || second.Servers[0] != want {
		t.Errorf("got %+v and %+v", first, second)
	}
}

func TestDecodeErrors(t *testing.T) {
	for text, want := range map[string]string{
		`["NOPE",1]`:                            `unknown event "NOPE"`,
		`["BELL"]`:                              "BELL: want 1 values, got 0",
		`["BELL","x"]`:                          "BELL: keyBack",
		`["GONE",null]`:                         "GONE: opId",
		`["HEADERS","ab",0.5,"s",1]`:            "HEADERS: leg",
		`["HEADERS","ab",0,"s",1e300]`:          "HEADERS: elapsed",
		`["MEMBERS","full",4,1]`:                "MEMBERS: rosterId",
		`["PAGE",0,[["a"]]]`:                    "PAGE: lines",
		`["PAGE",0,[["a","z","k",0,"UP",1,0]]]`: "PAGE: phase",
		`["RETURNED","ab",0,"s","odd",2,false,null,null]`: "RETURNED: code",
		`{}`:                        "item",
		`["START",1,{"classes":3}]`: "START: profileData",
	} {
		t.Run(text, func(t *testing.T) {
			d := &Decoder{}
			if _, err := d.Decode([]byte(`{"atTime":1,"nodes":[]}`)); err != nil {
				t.Fatal(err)
			}
			_, err := d.Decode(line(text))
			if err == nil || !strings.HasPrefix(err.Error(), "line 2: ") || !strings.Contains(err.Error(), want) {
				t.Errorf("error %v, want line 2 and %q", err, want)
			}
		})
	}
	for _, text := range []string{``, `[]`, `{"nodes":[]}`, `{"atTime":1,"nodes":[{"items":[]}]}`} {
		if _, err := (&Decoder{}).Decode([]byte(text)); err == nil {
			t.Errorf("%q was decoded without an error", text)
		}
	}
}

// A FieldError gives programs the row and the field of an error, so that they need not parse its text.
func TestFieldError(t *testing.T) {
	_, err := (&Decoder{}).Decode(line(`["GONE",null]`))
	var fieldError *FieldError
	if !errors.As(err, &fieldError) || fieldError.Row != "GONE" || fieldError.Field != "opId" {
		t.Errorf("row: %v", err)
	}
	_, err = ReadSettings([]byte(`{"classes":[{"aim":1e300}]}`))
	if !errors.As(err, &fieldError) || fieldError.Row != "settings" || fieldError.Field != "classes.aim" {
		t.Errorf("settings: %v", err)
	}
}

func TestEncode(t *testing.T) {
	got, err := Encode([]Reply{{Number: 1}, {Number: 2, Actions: []admission.Action{
		admission.SendAttempt{CallID: "ab", Server: "s", Timeout: 80500 * time.Microsecond},
		admission.RejectCall{CallID: "c"},
		admission.FailCall{CallID: "d"},
		admission.CancelAttempt{CallID: "e", Attempt: 1},
		admission.SetTimer{At: 8912250 * time.Microsecond, Key: 77},
		admission.LogMessage{Text: "a<b"},
		admission.WatchServers{},
	}}})
	want := `{"nodes":[{"node":2,"decisions":[["RELAY","ab","s",80.5],["BUSY","c",null],["RESPOND_ERROR","d"],` +
		`["ABORT_ATTEMPT","e",1],["DEFER",8912.25,77],["PRINT","a<b"],["TRACK",true]]}]}` + "\n"
	if err != nil || string(got) != want {
		t.Errorf("got %s (%v)\nwant %s", got, err, want)
	}
	if _, err := Encode([]Reply{{Actions: []admission.Action{nil}}}); err == nil {
		t.Error("an unknown action was encoded without an error")
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(line(startRow))
	f.Add(line(`["PAGE",0,[["a","z","k",0,"IN",1,null]]],["MEMBERS","full",0,1]`))
	f.Add(line(`["ASK","ab",null,3,1,1500.5,18,null,"n1",-1,"read"]`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if _, err := (&Decoder{}).Decode(text); err != nil && !strings.HasPrefix(err.Error(), "line 1: ") {
			t.Errorf("error %v does not name the line", err)
		}
	})
}

// The settings define whether and how calls of a class may be repeated. An unknown value counts as the strictest one; an
// absent key means the same as in a deployment without these keys.
func TestRepeatabilityOfClasses(t *testing.T) {
	const text = `{"groupSize":1,"classes":[
		{"name":"a","aim":1,"deadline":2,"effect":"side_effect","group":"all","dedupWindow":5},
		{"name":"b","aim":1,"deadline":2,"effect":"token","group":"zone","dedupWindow":5000.5},
		{"name":"c","aim":1,"deadline":2},{"name":"d","aim":1,"deadline":2,"effect":"pure"},
		{"name":"e","aim":1,"deadline":2,"effect":"token","group":"all"},
		{"name":"f","aim":1,"deadline":2,"effect":"token","group":"cell"},
		{"name":"g","aim":1,"deadline":2,"effect":"twofold","group":"rack"}],
		"domain":{"topology":"pools"},"limits":{"maxAttempts":2},"safety":{"startCapacity":0.5,"fallMultiple":2}}`
	s, err := ReadSettings([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]admission.Class{
		"a": {Repeatability: admission.NonRepeatable, DeduplicationScope: admission.ScopeFleet,
			DeduplicationWindow: 5 * time.Millisecond},
		"b": {Repeatability: admission.Deduplicated, DeduplicationScope: admission.ScopeZone,
			DeduplicationWindow: 5000500 * time.Microsecond},
		"c": {DeduplicationScope: admission.ScopePool},
		"d": {DeduplicationScope: admission.ScopePool},
		"e": {Repeatability: admission.Deduplicated},
		"f": {Repeatability: admission.Deduplicated, DeduplicationScope: admission.ScopePool},
		"g": {Repeatability: admission.NonRepeatable, DeduplicationScope: admission.ScopePool},
	}
	if len(s.Classes) != len(want) || s.SlowStartFactor != 2 {
		t.Errorf("%d classes, slow-start factor %v", len(s.Classes), s.SlowStartFactor)
	}
	for _, c := range s.Classes {
		got := admission.Class{Repeatability: c.Repeatability, DeduplicationScope: c.DeduplicationScope,
			DeduplicationWindow: c.DeduplicationWindow}
		if !reflect.DeepEqual(got, want[c.Name]) {
			t.Errorf("class %s: got %+v, want %+v", c.Name, c, want[c.Name])
		}
	}
}
