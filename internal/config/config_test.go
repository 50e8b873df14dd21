package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// validConfig is a valid platform file.
const validConfig = `{"name":"n3","listen":"10.0.0.4:5060","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"names":"10.2.0.1:8600",
 "known":{"n":1,"events":[{"n":1,"members":{"revision":1,"complete":true,"members":[
 {"id":"s","host_port":"10.1.0.9:5060",
 "locality":"east","flavor":"std","cell":2,"phase":"Ready","size":4,"up_since_ms":7}]}}]},
 "settings":{"groupSize":3,"classes":[{"name":"voice","aim":900,"deadline":3000,"credit":1}],
 "domain":{"topology":"pools","releaseGuard":300},"limits":{"maxAttempts":4,"connectTimeout":500}}}`

func TestParse(t *testing.T) {
	c, err := Parse([]byte(validConfig))
	if err != nil {
		t.Fatal(err)
	}
	hasTimeouts := c.DialTimeout == 500*time.Millisecond && c.Settings.RetryGuard == 300*time.Millisecond
	if c.Seed != 0x8c1f30d27a5be964 || !hasTimeouts {
		t.Errorf("%+v", c)
	}
	endpoint := c.KnownEndpoints.Events[0].Endpoints.Endpoints[0]
	if server := endpoint.Server(); server.Started != 7*time.Millisecond || server.Pool != 2 {
		t.Errorf("%+v", server)
	}
}

func TestInvalidConfigurations(t *testing.T) {
	for from, to := range map[string]string{
		`"10.0.0.4:5060"`:         `"somewhere"`,
		`"8c1f30d27a5be964"`:      `"x"`,
		`"memory_mb":192`:         `"memory_mb":0`,
		`"sockets":1024`:          `"sockets":3`,
		`"Ready"`:                 `"Maybe"`,
		`"connectTimeout":500`:    `"connectTimeout":0`,
		`"names":"10.2.0.1:8600"`: `"names":""`,
		`"10.1.0.9:5060"`:         `"10.1.0.9"`,
		`{"name"`:                 `"name"`,
	} {
		t.Run(from, func(t *testing.T) {
			if _, err := Parse([]byte(strings.Replace(validConfig, from, to, 1))); err == nil {
				t.Errorf("%s was accepted in place of %s", to, from)
			}
		})
	}
	if _, err := Load(""); !errors.Is(err, ErrNoPath) || !strings.Contains(err.Error(), "RELAY_CONFIG") {
		t.Errorf("no path: %v", err)
	}
}

// Guards against files that are taken in part: a reload accepted settings that the start refuses. Each broken file names
// another discovery address, and nothing is taken from it.
func TestBrokenPlatformFiles(t *testing.T) {
	moved := strings.Replace(validConfig, "10.2.0.1:8600", "10.2.0.9:8600", 1)
	for name, text := range map[string]string{
		"empty":               "",
		"only white space":    " \n",
		"null":                "null",
		"empty object":        "{}",
		"incomplete":          moved[:len(moved)/2],
		"last brace missing":  moved[:len(moved)-1],
		"something behind it": moved + "}",
		"no name":             strings.Replace(moved, `"name":"n3",`, "", 1),
		"no listen":           strings.Replace(moved, `"listen":"10.0.0.4:5060",`, "", 1),
		"no seed":             strings.Replace(moved, `"seed":"8c1f30d27a5be964",`, "", 1),
		"no limits":           strings.Replace(moved, `"limits":{"cores"`, `"limit":{"cores"`, 1),
		"no sockets":          strings.Replace(moved, `,"sockets":1024`, "", 1),
		"no names":            strings.Replace(moved, `"names":"10.2.0.9:8600",`, "", 1),
		"no known":            strings.Replace(moved, `"known"`, `"unknown"`, 1),
		"no settings":         strings.Replace(moved, `"settings"`, `"setting"`, 1),
		"no group size":       strings.Replace(moved, `"groupSize":3,`, "", 1),
		"no classes":          strings.Replace(moved, `"classes"`, `"class"`, 1),
		"empty classes":       strings.Replace(moved, `{"name":"voice","aim":900,"deadline":3000,"credit":1}`, "", 1),
		"no class name":       strings.Replace(moved, `"name":"voice",`, "", 1),
		"no aim":              strings.Replace(moved, `"aim":900,`, "", 1),
		"no deadline":         strings.Replace(moved, `"deadline":3000,`, "", 1),
		"no credit":           strings.Replace(moved, `,"credit":1`, "", 1),
		"no topology":         strings.Replace(moved, `"topology":"pools",`, "", 1),
		"no release guard":    strings.Replace(moved, `,"releaseGuard":300`, "", 1),
		"no attempts":         strings.Replace(moved, `"maxAttempts":4,`, "", 1),
		"no connect timeout":  strings.Replace(moved, `,"connectTimeout":500`, "", 1),
		"deadline 0":          strings.Replace(moved, `"deadline":3000`, `"deadline":0`, 1),
		"negative deadline":   strings.Replace(moved, `"deadline":3000`, `"deadline":-3000`, 1),
		"deadline as text":    strings.Replace(moved, `"deadline":3000`, `"deadline":"3000"`, 1),
		"deadline null":       strings.Replace(moved, `"deadline":3000`, `"deadline":null`, 1),
		"endless deadline":    strings.Replace(moved, `"deadline":3000`, `"deadline":1e999`, 1),
		"attempts 0":          strings.Replace(moved, `"maxAttempts":4`, `"maxAttempts":0`, 1),
		"negative attempts":   strings.Replace(moved, `"maxAttempts":4`, `"maxAttempts":-1`, 1),
		"attempts as text":    strings.Replace(moved, `"maxAttempts":4`, `"maxAttempts":"4"`, 1),
		"attempts null":       strings.Replace(moved, `"maxAttempts":4`, `"maxAttempts":null`, 1),
	} {
		t.Run(name, func(t *testing.T) {
			if text == moved {
				t.Fatal("the file is not broken")
			}
			if c, err := Parse([]byte(text)); err == nil || c != nil {
				t.Errorf("the file was accepted: %+v", c)
			}
		})
	}
}

// Valid files are accepted: with another discovery address, other classes, fewer attempts, unknown and further keys.
func TestValidPlatformFiles(t *testing.T) {
	const class = `{"name":"voice","aim":900,"deadline":3000,"credit":1}`
	for name, change := range map[string][2]string{
		"another discovery address": {"10.2.0.1:8600", "10.2.0.9:8600"},
		"another class":             {class, `{"name":"video","aim":500,"deadline":800,"credit":0,"effect":"side_effect"}`},
		"further classes":           {class, class + `,{"name":"video","aim":1,"deadline":1,"credit":0.5,"effect":"token","group":"zone"}`},
		"fewer attempts":            {`"maxAttempts":4`, `"maxAttempts":1`},
		"fractional deadline":       {`"deadline":3000`, `"deadline":3000.5`},
		"no release guard needed":   {`"releaseGuard":300`, `"releaseGuard":0`},
		"unknown keys":              {`"settings":{`, `"more":[1],"settings":{"later":{"deadline":0},`},
		"no endpoints":              {validConfig[strings.Index(validConfig, `"known"`):strings.Index(validConfig, `"settings"`)], `"known":{"n":0,"events":[]},`},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(validConfig, change[0], change[1], 1)
			if text == validConfig {
				t.Fatal("the file is unchanged")
			}
			if _, err := Parse([]byte(text)); err != nil {
				t.Error(err)
			}
		})
	}
}

// Errors in the platform's file contain the key as the field of a KeyError.
func TestConfigurationErrorsNameTheKey(t *testing.T) {
	for _, c := range []struct {
		key  string
		from string
		to   string
	}{
		{"listen", `"10.0.0.4:5060"`, `"somewhere"`},
		{"names", `"names":"10.2.0.1:8600"`, `"names":""`},
		{"seed", `"8c1f30d27a5be964"`, `"x"`},
		{"limits", `"sockets":1024`, `"sockets":3`},
		{"settings.limits.connectTimeout", `"connectTimeout":500`, `"connectTimeout":0`},
		{"known", `"Ready"`, `"Maybe"`},
	} {
		t.Run(c.key, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validConfig, c.from, c.to, 1)))
			var keyError *KeyError
			if !errors.As(err, &keyError) || keyError.Key != c.key {
				t.Errorf("%v, want key %s", err, c.key)
			}
		})
	}
}

func TestOperator(t *testing.T) {
	text, err := os.ReadFile("../../deploy/olivedale.example.toml")
	if err != nil {
		t.Fatal(err)
	}
	o, err := ParseOperator(text)
	if err != nil || len(o.H248.Servers) != 1 || o.H248.Servers[0].ID != "s-h248-1" || o.Records.Total != 512<<20 {
		t.Errorf("example file: %+v, %v", o, err)
	}
	// Every key in the example file has a comment that gives its default or says "no default".
	for i, line := range strings.Split(string(text), "\n") {
		hasKey := strings.Contains(line, " = ")
		namesDefault := strings.Contains(line, "# ") && strings.Contains(line, "default")
		if hasKey && !namesDefault {
			t.Errorf("line %d of the example file has no comment with the default: %s", i+1, line)
		}
	}
	o, usesH248Path, err := LoadOperator(t.TempDir())
	if o == nil || o.H248 != nil || o.Records != nil || usesH248Path || err != nil {
		t.Errorf("missing file: %+v, %v, %v", o, usesH248Path, err)
	}
	o, err = ParseOperator([]byte("[records]\ndir = \"/x\""))
	if err != nil || o.Records.Queue != 1<<20 || o.Records.Sync != Duration(200*time.Millisecond) {
		t.Errorf("defaults: %+v, %v", o, err)
	}
}

// Errors in the operator's file begin with the line and, where known, the key.
func TestInvalidOperatorFiles(t *testing.T) {
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
		t.Run(want, func(t *testing.T) {
			if o, err := ParseOperator([]byte(text)); err == nil || !strings.HasPrefix(err.Error(), want) {
				t.Errorf("%q: want %q, got %+v, %v", text, want, o, err)
			}
		})
	}
}

// The line and the key of an error are available as fields, without parsing its text.
func TestOperatorErrorTypes(t *testing.T) {
	_, err := ParseOperator([]byte("[records]\ndir = \"x\"\nodd = 1"))
	var lineError *LineError
	var keyError *KeyError
	if !errors.Is(err, ErrUnknownKey) || !errors.As(err, &lineError) || !errors.As(err, &keyError) {
		t.Fatalf("%#v", err)
	}
	if lineError.Line != 3 || keyError.Key != "records.odd" {
		t.Errorf("line %d, key %s", lineError.Line, keyError.Key)
	}
}

// The deprecated file of the H.248 frontend still enables it, but is rejected together with section [h248].
func TestDeprecatedH248File(t *testing.T) {
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
	if o, usesH248Path, err := LoadOperator(root); err != nil || !usesH248Path || o.H248 == nil {
		t.Errorf("%+v, %v, %v", o, usesH248Path, err)
	}
	write(OperatorPath, "[h248]\nlisten = \"127.0.0.1:2\"")
	if _, _, err := LoadOperator(root); err == nil || !strings.Contains(err.Error(), "both exist") {
		t.Error(err)
	}
}
