package main

import (
	"bytes"
	"path/filepath"
	"testing"

	"olivedale/internal/goldentest"
)

// The result of a day in virtual time matches the golden file byte for byte.
func TestGoldenDays(t *testing.T) {
	for name, args := range map[string][]string{
		"sever": {"--seed", "7"},
		"lost":  {"--seed", "3"},
	} {
		t.Run(name, func(t *testing.T) {
			c := runCommand()
			var out bytes.Buffer
			c.SetOut(&out)
			c.SetArgs(append([]string{"../../deploy/sim/" + name + ".toml", "--json", "--days", "1"}, args...))
			if err := c.Execute(); err != nil {
				t.Fatal(err)
			}
			goldentest.CompareFile(t, filepath.Join("testdata", "golden", name+".json"), out.Bytes())
		})
	}
}
