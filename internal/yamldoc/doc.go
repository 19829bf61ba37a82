// Package yamldoc reads strictly typed YAML documents and reports every fault with its file, line
// and key.
//
// A document is a mapping at its top. Anchors, aliases, tags, merge keys and directives are refused,
// and nesting is bounded, so that the work of reading grows with the size of the document alone.
//
// Invariant: reading never stops at the first fault and never panics on any input.
package yamldoc
