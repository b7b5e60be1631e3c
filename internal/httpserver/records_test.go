package httpserver

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestPartialRecords guards against a TLS record that is partly read and counts as
// nothing, in whatever pieces its bytes are read.
func TestPartialRecords(t *testing.T) {
	record := []byte{23, 3, 3, 0, 3, 'a', 'b', 'c'}
	empty := []byte{23, 3, 3, 0, 0}
	long := append([]byte{23, 3, 3, 1, 2}, make([]byte, 258)...)
	tests := []struct {
		name  string
		bytes []byte
		want  bool
	}{
		{"nothing", nil, false},
		{"part of a header", record[:3], true},
		{"a header", record[:5], true},
		{"part of a body", record[:7], true},
		{"a record", record, false},
		{"an empty record", empty, false},
		{"two records", append(append([]byte{}, record...), record...), false},
		{"an empty record and a header", append(append([]byte{}, empty...), record[:5]...), true},
		{"a long record", long, false},
		{"a long record without its last byte", long[:len(long)-1], true},
	}
	for _, test := range tests {
		for size := 1; size <= len(test.bytes)+1; size++ {
			var got records
			for rest := test.bytes; len(rest) > 0; rest = rest[min(size, len(rest)):] {
				got.add(rest[:min(size, len(rest))])
			}
			qt.Check(t, got.partial(), qt.Equals, test.want, qt.Commentf("%s in pieces of %d bytes", test.name, size))
		}
	}
}
