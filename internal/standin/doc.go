// Package standin holds small simulations of the daemons' environment: the platform's read-and-watch
// service, the network fabric, targets on endpoint VMs and callers.
//
// The fabric, targets and callers are state machines (StateMachine) without sockets, clocks or goroutines: each method
// takes an event and the current time and returns the datagrams to send. Node runs a state machine over
// a udpio.Network, so that the same code works with real sockets and in tests with virtual time.
//
// Invariant: a StateMachine is accessed only under the lock of its Node.
package standin
