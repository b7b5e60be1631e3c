package event_test

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/event"
)

// columns is the number of cells in a row of the event table.
const columns = 6

var eventRow = regexp.MustCompile(`^\| \d+ \|`)

// documentedEvents returns "number level message" for each row of the table in
// docs/EVENTS.md.
func documentedEvents(c *qt.C) []string {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	c.Assert(err, qt.IsNil)
	var rows []string
	for line := range strings.Lines(string(page)) {
		if !eventRow.MatchString(line) {
			continue
		}
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		c.Assert(cells, qt.HasLen, columns, qt.Commentf("%s", line))
		for i, cell := range cells {
			cells[i] = strings.TrimSpace(cell)
			c.Check(cells[i], qt.Not(qt.Equals), "", qt.Commentf("%s", line))
		}
		rows = append(rows, strings.Join(cells[:3], " "))
	}
	return rows
}

func TestPageMatchesCatalogue(t *testing.T) {
	c := qt.New(t)
	var got []string
	for _, e := range event.All() {
		got = append(got, fmt.Sprintf("%d %s %s", e.Number(), e.Level(), e.Message()))
	}
	c.Assert(documentedEvents(c), qt.DeepEquals, got)
}

func TestEventsAreUnique(t *testing.T) {
	c := qt.New(t)
	numbers := map[event.Number]bool{}
	messages := map[string]bool{}
	for _, e := range event.All() {
		c.Check(numbers[e.Number()], qt.IsFalse, qt.Commentf("number %d", e.Number()))
		c.Check(messages[e.Message()], qt.IsFalse, qt.Commentf("message %q", e.Message()))
		numbers[e.Number()] = true
		messages[e.Message()] = true
	}
}
