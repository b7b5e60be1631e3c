package bundle

import (
	"strconv"
	"unicode"

	"oleanderramp/pkg/finding"
)

// isPrintable reports whether text has 1 to limit bytes and consists of
// printable characters other than spaces.
func isPrintable(text string, limit int) bool {
	if text == "" || len(text) > limit {
		return false
	}
	for _, c := range text {
		if !unicode.IsPrint(c) || c == ' ' || c == unicode.ReplacementChar {
			return false
		}
	}
	return true
}

func checkRange(list *finding.List, place string, value, minimum, maximum int) {
	if value < minimum || value > maximum {
		list.Addf(place, "must be from %d to %d, not %d", minimum, maximum, value)
	}
}

func checkCount(list *finding.List, place string, count, minimum, maximum int) {
	if count < minimum || count > maximum {
		list.Addf(place, "must have from %d to %d entries, not %d", minimum, maximum, count)
	}
}

// uniqueSet detects duplicate values. It maps each value to the place where it
// was first seen.
type uniqueSet struct {
	noun  string
	first map[string]string
}

func newUniqueSet(noun string) *uniqueSet {
	return &uniqueSet{noun: noun, first: make(map[string]string)}
}

// check adds a finding if the value was already seen at another place. It
// ignores empty values.
func (u *uniqueSet) check(list *finding.List, place, value string) {
	if value == "" {
		return
	}
	if first, seen := u.first[value]; seen {
		list.Addf(place, "the %s %q is already defined at %s", u.noun, shorten(value), first)
		return
	}
	u.first[value] = place
}

func shorten(text string) string {
	const maxShown = 80
	if len(text) <= maxShown {
		return text
	}
	return text[:maxShown] + "..."
}

func elementPlace(place string, index int) string {
	return place + "[" + strconv.Itoa(index) + "]"
}

func fieldPlace(place, field string) string {
	if place == "" {
		return field
	}
	return place + "." + field
}
