// Package proptest gives property tests a fixed seed unless the environment names another.
package proptest

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

const (
	// seedEnv is the environment variable that holds the seed.
	seedEnv = "RAPID_SEED"
	// checksEnv is the environment variable that holds the number of checks per property.
	checksEnv   = "RAPID_CHECKS"
	defaultSeed = "1"
)

// Main runs the tests of a package that uses rapid; call it from TestMain.
func Main(m *testing.M) {
	if err := Configure(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// Configure sets rapid's seed and number of checks from the environment.
func Configure() error {
	seed := os.Getenv(seedEnv)
	if seed == "" {
		seed = defaultSeed
	}
	if err := flag.Set("rapid.seed", seed); err != nil {
		return err
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		return err
	}
	if checks := os.Getenv(checksEnv); checks != "" {
		return flag.Set("rapid.checks", checks)
	}
	return nil
}
