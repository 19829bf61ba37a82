// The share of each caller address in the recently admitted flows.

package room

import (
	"math"
	"time"
)

const (
	// maxCallers bounds the caller addresses that are told apart.
	maxCallers = 4096
	// callerTimeConstant is the time constant in which an admitted flow of a caller is forgotten: about a request with
	// its retries.
	callerTimeConstant = time.Second
	// callerExcess is how many times the mean of the active callers one may have before others precede it.
	callerExcess = 3
	// callerAllowance is the number of recent flows that no caller is held back for.
	callerAllowance = 4
)

// callers holds the recently admitted flows by caller address.
type callers struct {
	byAddr map[[16]byte]float64
	total  float64
	at     time.Time
}

// decay applies the time that has passed and forgets callers without recent flows.
func (c *callers) decay(now time.Time) {
	const step = 100 * time.Millisecond
	passed := now.Sub(c.at)
	if passed < step {
		return
	}
	c.at = now
	f := math.Exp(-float64(passed) / float64(callerTimeConstant))
	c.total = 0
	for a, n := range c.byAddr {
		if n *= f; n < 0.05 {
			delete(c.byAddr, a)
			continue
		}
		c.byAddr[a] = n
		c.total += n
	}
}

func (c *callers) admitted(now time.Time, a [16]byte) {
	if c.byAddr == nil {
		c.byAddr = make(map[[16]byte]float64)
	}
	c.decay(now)
	if _, known := c.byAddr[a]; !known && len(c.byAddr) >= maxCallers {
		return
	}
	c.byAddr[a]++
	c.total++
}

// excessive reports whether a caller has had several times as many flows admitted as others.
//
// Load pattern: one caller address opens a hundred flows while a hundred callers want one each.
func (c *callers) excessive(now time.Time, a [16]byte) bool {
	c.decay(now)
	n := c.byAddr[a]
	if n <= callerAllowance || len(c.byAddr) < 2 {
		return false
	}
	others := (c.total - n) / float64(len(c.byAddr)-1)
	return n > callerExcess*max(others, 1)
}
