package edge

import (
	"bytes"
	"strconv"
)

var (
	idField = []byte("id:")
	idLine  = []byte("\nid:")
)

// countEvents returns the number of events in p, which is at least one.
func countEvents(p []byte) int {
	count := bytes.Count(p, idLine)
	if bytes.HasPrefix(p, idField) {
		count++
	}
	return max(count, 1)
}

// lastEventID returns the ID of the last event in p that has one, or "".
func lastEventID(p []byte) string {
	if at := bytes.LastIndex(p, idLine); at >= 0 {
		p = p[at+1:]
	}
	value, ok := bytes.CutPrefix(p, idField)
	if !ok {
		return ""
	}
	line, _, _ := bytes.Cut(value, []byte("\n"))
	return string(bytes.TrimSpace(line))
}

// firstEventID returns the ID of the first event in p, "" if that has none. Comments and retry
// times are no events; found is false if there is nothing else.
func firstEventID(p []byte) (id string, found bool) {
	for line := range bytes.Lines(p) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 && found {
			return "", true
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case "id":
			return string(bytes.TrimSpace(value)), true
		case "", "retry":
		default:
			found = true
		}
	}
	return "", found
}

// follows reports whether the event ID next directly follows last. After an ID that is not a
// number, any ID may follow.
func follows(last, next string) bool {
	a, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return next != ""
	}
	b, err := strconv.ParseUint(next, 10, 64)
	return err == nil && b == a+1
}
