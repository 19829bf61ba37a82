// Package assembly contains the constructors shared by the processes of both steering modes, which are implemented by
// the packages daemon and edge.
//
// Invariant: constructors open no sockets; an error of a constructor means that the settings are invalid.
package assembly
