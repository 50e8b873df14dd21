package config

import (
	"strings"
	"testing"
)

// Who a controller is among its peers comes from the operator's file, from the platform's number, or from where
// it listens.
func TestShareJoins(t *testing.T) {
	three := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}
	one, nine := 1, 9
	for _, c := range []struct {
		name  string
		file  OverloadControl
		cfg   Config
		want  int
		wrong string
	}{
		{name: "by place", cfg: Config{PeerListen: three[2], Peers: three}, want: 2},
		{name: "by the platform's number", cfg: Config{PeerListen: "127.0.0.1:1", Peers: three, PeerNumber: &one}, want: 1},
		{name: "by the file", file: OverloadControl{Listen: "127.0.0.1:5", Peers: three, Number: &one}, want: 1},
		{name: "file over platform", file: OverloadControl{Peers: three, Listen: three[0]}, cfg: Config{PeerListen: three[2], Peers: three[:1]}, want: 0},
		{name: "nobody", wrong: "names no peers"},
		{name: "not among them", cfg: Config{PeerListen: "127.0.0.1:1", Peers: three}, wrong: "share.number"},
		{name: "past their end", file: OverloadControl{Number: &nine}, cfg: Config{PeerListen: three[0], Peers: three}, wrong: "there are 3 peers"},
	} {
		got, err := c.file.ResolvePeers(&c.cfg)
		switch {
		case c.wrong == "" && (err != nil || got != c.want):
			t.Errorf("%s: number %d, %v; want %d", c.name, got, err, c.want)
		case c.wrong != "" && (err == nil || !strings.Contains(err.Error(), c.wrong)):
			t.Errorf("%s: %v, want an error with %q", c.name, err, c.wrong)
		}
	}
}

func TestShareSection(t *testing.T) {
	for text, wrong := range map[string]string{
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
		o, err := ParseOperator([]byte(text))
		switch {
		case wrong == "" && (err != nil || o.Overload == nil || o.Overload.Rate == 0 || o.Overload.HeartbeatInterval == 0):
			t.Errorf("%q: %+v, %v", text, o, err)
		case wrong != "" && (err == nil || !strings.Contains(err.Error(), wrong)):
			t.Errorf("%q: %v, want %q", text, err, wrong)
		}
	}
	// The platform's word on peers, and whether they may speak.
	c, err := Parse([]byte(strings.Replace(strings.Replace(good, `"settings":{`, `"peer_listen":"10.0.0.4:7946","peers":["10.0.0.4:7946"],"settings":{"myNumber":0,`, 1),
		`"connectTimeout":500`, `"connectTimeout":500,"peerMessages":false`, 1)))
	if err != nil || !c.PeerMessagesForbidden || c.PeerListen != "10.0.0.4:7946" || len(c.Peers) != 1 || c.PeerNumber == nil {
		t.Errorf("%+v, %v", c, err)
	}
}
