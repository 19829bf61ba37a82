package limits

import (
	"github.com/cespare/xxhash/v2"

	"github.com/fireflypin/fireflypin/model"
)

// scope says what a limit belongs to.
type scope uint8

const (
	scopeCustomer scope = iota
	scopeTarget
	scopeEnd
)

// key names a limit in tables and messages.
type key struct {
	scope scope
	id    uint32
}

// customerKey names a customer's limits. Two customers whose names hash to the same id share what
// others report of them, and so get less than their limits, never more.
func customerKey(c *model.Customer) key {
	return key{scope: scopeCustomer, id: uint32(xxhash.Sum64String(c.Name))}
}

func targetKey(t *model.Target) key {
	return key{scope: scopeTarget, id: uint32(t.ID)}
}
