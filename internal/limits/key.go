package limits

import (
	"github.com/cespare/xxhash/v2"

	"github.com/fireflypin/fireflypin/model"
)

// scope is the kind of object that a limit applies to. Its values are part of the wire format of summaries.
type scope uint8

const (
	scopeCustomer scope = iota
	scopeTarget
	scopeCount
)

// key identifies a limit in tables and summaries.
type key struct {
	scope scope
	id    uint32
}

// customerKey returns the key of a customer's limits. Customers whose names hash to the same id share their counts
// and reports, so they can get less than their limits but never more.
func customerKey(c *model.Customer) key {
	return key{scope: scopeCustomer, id: uint32(xxhash.Sum64String(c.Name))}
}

func targetKey(t *model.Target) key {
	return key{scope: scopeTarget, id: uint32(t.ID)}
}
