package router

import "golang.org/x/time/rate"

// RetryBudget is a token bucket that limits the rate of retries, so that they
// can't amplify an overload. A nil RetryBudget allows no retries.
type RetryBudget struct{ limiter *rate.Limiter }

// NewRetryBudget returns a budget of perSecond retries per second, with bursts
// of twice as many.
func NewRetryBudget(perSecond float64) *RetryBudget {
	return &RetryBudget{limiter: rate.NewLimiter(rate.Limit(perSecond), max(int(2*perSecond), 1))}
}

// Take reports whether a retry is allowed now, and if so, takes it from the
// budget.
func (b *RetryBudget) Take() bool { return b != nil && b.limiter.Allow() }
