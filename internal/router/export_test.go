package router

import (
	"maps"
	"strconv"
)

// MaxUnsent is how many unsent attempts are recorded.
const MaxUnsent = maxUnsentAttempts

// Statuses returns the HTTP status of each code that a caller can receive.
func Statuses() map[Code]int {
	seen := maps.Clone(statuses)
	delete(seen, CodeCallerGone)
	return seen
}

// UnsentAfter reports whether an attempt is still recorded after n others.
func UnsentAfter(n int) bool {
	u := newUnsentAttempts()
	u.add("first")
	u.add("first")
	for i := range n {
		u.add(strconv.Itoa(i))
	}
	return u.contains("first")
}
