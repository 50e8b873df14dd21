package main

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"syscall"
	"testing"
)

// gcTrace matches a line of GODEBUG=gctrace=1 and captures the number of processors at that collection.
var gcTrace = regexp.MustCompile(`(?m)^gc \d+ @.* (\d+) P`)

// The program sets GOMAXPROCS before it allocates: reading a configuration large enough to trigger garbage collections
// causes none that runs with more than one processor.
func TestNoCollectionRunsWithMoreProcessors(t *testing.T) {
	p := prepare(t, "127.0.0.1:9")
	text, err := os.ReadFile(p.configPath)
	if err != nil {
		t.Fatal(err)
	}
	large := strings.Replace(string(text), `"settings":`, `"known":`+largeEndpointHistory()+`,"settings":`, 1)
	if err := os.WriteFile(p.configPath, []byte(large), 0o600); err != nil {
		t.Fatal(err)
	}
	p.Env = append(p.Env, "GODEBUG=gctrace=1")
	p.run(t)
	p.connect(t)
	p.signal(t, syscall.SIGTERM)
	if err := p.Wait(); err != nil {
		t.Fatal(err)
	}
	collections := gcTrace.FindAllStringSubmatch(p.log.String(), -1)
	if len(collections) == 0 {
		t.Error("no garbage collection ran: the configuration is too small for this test")
	}
	for _, c := range collections {
		if c[1] != fmt.Sprint(maxProcs) {
			t.Errorf("collection ran with more than one processor: %s", c[0])
		}
	}
}

// largeEndpointHistory returns about 4 MB of endpoint events that all list the same endpoints.
func largeEndpointHistory() string {
	const events, endpoints = 600, 60
	var list []string
	for i := range endpoints {
		list = append(list, fmt.Sprintf(
			`{"id":"s-%d","host_port":"127.0.0.1:9","locality":"east","flavor":"std","cell":0,"phase":"Ready"}`, i))
	}
	event := fmt.Sprintf(`{"n":%%d,"members":{"revision":1,"complete":true,"members":[%s]}}`, strings.Join(list, ","))
	var all []string
	for n := range events {
		all = append(all, fmt.Sprintf(event, n+1))
	}
	return fmt.Sprintf(`{"n":%d,"events":[%s]}`, events, strings.Join(all, ","))
}
