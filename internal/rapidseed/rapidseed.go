// Package rapidseed gives random test runs the same seed each time, so that CI comes to the same verdict:
//
//	func TestMain(m *testing.M) { rapidseed.Main(m) }
//
// Only tests use it. Other seeds: go test -rapid.seed=N.
package rapidseed

import (
	"flag"
	"os"
	"testing"
)

// Main runs the tests with seed 7, unless the command line names another, and leaves no files of failures behind.
func Main(m *testing.M) {
	SetSeed()
	os.Exit(m.Run())
}

// SetSeed sets the seed, for packages whose TestMain does more.
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
