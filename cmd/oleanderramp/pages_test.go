package main

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/urfave/cli/v3"

	"oleanderramp/internal/settings"
)

// TestManualPages checks that the manual page of each command has the standard
// sections and lists all flags.
func TestManualPages(t *testing.T) {
	checkPage(qt.New(t), rootCommand(), "oleanderramp")
}

func checkPage(c *qt.C, command *cli.Command, name string) {
	comment := qt.Commentf("page of %s", name)
	page := command.Description
	c.Check(page, qt.Matches, `(?s)NAME\n    oleanderramp.* - .*`, comment)
	for _, section := range []string{"\nSYNOPSIS\n", "\nDESCRIPTION\n", "\nEXIT CODES\n"} {
		c.Check(strings.Contains(page, section), qt.IsTrue, qt.Commentf("%s:%s", name, section))
	}
	c.Check(page, qt.Contains, name, comment)
	for _, flag := range command.Flags {
		if flag.Names()[0] == "help" {
			continue // The library adds this flag to each command that has run.
		}
		c.Check(page, qt.Contains, "--"+flag.Names()[0], comment)
	}
	for line := range strings.Lines(page) {
		c.Check(len(line) <= 81, qt.IsTrue, qt.Commentf("%s: %q", name, line))
	}
	for _, sub := range command.Commands {
		checkPage(c, sub, name+" "+sub.Name)
	}
}

// TestSettingsTable checks that the limit and log settings in
// docs/OPERATIONS.md are exactly those of the settings types.
func TestSettingsTable(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	c.Assert(err, qt.IsNil)
	var got []string
	for _, row := range regexp.MustCompile("(?m)^\\| `((?:limits|log)\\.[a-z_]+)` \\|").FindAllSubmatch(page, -1) {
		got = append(got, string(row[1]))
	}
	want := append(jsonNames("limits.", settings.Limits{}), jsonNames("log.", settings.Log{})...)
	c.Check(got, qt.DeepEquals, want)
}

func jsonNames(prefix string, document any) []string {
	var names []string
	for _, field := range reflect.VisibleFields(reflect.TypeOf(document)) {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		names = append(names, prefix+name)
	}
	return names
}

// TestErrorCodes checks that docs/API.md lists exactly the error codes defined
// in the source files.
func TestErrorCodes(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/API.md")
	c.Assert(err, qt.IsNil)
	callers, operators, ok := strings.Cut(string(page), "\n# API for operators\n")
	c.Assert(ok, qt.IsTrue)
	tests := []struct{ name, page, file string }{
		{"callers", callers, "../../internal/router/outcome.go"},
		{"operators", operators, "../../pkg/client/errors.go"},
	}
	for _, test := range tests {
		c.Run(test.name, func(c *qt.C) {
			source, err := os.ReadFile(test.file)
			c.Assert(err, qt.IsNil)
			want := findSubmatches(`(?m)^\tCode\w+ .*= "(\w+)"$`, string(source))
			// This code appears only in the log, never in a response.
			delete(want, "caller_gone")
			c.Check(documentedCodes(test.page), qt.DeepEquals, want)
		})
	}
}

// documentedCodes returns the error codes in the first cell of each table row
// that has an HTTP status in its second cell.
func documentedCodes(page string) map[string]bool {
	codes := map[string]bool{}
	for cell := range findSubmatches("(?m)^\\| (`[^|]*`) \\| [45]\\d\\d \\|", page) {
		for code := range findSubmatches("`(\\w+)`", cell) {
			codes[code] = true
		}
	}
	return codes
}

// findSubmatches returns the first submatch of each match.
func findSubmatches(pattern, text string) map[string]bool {
	found := map[string]bool{}
	for _, match := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		found[match[1]] = true
	}
	return found
}
