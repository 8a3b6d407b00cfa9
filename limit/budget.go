package limit

// maxRetryTokens is the capacity of the retry budget. It lets a short burst of refusals be retried
// at once, such as those of a minion that leaves with all its tasks queued.
const maxRetryTokens = 64

// retryBudget is a token bucket that bounds retries to a share of first attempts.
type retryBudget struct {
	refillPerAttempt float64 // tokens added by each first attempt
	spentTokens      float64 // tokens missing from a full bucket
}

// RecordFirstAttempt records the first attempt of a task, which adds to the retry budget.
func (l *Limiter) RecordFirstAttempt() {
	l.retries.spentTokens = max(0, l.retries.spentTokens-l.retries.refillPerAttempt)
}

// TakeRetryToken reports whether a refused task may be sent again now, and if so takes a token from the
// retry budget.
func (l *Limiter) TakeRetryToken() bool {
	if l.retries.spentTokens+1 > maxRetryTokens {
		return false
	}
	l.retries.spentTokens++
	return true
}
