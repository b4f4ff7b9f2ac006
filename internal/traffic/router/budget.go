package router

import "golang.org/x/time/rate"

// Budget is a retry budget: a token bucket that limits the rate of retries, so
// that they can't amplify an overload. A nil Budget allows no retries.
type Budget struct{ limiter *rate.Limiter }

// NewBudget returns a budget of perSecond retries per second, with bursts of
// twice as many.
func NewBudget(perSecond float64) *Budget {
	return &Budget{limiter: rate.NewLimiter(rate.Limit(perSecond), max(int(2*perSecond), 1))}
}

// Take reports whether a retry is allowed now, and if so, takes it from the
// budget.
func (b *Budget) Take() bool { return b != nil && b.limiter.Allow() }
