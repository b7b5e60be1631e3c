package sessions_test

import "strings"

// shownLogLines is how many lines of the log of an ended process are shown.
const shownLogLines = 20

// lastLines returns the last lines of a log.
func lastLines(text string) string {
	lines := strings.Split(strings.TrimRight(text, "\n"), "\n")
	return strings.Join(lines[max(0, len(lines)-shownLogLines):], "\n")
}
