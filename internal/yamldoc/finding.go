package yamldoc

import (
	"fmt"
	"slices"
	"strings"
)

// Finding is one error in a document.
type Finding struct {
	// File is the name that the caller gave the document.
	File string `json:"file"`
	// Line counts from 1; 0 means that the error is at no line, for example because the file is missing.
	Line int `json:"line"`
	// Key is the path of the invalid value, such as "plans[2].services[0]"; empty for the document itself.
	Key string `json:"key"`
	// Message says what is wrong and, where useful, what is expected.
	Message string `json:"message"`
}

// Error returns "file:line: key: message", or "file:line: message" if there is no key.
func (f Finding) Error() string {
	if f.Key == "" {
		return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Message)
}

// Findings is an error that consists of all findings of one or more documents.
type Findings []Finding

// Error returns one line for each finding.
func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings as an error, or nil if there are none.
func (fs Findings) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}

// Sort sorts the findings by file and line. It is stable.
func (fs Findings) Sort() {
	slices.SortStableFunc(fs, func(a, b Finding) int {
		if c := strings.Compare(a.File, b.File); c != 0 {
			return c
		}
		return a.Line - b.Line
	})
}
