package sessions_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binFolder is the folder that holds the compiled programs under test.
var binFolder string

func TestMain(m *testing.M) { os.Exit(run(m)) }

// run builds the programs once and runs the tests.
func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "oleanderramp-sessions-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	build := exec.Command("go", "build", "-o", folder, "oleanderramp/cmd/oleanderramp", "oleanderramp/cmd/standin")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	binFolder = folder
	return m.Run()
}

func binaryPath(name string) string { return filepath.Join(binFolder, name) }
