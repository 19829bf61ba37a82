// Package assembly contains the constructors shared by the processes of both steering methods (see settings.Steering),
// which are implemented by the packages daemon and edge.
//
// Invariant: constructors open no sockets; an error of a constructor means that the settings are invalid.
package assembly
