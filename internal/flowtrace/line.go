package flowtrace

import (
	"bufio"
	"bytes"
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
	// Entry is the daemon's entry VM.
	Entry string
	// Op and Event say what the line is about.
	Op, Event string
	// Fields are the line's other fields in their order.
	Fields []Field
}

// Field is one field of a line.
type Field struct {
	Key, Value string
}

// Get returns a field's value, or "".
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Log holds the lines of daemons in the order of their times.
type Log struct {
	Lines []Line
	// Unread counts lines that are none of a daemon's.
	Unread int
}

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// Read adds the lines of one daemon's or several daemons' output. What stands before the time on a line, as
// collectors add, is passed over.
func (l *Log) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		if !ok {
			l.Unread++
			continue
		}
		l.Lines = append(l.Lines, line)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read a log: %w", err)
	}
	slices.SortStableFunc(l.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return nil
}

// parse reads one line; false where it is none of a daemon's.
func parse(raw []byte) (Line, bool) {
	at := bytes.Index(raw, []byte("time="))
	if at < 0 {
		return Line{}, false
	}
	var line Line
	dec := logfmt.NewDecoder(bytes.NewReader(raw[at:]))
	for dec.ScanRecord() {
		for dec.ScanKeyval() {
			line.set(string(dec.Key()), string(dec.Value()))
		}
	}
	return line, dec.Err() == nil && !line.Time.IsZero() && line.Op != ""
}

func (l *Line) set(key, value string) {
	switch key {
	case "time":
		// A line without a readable time is no line of a daemon; parse refuses it.
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

// leftOut returns how many lines a line says were left out.
func (l *Line) leftOut() int {
	if l.Op != "log" || l.Event != "left_out" {
		return 0
	}
	n, err := strconv.Atoi(l.Get("lines"))
	if err != nil {
		return 0
	}
	return n
}

// text returns the fields as they stand in the log.
func (l *Line) text() string {
	parts := make([]string, 0, len(l.Fields))
	for _, f := range l.Fields {
		parts = append(parts, f.Key+"="+f.Value)
	}
	return strings.Join(parts, " ")
}
