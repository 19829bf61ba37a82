// Package assembly holds the constructors that the processes of both ways of steering have in common.
//
// Invariant: nothing is opened here; a constructor's error is a fault of the settings.
package assembly
