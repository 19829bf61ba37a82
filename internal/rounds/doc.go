// Package rounds reads the measurements that stand in the journal and shows how the worth of each site moved from
// commit to commit.
//
// Invariant: an entry that cannot be read is named, never passed over.
package rounds
