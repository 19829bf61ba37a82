package retry

import (
	"math"
	"sync"
)

// tokenUnits is the number of units that one retry costs. Integer units keep the sums exact.
const tokenUnits = 1_000_000

// BudgetConfig configures a Budget. Zero values select the defaults.
type BudgetConfig struct {
	// Share is the number of retries allowed per new flow; default 0.1.
	Share float64
	// Burst is the maximum number of retries that can accumulate; default 10.
	Burst float64
}

// Budget is a retry budget. It limits retries to a share of the new flows, so that retries cannot amplify an
// overload. It is safe for concurrent use.
type Budget struct {
	mu            sync.Mutex
	tokens        int64
	creditPerFlow int64
	burst         int64
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
	return &Budget{tokens: burst, creditPerFlow: toUnits(cfg.Share), burst: burst}
}

func toUnits(tokens float64) int64 {
	return int64(math.Round(tokens * tokenUnits))
}

// NewFlow adds the credit of one new flow to the budget.
func (b *Budget) NewFlow() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.creditPerFlow, b.burst)
}

// Take removes one retry from the budget and reports whether there was one.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < tokenUnits {
		return false
	}
	b.tokens -= tokenUnits
	return true
}
