package router

import "golang.org/x/time/rate"

// Budget bounds retries to a rate, so that they can't multiply an overload. A
// nil Budget allows none.
type Budget struct{ limiter *rate.Limiter }

// NewBudget allows so many retries a second, with bursts of twice as many.
func NewBudget(perSecond float64) *Budget {
	return &Budget{limiter: rate.NewLimiter(rate.Limit(perSecond), max(int(2*perSecond), 1))}
}

// Take reports whether one more retry is allowed now.
func (b *Budget) Take() bool { return b != nil && b.limiter.Allow() }
