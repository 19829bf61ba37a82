// Package contain recovers from panics in the processing of one input, so that they do not end the process.
//
// Invariant: a contained panic only ends the processing of its input. Run returns the panic as an error, and the caller
// decides how to handle the input: drop it or treat it as a failed call.
package contain

import (
	"fmt"
	"runtime/debug"
)

// Panic is the error for a recovered panic.
type Panic struct {
	// Value is the argument of panic.
	Value any
	// Stack is the stack trace of the goroutine at the panic, truncated to maxStackBytes.
	Stack []byte
}

// maxStackBytes is the maximum length of a recorded stack trace. It is written to a single log line.
const maxStackBytes = 4096

// Error implements error.
func (p *Panic) Error() string {
	return fmt.Sprintf("panic: %v", p.Value)
}

// Run calls do. It returns a *Panic if do panics, or nil. do must release its locks with defer.
func Run(do func()) (err error) {
	defer func() {
		if v := recover(); v != nil {
			stack := debug.Stack()
			err = &Panic{Value: v, Stack: stack[:min(len(stack), maxStackBytes)]}
		}
	}()
	do()
	return nil
}
