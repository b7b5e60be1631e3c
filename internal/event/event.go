// Package event defines the numbered log events of a daemon. docs/EVENTS.md
// documents each of them.
package event

import (
	"github.com/apex/log"
)

// Number identifies an event. The number of a removed event is never reused.
type Number int

// Event is a numbered kind of log line.
type Event struct {
	number  Number
	level   log.Level
	message string
}

// Number returns the event's number.
func (e Event) Number() Number { return e.number }

// Level returns the level at which the event is logged.
func (e Event) Level() log.Level { return e.level }

// Message returns the constant text of the event.
func (e Event) Message() string { return e.message }

// Fields are the variable parts of a log line.
type Fields = log.Fields

// Log writes one line for the event to l.
func (e Event) Log(l log.Interface, fields Fields) {
	entry := l.WithFields(fields).WithField("event", int(e.number))
	switch e.level {
	case log.DebugLevel:
		entry.Debug(e.message)
	case log.InfoLevel:
		entry.Info(e.message)
	case log.WarnLevel:
		entry.Warn(e.message)
	default:
		entry.Error(e.message)
	}
}
