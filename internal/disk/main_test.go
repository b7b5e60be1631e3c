package disk_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that each run draws the same values,
// unless -rapid.seed is set.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
