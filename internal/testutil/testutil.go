// Package testutil holds helpers that tests of several packages share. Only tests import it.
package testutil

import (
	"flag"
	"os"
	"testing"
)

// propertyTestDefaults are flags of pgregory.net/rapid: every run draws the same cases and leaves no files behind.
var propertyTestDefaults = map[string]string{
	"rapid.seed":       "7",
	"rapid.nofailfile": "true",
}

// Main runs a package's tests; TestMain calls it. It sets propertyTestDefaults unless the command line sets the flags.
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
