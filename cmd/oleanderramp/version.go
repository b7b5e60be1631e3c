package main

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

// version is the release that this source belongs to.
const version = "0.1.0-dev"

const versionHelp = `NAME
    oleanderramp version - print the version

SYNOPSIS
    oleanderramp version [--json]

DESCRIPTION
    Prints the version of the program, the source revision that it was built
    from, if known, and the Go version that it was built with.

EXIT CODES
    0   success
    2   invalid usage
`

// versionInfo is the JSON form of the version.
type versionInfo struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:        "version",
		Description: versionHelp,
		Action:      showVersion,
	}
}

func showVersion(_ context.Context, c *cli.Command) error {
	if err := checkArgCount(c, 0); err != nil {
		return err
	}
	info := versionInfo{Version: version, Revision: revision(), Go: runtime.Version()}
	out := c.Root().Writer
	if c.Bool("json") {
		return printJSON(out, info)
	}
	fmt.Fprintf(out, "oleanderramp %s", info.Version)
	if info.Revision != "" {
		fmt.Fprintf(out, " (%s)", info.Revision)
	}
	fmt.Fprintf(out, " %s\n", info.Go)
	return nil
}

// revision returns the source revision recorded in the build information, or
// "" if there is none.
func revision() string {
	build, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, s := range build.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return ""
}
