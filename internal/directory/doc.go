// Package directory turns published routes and registrations of targets into a model.Snapshot.
//
// Invariant: a registration that ends takes nothing from open flows: its target stays known as a former one
// for as long as a flow may last. Events come with their time; nothing in here reads a clock.
package directory
