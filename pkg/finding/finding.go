// Package finding collects the validation errors of a document, each with its
// JSON path, so that all of them can be reported at once.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one problem at one place of a document.
type Finding struct {
	place   string
	message string
}

// Place returns the JSON path of the problem, such as
// "client_accounts[3].share".
func (f Finding) Place() string { return f.place }

// Message describes the problem in one sentence without a full stop.
func (f Finding) Message() string { return f.message }

func (f Finding) String() string {
	if f.place == "" {
		return f.message
	}
	return f.place + ": " + f.message
}

// List collects findings. The zero List is empty and ready to use.
type List struct {
	findings []Finding
}

// Addf adds a finding at place.
func (l *List) Addf(place, format string, args ...any) {
	l.findings = append(l.findings, Finding{place: place, message: fmt.Sprintf(format, args...)})
}

// Append adds all findings of other, in their order.
func (l *List) Append(other *List) {
	l.findings = append(l.findings, other.findings...)
}

// AppendNew adds the findings of other whose places have no finding yet, so
// that an error caused by one already reported is not reported as well.
func (l *List) AppendNew(other *List) {
	places := make(map[string]bool, len(l.findings))
	for _, f := range l.findings {
		places[f.place] = true
	}
	for _, f := range other.findings {
		if !places[f.place] {
			l.findings = append(l.findings, f)
		}
	}
}

// All returns the findings in the order in which they were added.
func (l *List) All() []Finding { return l.findings }

// Len returns the number of findings.
func (l *List) Len() int { return len(l.findings) }

// Err returns nil for an empty list, and otherwise an *Error with all
// findings.
func (l *List) Err() error {
	if len(l.findings) == 0 {
		return nil
	}
	return &Error{findings: l.findings}
}

// Error reports all findings of a document, a line each.
type Error struct {
	findings []Finding
}

// Findings returns the findings that make up the error.
func (e *Error) Findings() []Finding { return e.findings }

func (e *Error) Error() string {
	lines := make([]string, len(e.findings))
	for i, f := range e.findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
