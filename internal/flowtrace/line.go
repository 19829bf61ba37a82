package flowtrace

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Line is one line of a daemon's log.
type Line struct {
	Time time.Time
	// Entry is the name of the entry VM that the daemon runs on.
	Entry string
	// Op and Event are the operation and the event that the line reports.
	Op, Event string
	// Fields are the line's other fields, in the order of the line, without level and msg.
	Fields []Field
}

// Field is one key-value pair of a line.
type Field struct {
	Key, Value string
}

// Get returns a field's value, or "" if the line has no such field.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Log holds the log lines of one or more daemons, ordered by time.
type Log struct {
	Lines []Line
	// Unparsed is the number of input lines that are not log lines of a daemon.
	Unparsed int
}

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// Scan passes the log lines of one or more daemons to each, in their order, and returns the number of other inputs: lines
// that are no log lines, were cut, or are longer than maxLineBytes. Text before the time field of a line, such as a prefix
// added by a log collector, is ignored.
func Scan(r io.Reader, each func(*Line)) (unparsed int, err error) {
	reader := bufio.NewReaderSize(r, maxLineBytes)
	for {
		raw, isPrefix, err := reader.ReadLine()
		for rest := isPrefix; rest && err == nil; {
			_, rest, err = reader.ReadLine()
		}
		switch {
		case errors.Is(err, io.EOF):
			return unparsed, nil
		case err != nil:
			return unparsed, fmt.Errorf("read log: %w", err)
		}
		line, ok := parse(raw)
		if isPrefix || !ok {
			unparsed++
			continue
		}
		each(&line)
	}
}

// Read adds the log lines of one or more daemons.
func (l *Log) Read(r io.Reader) error {
	unparsed, err := Scan(r, func(line *Line) { l.Lines = append(l.Lines, *line) })
	l.Unparsed += unparsed
	if err != nil {
		return err
	}
	slices.SortStableFunc(l.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return nil
}

// parse parses one line. It returns false if the line is not a log line of a daemon.
func parse(raw []byte) (Line, bool) {
	start := bytes.Index(raw, []byte("time="))
	if start < 0 {
		return Line{}, false
	}
	var line Line
	dec := logfmt.NewDecoder(bytes.NewReader(raw[start:]))
	for dec.ScanRecord() {
		for dec.ScanKeyval() {
			line.setField(string(dec.Key()), string(dec.Value()))
		}
	}
	return line, dec.Err() == nil && !line.Time.IsZero() && line.Op != ""
}

// setField stores the value of one key of the line.
func (l *Line) setField(key, value string) {
	switch key {
	case "time":
		// On an error the time stays zero, and parse rejects the line.
		l.Time, _ = time.Parse(time.RFC3339Nano, value)
	case "entry":
		l.Entry = value
	case "op":
		l.Op = value
	case "event":
		l.Event = value
	case "level", "msg":
	default:
		l.Fields = append(l.Fields, Field{Key: key, Value: value})
	}
}

// Omitted returns the number of omitted lines that this line reports, or 0 if it is not such a report.
func (l *Line) Omitted() int {
	if l.Op != "log" || l.Event != "left_out" {
		return 0
	}
	n, err := strconv.Atoi(l.Get("lines"))
	if err != nil {
		return 0
	}
	return n
}

// formatFields returns the fields as "key=value" pairs separated by spaces.
func (l *Line) formatFields() string {
	parts := make([]string, 0, len(l.Fields))
	for _, f := range l.Fields {
		parts = append(parts, f.Key+"="+f.Value)
	}
	return strings.Join(parts, " ")
}
