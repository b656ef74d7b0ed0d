package event

import (
	"io"

	"github.com/sirupsen/logrus"
)

// Number identifies a kind of event.
type Number int

// Kind is an entry of the catalogue.
type Kind struct {
	// Number is unique and never reused.
	Number Number
	// Level is the severity with which the event is written.
	Level logrus.Level
	// Text is the constant message; what varies goes into fields.
	Text string
}

// Fields carries what varies between two events of one kind. It never holds a
// key or a request's content.
type Fields = logrus.Fields

// timeFormat has milliseconds, so that lines of several hosts can be put in
// their order.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Log writes events. The zero value discards them. A Log is safe for
// concurrent use.
type Log struct {
	out *logrus.Logger
}

// New returns a log that writes one JSON object a line to w.
func New(w io.Writer) Log {
	out := logrus.New()
	out.SetOutput(w)
	out.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeFormat})
	out.SetLevel(logrus.InfoLevel)
	return Log{out: out}
}

// Write writes one event.
func (l Log) Write(kind Kind, fields Fields) {
	if l.out == nil {
		return
	}
	l.out.WithFields(fields).WithField("event", int(kind.Number)).Log(kind.Level, kind.Text)
}
