package limit

// maxRetryTokens lets a short burst of refusals be retried at once, such as those of a
// minion that leaves with all its tasks queued.
const maxRetryTokens = 64

// budget bounds retries to a share of first attempts.
type budget struct {
	share float64
	spent float64 // tokens below maxRetryTokens
}

// FirstAttempt earns a share of a retry.
func (l *Limiter) FirstAttempt() { l.retries.spent = max(0, l.retries.spent-l.retries.share) }

// Retry reports whether a refused task may be offered again now, and if so counts it.
func (l *Limiter) Retry() bool {
	if l.retries.spent+1 > maxRetryTokens {
		return false
	}
	l.retries.spent++
	return true
}
