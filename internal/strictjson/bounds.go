package strictjson

import (
	"bytes"
	"errors"
	"fmt"
)

// ErrOverBounds is wrapped by the errors of Check.
var ErrOverBounds = errors.New("the document is over its bounds")

// Bounds bounds what a document decodes to, which can be far larger than the document: a
// list of empty objects takes 3 bytes for each.
type Bounds struct {
	// Values is the maximum number of values, among them names of fields.
	Values int
	// Depth is the maximum depth of objects and lists.
	Depth int
}

// documentBounds are the bounds of all documents that Decode decodes.
var documentBounds = Bounds{Values: 1 << 18, Depth: 100}

// Check returns the number of values of a document, or an error if it is over the
// bounds. It takes one pass over the document and allocates nothing. It doesn't check
// whether the document is valid.
func Check(data []byte, bounds Bounds) (values int, err error) {
	depth := 0
	for i := 0; i < len(data); {
		switch c := data[i]; c {
		case ' ', '\t', '\r', '\n', ',', ':':
			i++
			continue
		case '}', ']':
			depth--
			i++
			continue
		case '{', '[':
			depth++
			i++
		case '"':
			i = stringEnd(data, i+1)
		default:
			i = scalarEnd(data, i+1)
		}
		if values++; values > bounds.Values {
			return values, fmt.Errorf("%w: more than %d values", ErrOverBounds, bounds.Values)
		}
		if depth > bounds.Depth {
			return values, fmt.Errorf("%w: nested more than %d deep", ErrOverBounds, bounds.Depth)
		}
	}
	return values, nil
}

// stringEnd returns the index after the string whose text begins at start.
func stringEnd(data []byte, start int) int {
	for at := start; ; {
		quote := bytes.IndexByte(data[at:], '"')
		if quote < 0 {
			return len(data)
		}
		end := at + quote
		escapes := 0
		for end-escapes > start && data[end-escapes-1] == '\\' {
			escapes++
		}
		at = end + 1
		if escapes%2 == 0 {
			return at
		}
	}
}

// scalarEnd returns the index after the number or literal that begins before start.
func scalarEnd(data []byte, start int) int {
	for i := start; i < len(data); i++ {
		switch data[i] {
		case ' ', '\t', '\r', '\n', ',', ':', '{', '}', '[', ']', '"':
			return i
		}
	}
	return len(data)
}
