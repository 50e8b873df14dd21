package jsonclient

import "testing"

func TestParseExtras(t *testing.T) {
	for text, want := range map[string]extras{
		"":                           {preferredPool: -1, circuits: 1},
		"dest:2":                     {preferredPool: 2, circuits: 1},
		"dest:0;width:3;via:-1":      {preferredPool: 0, circuits: 3},
		"again:1":                    {preferredPool: -1, circuits: 1, reestablish: true},
		"again:2;;width:0;unknown:7": {preferredPool: -1, circuits: 0},
	} {
		if got, err := parseExtras(text); err != nil || got != want {
			t.Errorf("%q: got %+v, %v, want %+v", text, got, err, want)
		}
	}
	for _, text := range []string{"dest", "dest:x", "unknown:x", "width:1:2"} {
		if got, err := parseExtras(text); err == nil {
			t.Errorf("%q: got %+v, want an error", text, got)
		}
	}
}
