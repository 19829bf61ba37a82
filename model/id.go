package model

import "github.com/cespare/xxhash/v2"

// TargetID identifies a target in messages and tables. It is derived from the target's name, so
// that every process computes the same id. Zero is never a valid TargetID.
type TargetID uint32

// MachineID identifies an entry VM in messages and tables. It is derived from the machine's name.
// Zero is never a valid MachineID.
type MachineID uint32

// TargetIDOf returns the TargetID for a target's name.
func TargetIDOf(name string) TargetID {
	return TargetID(nonZeroHash(name))
}

// MachineIDOf returns the MachineID for a machine's name.
func MachineIDOf(name string) MachineID {
	return MachineID(nonZeroHash(name))
}

// nonZeroHash hashes a name to 32 bits. It never returns zero, which means "none".
func nonZeroHash(name string) uint32 {
	h := uint32(xxhash.Sum64String(name))
	if h == 0 {
		return 1
	}
	return h
}

// FlowHash identifies a flow: it is a 64-bit hash of the caller's and the service's address and port.
type FlowHash uint64
