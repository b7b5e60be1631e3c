package endpoint

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// errMalformedHead means that an answer has a head that HTTP does not allow.
var errMalformedHead = errors.New("malformed head of the answer")

// headPart is a part of the head of an answer.
type headPart int

const (
	// protocolPart, codePart and reasonPart form the status line.
	protocolPart headPart = iota
	codePart
	reasonPart
	lineStart
	// namePart and valuePart form a field line.
	namePart
	valuePart
	// lastLine is the empty line at the end, after its CR.
	lastLine
	// headEnd means that the head of the final answer is complete.
	headEnd
)

// headScanner checks the heads of interim answers and of the final one while their bytes
// arrive. It rejects what http.Transport would accept although it is no answer; whatever
// else is malformed is left to http.Transport. The zero value expects a status line.
type headScanner struct {
	// part is that of the next byte.
	part headPart
	// protocol, code and name are the beginnings of the protocol, the status code and the
	// name of the last field. None is longer than maxScanned.
	protocol, code, name []byte
	// interim is true within the head of an interim answer, after which another one follows.
	interim bool
}

// maxScanned bounds what is kept of a part of a head. It is more than any protocol, status code
// or name that is looked for.
const maxScanned = 32

// maxStatus is the largest status code.
const maxStatus = 599

// scan checks the next bytes of the connection, of which those after the head are ignored.
// Its error wraps errMalformedHead.
func (s *headScanner) scan(p []byte) error {
	for _, b := range p {
		if s.part == headEnd {
			return nil
		}
		if err := s.add(b); err != nil {
			return err
		}
	}
	return nil
}

func (s *headScanner) add(b byte) error {
	switch s.part {
	case protocolPart, codePart, reasonPart:
		return s.addToStatusLine(b)
	case lineStart:
		return s.startLine(b)
	case namePart:
		return s.addToName(b)
	case valuePart:
		if b == '\n' {
			s.part = lineStart
		}
	case lastLine:
		s.endHead()
	}
	return nil
}

// addToStatusLine takes a byte of the status line, whose parts are separated by blanks.
func (s *headScanner) addToStatusLine(b byte) error {
	switch {
	case b == '\n':
		s.part = lineStart
		return s.checkCode()
	case b == ' ' && s.part == protocolPart:
		s.part = codePart
	case b == ' ' && s.part == codePart && len(s.code) > 0:
		s.part = reasonPart
	case s.part == protocolPart:
		s.protocol = appendScanned(s.protocol, b)
	case b != ' ' && s.part == codePart:
		s.code = appendScanned(s.code, b)
	}
	return nil
}

// appendScanned appends a byte unless there are maxScanned.
func appendScanned(scanned []byte, b byte) []byte {
	if len(scanned) == maxScanned {
		return scanned
	}
	return append(scanned, b)
}

// checkCode rejects a number outside of the five classes of status codes (RFC 9110,
// section 15).
func (s *headScanner) checkCode() error {
	code, err := strconv.Atoi(strings.TrimSuffix(string(s.code), "\r"))
	if err != nil {
		return nil // http.Transport rejects it.
	}
	if code < http.StatusContinue || code > maxStatus {
		return fmt.Errorf("%w: status %d", errMalformedHead, code)
	}
	s.interim = isInterim(code)
	return nil
}

// isInterim reports whether a valid status is that of an interim answer, after which another
// answer follows. A change of the protocol is final.
func isInterim(status int) bool {
	return status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// startLine takes the first byte of a line after the status line. A blank there is part of a
// name, or continues the line before, which an answer must not do either and a gateway may
// reject (RFC 9112, section 5.2).
func (s *headScanner) startLine(b byte) error {
	switch b {
	case '\n':
		s.endHead()
		return nil
	case '\r':
		s.part = lastLine
		return nil
	default:
		s.part, s.name = namePart, s.name[:0]
		return s.addToName(b)
	}
}

// addToName takes a byte of the name of a field, or the colon after it. A name is a token, and
// no blank stands between it and the colon (RFC 9110, section 5.1; RFC 9112, section 5.1).
func (s *headScanner) addToName(b byte) error {
	switch {
	case b == ':':
		s.part = valuePart
		return s.checkName()
	case httpguts.IsTokenRune(rune(b)):
		s.name = appendScanned(s.name, b)
		return nil
	default:
		return fmt.Errorf("%w: byte %q in the name of a field", errMalformedHead, b)
	}
}

// firstChunkedProtocol is the first version of HTTP with transfer encodings.
const firstChunkedProtocol = "HTTP/1.1"

// checkName rejects a transfer encoding in an answer of an earlier version of HTTP, whose end
// can't be told (RFC 9112, section 6.1). http.Transport takes the encoded body for the body.
func (s *headScanner) checkName() error {
	if string(s.protocol) < firstChunkedProtocol && strings.EqualFold(string(s.name), "Transfer-Encoding") {
		return fmt.Errorf("%w: transfer encoding in %q", errMalformedHead, s.protocol)
	}
	return nil
}

// endHead ends the head of an answer.
func (s *headScanner) endHead() {
	interim := s.interim
	*s = headScanner{part: headEnd}
	if interim {
		s.part = protocolPart
	}
}
