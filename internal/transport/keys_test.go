package transport

import (
	"os"
	"path/filepath"
	"testing"
)

func TestLoadKeys(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	for _, test := range []struct {
		name, text string
		want       int // number of keys; 0: an error
	}{
		{"two", "000102030405060708090a0b0c0d0e0f # signs\n\n101112131415161718191a1b1c1d1e1f\n", 2},
		{"empty", "", 0},
		{"too short", "0001\n", 0},
		{"not hexadecimal", "xyz\n", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			if err := os.WriteFile(path, []byte(test.text), 0o600); err != nil {
				t.Fatal(err)
			}
			keys, err := LoadKeys(path)
			if len(keys) != test.want || (err == nil) != (test.want > 0) {
				t.Errorf("%d keys, error %v, want %d keys", len(keys), err, test.want)
			}
		})
	}
	if _, err := LoadKeys(path + ".not"); err == nil {
		t.Error("no error for a file that does not exist")
	}
}
