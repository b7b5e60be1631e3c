package event_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var (
	definition = regexp.MustCompile(`(?m)^\t(\w+) += define\((\d+),`)
	usage      = regexp.MustCompile(`\bevent\.(\w+)\b`)
)

// usedEvents returns the names that follow "event." in the non-test source
// files.
func usedEvents(c *qt.C) map[string]bool {
	used := map[string]bool{}
	for _, root := range []string{"../../cmd", "../../internal", "../../platform"} {
		err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			source, err := os.ReadFile(path)
			for _, match := range usage.FindAllSubmatch(source, -1) {
				used[string(match[1])] = true
			}
			return err
		})
		c.Assert(err, qt.IsNil)
	}
	return used
}

// TestPageListsEventsNotLogged checks that the section "Not logged yet" of
// docs/EVENTS.md lists exactly the events that no source file uses. On failure
// it prints the correct list.
func TestPageListsEventsNotLogged(t *testing.T) {
	c := qt.New(t)
	catalogue, err := os.ReadFile("catalogue.go")
	c.Assert(err, qt.IsNil)
	used := usedEvents(c)
	var want []string
	for _, match := range definition.FindAllSubmatch(catalogue, -1) {
		if !used[string(match[1])] {
			want = append(want, string(match[2]))
		}
	}
	page, err := os.ReadFile("../../docs/EVENTS.md")
	c.Assert(err, qt.IsNil)
	_, section, found := strings.Cut(string(page), "\n## Not logged yet\n")
	c.Assert(found, qt.IsTrue)
	got := regexp.MustCompile(`\b\d{3}\b`).FindAllString(section, -1)
	c.Check(got, qt.ContentEquals, want, qt.Commentf("want: %s", strings.Join(want, ", ")))
}
