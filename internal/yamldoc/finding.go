package yamldoc

import (
	"fmt"
	"slices"
	"strings"
)

// Finding is one fault of a document.
type Finding struct {
	// File is the name of the document as it was given by the caller.
	File string `json:"file"`
	// Line counts from 1; 0 means that the fault has no line, such as a missing file.
	Line int `json:"line"`
	// Key is the path of the faulty value, such as "plans[2].services[0]"; empty for the document itself.
	Key string `json:"key"`
	// Message says what is wrong and, where it helps, what is expected.
	Message string `json:"message"`
}

// Error returns "file:line: key: message".
func (f Finding) Error() string {
	if f.Key == "" {
		return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Message)
}

// Findings is the error that joins every fault of one or more documents.
type Findings []Finding

// Error returns one line for each fault.
func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings as an error, or nil when there are none.
func (fs Findings) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}

// Sort orders the findings by file and line and keeps the order of those in one line.
func (fs Findings) Sort() {
	slices.SortStableFunc(fs, func(a, b Finding) int {
		if c := strings.Compare(a.File, b.File); c != 0 {
			return c
		}
		return a.Line - b.Line
	})
}
