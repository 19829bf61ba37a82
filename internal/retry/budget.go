package retry

import (
	"math"
	"sync"
)

// tokenUnits is the number of units that one retry costs; whole numbers keep sums exact.
const tokenUnits = 1_000_000

// BudgetConfig configures a Budget. Zero values take the defaults.
type BudgetConfig struct {
	// Share is the number of retries allowed per new flow; default 0.1.
	Share float64
	// Burst bounds the retries that can be saved up; default 10.
	Burst float64
}

// Budget bounds retries to a share of the new flows, so that retries cannot multiply an overload.
// It may be used by several goroutines.
type Budget struct {
	mu     sync.Mutex
	tokens int64
	credit int64
	burst  int64
}

// NewBudget returns a full budget.
func NewBudget(cfg BudgetConfig) *Budget {
	if cfg.Share <= 0 {
		cfg.Share = 0.1
	}
	if cfg.Burst <= 0 {
		cfg.Burst = 10
	}
	burst := toUnits(cfg.Burst)
	return &Budget{tokens: burst, credit: toUnits(cfg.Share), burst: burst}
}

func toUnits(tokens float64) int64 {
	return int64(math.Round(tokens * tokenUnits))
}

// NewFlow credits the budget for one new flow.
func (b *Budget) NewFlow() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.credit, b.burst)
}

// Take spends one retry and reports whether there was one left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < tokenUnits {
		return false
	}
	b.tokens -= tokenUnits
	return true
}
