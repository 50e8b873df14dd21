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
	if c.Seed != 0x8c1f30d27a5be964 || c.Connect != 500*time.Millisecond || c.Settings.Release != 300*time.Millisecond {
		t.Errorf("%+v", c)
	}
	m := c.Known.Events[0].Members.Members[0]
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

func TestH248(t *testing.T) {
	if h, err := LoadH248("../../deploy/h248.example.toml"); err != nil || len(h.Servers) != 1 || h.Servers[0].ID != "s-h248-1" {
		t.Errorf("the example: %+v, %v", h, err)
	}
	if h, err := LoadH248(filepath.Join(t.TempDir(), "none.toml")); h != nil || err != nil {
		t.Errorf("no file: %+v, %v", h, err)
	}
	for _, text := range []string{"listen = 3", "", "listen = \"127.0.0.1:1\"\nodd = 1", "listen = \"127.0.0.1:1\"\nadmin = \"10.0.0.1:2\"",
		"listen = \"127.0.0.1:1\"\n[[server]]\nid = \"\"\naddress = \"127.0.0.1:2\""} {
		path := filepath.Join(t.TempDir(), "h248.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if h, err := LoadH248(path); err == nil {
			t.Errorf("%q was read as %+v", text, h)
		}
	}
}
