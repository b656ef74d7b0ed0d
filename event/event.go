package event

import (
	"io"

	"github.com/sirupsen/logrus"
)

// Number is the number of a [Kind].
type Number int

// Kind describes a kind of event. [Catalog] lists all kinds.
type Kind struct {
	// Number is unique among all kinds and never reused.
	Number Number
	// Level is the log level of the event.
	Level logrus.Level
	// Text is the constant message. Variable data belongs in [Fields].
	Text string
}

// Fields holds the variable data of an event, by field name. It must not contain
// keys or the content of requests.
type Fields = logrus.Fields

// timeFormat is RFC 3339 with milliseconds, so that the lines of several hosts
// can be sorted by time.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Log writes events as JSON lines. The zero value discards events. A Log is safe
// for concurrent use.
type Log struct {
	logger *logrus.Logger
}

// New returns a log that writes each event to w as one line of JSON.
func New(w io.Writer) Log {
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeFormat})
	logger.SetLevel(logrus.InfoLevel)
	return Log{logger: logger}
}

// Write writes an event of the given kind, with its number in the field "event".
func (l Log) Write(kind Kind, fields Fields) {
	if l.logger == nil {
		return
	}
	l.logger.WithFields(fields).WithField("event", int(kind.Number)).Log(kind.Level, kind.Text)
}
