// Package rounds reads score measurements from the journal and shows how the score ("worth") of each site
// changed from commit to commit.
//
// Invariant: a journal entry that cannot be read is reported as an error with its name, and never skipped.
package rounds
