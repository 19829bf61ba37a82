// Package yamldoc reads strictly typed YAML documents and reports every error with its file, line and key.
//
// The top-level value of a document must be a mapping. Anchors, aliases, tags, merge keys and directives are
// rejected and nesting is limited, so that the cost of reading depends only on the size of the document.
//
// Invariant: reading does not stop at the first error, except where a document cannot be parsed, and does not
// panic on any input.
package yamldoc
