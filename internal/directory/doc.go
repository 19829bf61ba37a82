// Package directory builds a model.Snapshot from the published routes and the registrations of targets.
//
// Invariant: the end of a registration does not affect open flows: its target stays known as a previous target for as
// long as a flow may last. Events carry their time; the package reads no clock.
package directory
