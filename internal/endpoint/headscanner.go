package endpoint

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
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
	fieldPart
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
	// code is the beginning of the status code, at most one byte more than it may have.
	code []byte
	// interim is true within the head of an interim answer, after which another one follows.
	interim bool
}

const (
	// statusDigits is the number of digits of a status code, and maxStatus the largest one.
	statusDigits = 3
	maxStatus    = 599
)

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
		s.startLine(b)
	case lastLine:
		s.endHead()
	default:
		if b == '\n' {
			s.part = lineStart
		}
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
	case b != ' ' && s.part == codePart && len(s.code) <= statusDigits:
		s.code = append(s.code, b)
	}
	return nil
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
	s.interim = code < http.StatusOK && code != http.StatusSwitchingProtocols
	return nil
}

// startLine takes the first byte of a line after the status line.
func (s *headScanner) startLine(b byte) {
	switch b {
	case '\n':
		s.endHead()
	case '\r':
		s.part = lastLine
	default:
		s.part = fieldPart
	}
}

// endHead ends the head of an answer.
func (s *headScanner) endHead() {
	interim := s.interim
	*s = headScanner{part: headEnd}
	if interim {
		s.part = protocolPart
	}
}
