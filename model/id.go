package model

import "github.com/cespare/xxhash/v2"

// TargetID identifies a target in the tables of one process. No two targets of a set of lists have the same id: package
// directory numbers its targets, and package lists, whose ids daemons exchange, derives them from names and rejects a
// document in which two of them are equal. Zero is never a valid TargetID.
type TargetID uint32

// MachineID identifies an entry VM in messages and tables. It is derived from the machine's name.
// Zero is never a valid MachineID.
type MachineID uint32

// TargetIDOf returns the id that a target of this name has in lists whose ids daemons exchange. Two names may have the
// same.
func TargetIDOf(name string) TargetID {
	return TargetID(NameHash(name))
}

// MachineIDOf returns the MachineID for a machine's name.
func MachineIDOf(name string) MachineID {
	return MachineID(NameHash(name))
}

// NameHash hashes a name to 32 bits, so that every process computes the same order or choice from it. It never returns
// zero, which means "none". Two names may have the same hash, so it does not identify what it was computed from.
func NameHash(name string) uint32 {
	h := uint32(xxhash.Sum64String(name))
	if h == 0 {
		return 1
	}
	return h
}

// FlowHash identifies a flow: it is a 64-bit hash of the caller's and the service's address and port.
type FlowHash uint64
