// Package testutil contains helpers for the tests of several packages. Only tests import it.
package testutil

import (
	"flag"
	"os"
	"testing"
)

// propertyTestDefaults are flags of pgregory.net/rapid with which every run generates the same test cases and writes no
// failure files.
var propertyTestDefaults = map[string]string{
	"rapid.seed":       "7",
	"rapid.nofailfile": "true",
}

// Main runs the tests of a package and exits; call it from TestMain. It applies propertyTestDefaults to flags that have
// their default value.
func Main(m *testing.M) {
	flag.Parse()
	for name, value := range propertyTestDefaults {
		f := flag.Lookup(name)
		if f.Value.String() == f.DefValue {
			_ = f.Value.Set(value) // the value is valid
		}
	}
	os.Exit(m.Run())
}
