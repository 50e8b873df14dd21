package config

import (
	"strings"
	"testing"
)

// The number of a controller is taken from the operator's file, else from the platform, else from the index of its
// address in the list of peers.
func TestResolvePeers(t *testing.T) {
	three := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}
	one, nine := 1, 9
	for _, c := range []struct {
		name      string
		file      OverloadControl
		cfg       Config
		want      int
		wantError string
	}{
		{name: "by address", cfg: Config{PeerListen: three[2], Peers: three}, want: 2},
		{name: "by the platform's number", cfg: Config{PeerListen: "127.0.0.1:1", Peers: three, PeerNumber: &one},
			want: 1},
		{name: "by the file", file: OverloadControl{Listen: "127.0.0.1:5", Peers: three, Number: &one}, want: 1},
		{name: "file before platform", file: OverloadControl{Peers: three, Listen: three[0]},
			cfg: Config{PeerListen: three[2], Peers: three[:1]}, want: 0},
		{name: "no peers", wantError: "names no peers"},
		{name: "not listed", cfg: Config{PeerListen: "127.0.0.1:1", Peers: three}, wantError: "share.number"},
		{name: "out of range", file: OverloadControl{Number: &nine}, cfg: Config{PeerListen: three[0], Peers: three},
			wantError: "there are 3 peers"},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := c.file.ResolvePeers(&c.cfg)
			switch {
			case c.wantError == "" && (err != nil || got != c.want):
				t.Errorf("number %d, %v; want %d", got, err, c.want)
			case c.wantError != "" && (err == nil || !strings.Contains(err.Error(), c.wantError)):
				t.Errorf("%v, want an error with %q", err, c.wantError)
			}
		})
	}
}

func TestOverloadControlSection(t *testing.T) {
	for text, wantError := range map[string]string{
		"[share]\n":                             "",
		"[share]\nrate = 100000\n":              "line 2: share.rate",
		"[share]\nperiod = \"1ms\"\n":           "line 2: share.period",
		"[share]\nbeat = \"1h\"\n":              "line 2: share.beat",
		"[share]\npeers = [\"x\"]\n":            "line 2: share.peers",
		"[share]\nnumber = -1\n":                "line 2: share.number",
		"[share]\nlisten = \"x\"\n":             "line 2: share.listen",
		"[share]\nspeak = true\n":               "line 2: share.speak",
		"[share]\nkeys = 3\n":                   "share.keys",
		"[share]\nnumber = 3\nrate = 10\n":      "",
		"[share]\nperiod = \"1s\"\nbeat=\"5s\"": "",
	} {
		t.Run(text, func(t *testing.T) {
			o, err := ParseOperator([]byte(text))
			if wantError != "" {
				if err == nil || !strings.Contains(err.Error(), wantError) {
					t.Errorf("%v, want %q", err, wantError)
				}
				return
			}
			if err != nil || o.Overload == nil || o.Overload.Rate == 0 || o.Overload.HeartbeatInterval == 0 {
				t.Errorf("%+v, %v", o, err)
			}
		})
	}
}

// The platform's file names the peers and says whether they may exchange messages.
func TestParsePeers(t *testing.T) {
	text := strings.Replace(validConfig, `"settings":{`,
		`"peer_listen":"10.0.0.4:7946","peers":["10.0.0.4:7946"],"settings":{"myNumber":0,`, 1)
	text = strings.Replace(text, `"connectTimeout":500`, `"connectTimeout":500,"peerMessages":false`, 1)
	c, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if !c.PeerMessagesForbidden || c.PeerListen != "10.0.0.4:7946" || len(c.Peers) != 1 || c.PeerNumber == nil {
		t.Errorf("%+v", c)
	}
}
