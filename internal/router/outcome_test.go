package router_test

import (
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/router"
)

var codeRow = regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| ([0-9]{3}) \\|")

// TestCodesAreDocumented checks that the code and docs/API.md list the same
// codes with the same statuses.
func TestCodesAreDocumented(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/API.md")
	c.Assert(err, qt.IsNil)
	callers, _, found := strings.Cut(string(page), "# API for operators")
	c.Assert(found, qt.IsTrue)
	documented := make(map[router.Code]int)
	for _, row := range codeRow.FindAllStringSubmatch(callers, -1) {
		documented[router.Code(row[1])], err = strconv.Atoi(row[2])
		c.Assert(err, qt.IsNil)
	}
	c.Check(documented, qt.DeepEquals, router.Statuses())
}
