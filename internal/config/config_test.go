package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const good = `{"name":"n3","listen":"10.0.0.4:5060","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "names":"10.2.0.1:8600","known":{"n":1,"events":[{"n":1,"members":{"revision":1,"complete":true,"members":[{"id":"s","host_port":"10.1.0.9:5060",
 "locality":"east","flavor":"std","cell":2,"phase":"Ready","size":4,"up_since_ms":7}]}}]},
 "settings":{"groupSize":3,"classes":[{"name":"voice","aim":900,"deadline":3000,"credit":1}],
 "domain":{"topology":"pools","releaseGuard":300},"limits":{"maxAttempts":4,"connectTimeout":500}}}`

func TestParse(t *testing.T) {
	c, err := Parse([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if c.Seed != 0x8c1f30d27a5be964 || c.DialTimeout != 500*time.Millisecond || c.Settings.RetryGuard != 300*time.Millisecond {
		t.Errorf("%+v", c)
	}
	m := c.KnownEndpoints.Events[0].Endpoints.Endpoints[0]
	if s := m.Server(); s.Started != 7*time.Millisecond || s.Pool != 2 {
		t.Errorf("%+v", s)
	}
}

func TestBadConfigurations(t *testing.T) {
	for from, to := range map[string]string{`"10.0.0.4:5060"`: `"somewhere"`, `"8c1f30d27a5be964"`: `"x"`, `"memory_mb":192`: `"memory_mb":0`,
		`"sockets":1024`: `"sockets":3`, `"Ready"`: `"Maybe"`, `"connectTimeout":500`: `"connectTimeout":0`, `"names":"10.2.0.1:8600"`: `"names":""`,
		`"10.1.0.9:5060"`: `"10.1.0.9"`, `{"name"`: `"name"`} {
		if _, err := Parse([]byte(strings.Replace(good, from, to, 1))); err == nil {
			t.Errorf("%s was taken in place of %s", to, from)
		}
	}
	if _, err := Load(""); err == nil || !strings.Contains(err.Error(), "RELAY_CONFIG") {
		t.Errorf("no path: %v", err)
	}
}

func TestOperator(t *testing.T) {
	text, err := os.ReadFile("../../deploy/olivedale.example.toml")
	if err != nil {
		t.Fatal(err)
	}
	o, err := ParseOperator(text)
	if err != nil || len(o.H248.Servers) != 1 || o.H248.Servers[0].ID != "s-h248-1" || o.Records.Total != 512<<20 {
		t.Errorf("the example: %+v, %v", o, err)
	}
	// Every key of the example has a comment, with its default where it has one.
	for i, line := range strings.Split(string(text), "\n") {
		if strings.Contains(line, " = ") && !(strings.Contains(line, "# ") && strings.Contains(line, "default")) {
			t.Errorf("line %d of the example has no comment that tells the default: %s", i+1, line)
		}
	}
	if o, old, err := LoadOperator(t.TempDir()); o == nil || o.H248 != nil || o.Records != nil || old || err != nil {
		t.Errorf("no file: %+v, %v, %v", o, old, err)
	}
	if o, err = ParseOperator([]byte("[records]\ndir = \"/x\"")); err != nil || o.Records.Queue != 1<<20 || o.Records.Sync != Duration(200*time.Millisecond) {
		t.Errorf("defaults: %+v, %v", o, err)
	}
}

// What is wrong is told with line and key.
func TestBadOperatorFiles(t *testing.T) {
	for text, want := range map[string]string{
		"[log]\nlevel = \"loud\"": "line 1: log",
		"[h248]\n\nlisten = 3":    "line 3 (last key \"h248.listen\")",
		"[h248]":                  "line 1: h248.listen",
		"[h248]\nlisten = \"127.0.0.1:1\"\nodd = 1":                                         "line 3: h248.odd: unknown key",
		"[h248]\nlisten = \"127.0.0.1:1\"\nadmin = \"10.0.0.1:2\"":                          "line 3: h248.admin",
		"[h248]\nlisten=\"127.0.0.1:1\"\n[[h248.server]]\nid=\"\"\naddress=\"127.0.0.1:2\"": "line 4: h248.server.id",
		"[records]\ndir = \"x\"\nqueue = \"1000000\"":                                       "line 3: records.queue",
		"[records]\ndir = \"x\"\nsync = \"5\"":                                              "line 3: records.sync",
		"[records]\ndir = \"x\"\n# sync\nsync = \"1h\"":                                     "line 4: records.sync",
		"[records]\ntotal = \"1MiB\"\ndir = \"x\"":                                          "line 2: records.total",
		"[recods]\ndir = \"x\"":                                                             "line 1: recods",
		"[records\n":                                                                        "line 2:",
	} {
		if o, err := ParseOperator([]byte(text)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: want %q, got %+v, %v", text, want, o, err)
		}
	}
}

// A file of the front alone, as it was before, still switches it on; both at once do not.
func TestOldH248File(t *testing.T) {
	root := t.TempDir()
	write := func(name, text string) {
		t.Helper()
		if err := os.MkdirAll(filepath.Join(root, "deploy"), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(root, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(H248Path, "listen = \"127.0.0.1:1\"")
	if o, old, err := LoadOperator(root); err != nil || !old || o.H248 == nil {
		t.Errorf("%+v, %v, %v", o, old, err)
	}
	write(OperatorPath, "[h248]\nlisten = \"127.0.0.1:2\"")
	if _, _, err := LoadOperator(root); err == nil || !strings.Contains(err.Error(), "both stand") {
		t.Error(err)
	}
}
