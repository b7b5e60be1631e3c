package finding

import "strings"

// MaxNameBytes bounds the names of hosts, regions, availability zones, client
// accounts, services, kinds and operators.
const MaxNameBytes = 63

// CheckName adds a finding unless the name consists of 1 to MaxNameBytes
// lower-case letters, digits, '-', '_' and '.' and starts with a letter or
// digit.
func (l *List) CheckName(place, name string) {
	if isName(name) {
		return
	}
	if len(name) > MaxNameBytes {
		name = strings.ToValidUTF8(name[:MaxNameBytes], "") + "..."
	}
	l.Addf(place, "must be 1 to %d lower-case letters, digits, '-', '_' or '.', with a letter or digit first, not %q",
		MaxNameBytes, name)
}

func isName(name string) bool {
	if name == "" || len(name) > MaxNameBytes {
		return false
	}
	for i, c := range []byte(name) {
		alphanumeric := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		if !alphanumeric && (i == 0 || c != '-' && c != '_' && c != '.') {
			return false
		}
	}
	return true
}
