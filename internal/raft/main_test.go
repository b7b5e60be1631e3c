package raft_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain makes rapid draw the same values on each run, unless -rapid.seed is
// set.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
