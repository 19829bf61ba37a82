// Package rejection tells the responses by which a target rejects a request from others, by their size alone.
//
// Invariant: a route whose responses are all small has no rejections.
package rejection
