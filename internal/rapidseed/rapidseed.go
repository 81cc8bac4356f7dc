// Package rapidseed fixes the seed of property-based tests (pgregory.net/rapid), so that CI results are reproducible:
//
//	func TestMain(m *testing.M) { rapidseed.Main(m) }
//
// Only tests use this package. To run another seed: go test -rapid.seed=N.
package rapidseed

import (
	"flag"
	"os"
	"testing"
)

// Main runs the tests with seed 7, unless the command line sets another, and without writing failure files.
func Main(m *testing.M) {
	SetSeed()
	os.Exit(m.Run())
}

// SetSeed sets the seed for packages that have their own TestMain.
func SetSeed() {
	flag.Parse()
	seedGiven := false
	flag.Visit(func(f *flag.Flag) { seedGiven = seedGiven || f.Name == "rapid.seed" })
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f != nil && !(seedGiven && name == "rapid.seed") {
			if err := f.Value.Set(value); err != nil {
				panic(err)
			}
		}
	}
}
