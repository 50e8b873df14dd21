// Package proptest is what the packages with property tests share. Only tests import it.
package testutil

import (
	"flag"
	"os"
	"testing"
)

// Main runs a package's tests for its TestMain. Property tests of pgregory.net/rapid draw the same
// cases every time, unless the command line gives a seed, and leave no files behind.
func Main(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}
