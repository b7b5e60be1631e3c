package site

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestDocumentSizeLimit checks that a routing table of the maximum size is read
// whole, and that a larger one is an error and not cut.
func TestDocumentSizeLimit(t *testing.T) {
	c := qt.New(t)
	tests := []struct {
		name string
		size int
		want error
	}{
		{"at the limit", maxDocumentBytes, nil},
		{"above the limit", maxDocumentBytes + 1, errDocumentTooLarge},
	}
	for _, test := range tests {
		c.Run(test.name, func(c *qt.C) {
			document := bytes.Repeat([]byte("x"), test.size)
			got, err := decompress(compress(document))
			c.Assert(err, qt.Equals, test.want)
			if test.want == nil {
				c.Check(len(got), qt.Equals, test.size)
			}
			c.Check(checkSize(document), qt.Equals, test.want)
		})
	}
}
