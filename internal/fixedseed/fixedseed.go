// Package fixedseed makes property tests reproducible: every run of a test has the
// same result.
package fixedseed

import (
	"flag"
	"os"
	"testing"
)

// Main runs the tests of a package, for use as TestMain, and exits. Property tests use
// a fixed seed, unless the flag -rapid.seed sets another one.
func Main(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
