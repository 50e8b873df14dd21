package callid

import "testing"

func TestValid(t *testing.T) {
	for id, want := range map[string]bool{
		"00000000000000aa":   true,
		"9b1f03AA5c7e2D41":   true,
		"":                   false,
		"9b1f03aa5c7e2d4":    false,
		"9b1f03aa5c7e2d411":  false,
		"9b1f03aa5c7e2d4g":   false,
		"9b1f03aa5c7e2d\r\n": false,
	} {
		if got := Valid(id); got != want {
			t.Errorf("%q: got %v, want %v", id, got, want)
		}
	}
}
