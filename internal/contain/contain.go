// Package contain keeps a panic in the handling of one input from ending the process.
//
// Invariant: a contained panic ends the handling of its input and nothing else. Run returns it as an error, so that the
// caller decides what becomes of the input: it is dropped, or counts as a failed call.
package contain

import (
	"fmt"
	"runtime/debug"
)

// Panic is a panic that was contained.
type Panic struct {
	// Value is what the code panicked with.
	Value any
	// Stack is the goroutine's stack at the panic, at most maxStackBytes of it.
	Stack []byte
}

// maxStackBytes bounds the stack that is kept: it goes into one log line.
const maxStackBytes = 4096

// Error implements error.
func (p *Panic) Error() string {
	return fmt.Sprintf("panic: %v", p.Value)
}

// Run calls do and returns the *Panic that ended it, or nil. Locks that do took must be released by its own defers.
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
