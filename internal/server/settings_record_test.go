package server

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"olivedale/internal/config"
	"olivedale/internal/record"
)

// The records keep the active settings as a text with a digest, and analyses compare the digests of instances with
// different program versions. The stored bytes must therefore not change when names in the source change.
func TestSettingsRecordKeepsItsBytes(t *testing.T) {
	cfg, err := config.Parse([]byte(`{"name":"n0","listen":"127.0.0.1:0","seed":"1f","names":"127.0.0.1:9",
		"limits":{"memory_mb":192,"sockets":1024},"known":{"n":0,"events":[]},"settings":{"groupSize":3,"discovery":"ask","classes":[
		{"name":"voice","aim":2000,"deadline":9000,"credit":1,"lateWorth":0.2,"effect":"token","group":"zone","dedupWindow":4000},
		{"name":"alarm","aim":500,"deadline":3000,"credit":12.5,"effect":"no"}],
		"domain":{"topology":"pools","releaseGuard":300,"resend":1500,"skilledPools":[[0,1],[2]]},
		"limits":{"maxAttempts":4,"cancel":true,"connectTimeout":500,"retryAfter":false},
		"safety":{"startCapacity":0.5,"cold":1000,"fallMultiple":1.5}}}`))
	if err != nil {
		t.Fatal(err)
	}
	records := &config.Records{Dir: t.TempDir()}
	if err := records.Validate(); err != nil {
		t.Fatal(err)
	}
	node, err := New(cfg, Options{Records: records})
	if err != nil {
		t.Fatal(err)
	}
	node.recorder.close()
	want, err := os.ReadFile(filepath.Join("testdata", "settings_record.txt"))
	if err != nil {
		t.Fatal(err)
	}
	if got := readSettingsRecord(t, records.Dir); got != strings.TrimSuffix(string(want), "\n") {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}

// readSettingsRecord returns the text of the settings record in a store.
func readSettingsRecord(t *testing.T, dir string) string {
	t.Helper()
	reader, err := record.OpenDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = reader.Close() }()
	for {
		var r record.Record
		err := reader.Next(&r)
		if errors.Is(err, io.EOF) {
			t.Fatal("the store has no settings record")
		}
		if err != nil {
			t.Fatal(err)
		}
		if r.Kind == record.KindConfig && r.By == "settings" {
			return r.Text
		}
	}
}
