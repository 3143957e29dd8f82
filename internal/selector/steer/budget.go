package steer

// maxRetryCredit bounds the retries that idle time saves up.
const maxRetryCredit = 10

// Budget bounds a service's retries and hedges at one host, as a share of the
// requests that arrive there (the service's retry_share). It is not
// gateway/retry's: that one keeps to the platform's limit, which all hosts
// share in a window of time; this limit is our own, so that each host counts
// for itself, without a clock.
type Budget struct {
	share float64
	// credit is how many retries are allowed now.
	credit float64
}

// arrive counts a request that arrived.
func (b *Budget) arrive() { b.credit = min(maxRetryCredit, b.credit+b.share) }

// Take counts a retry, or reports that the budget has none left.
func (b *Budget) Take() bool {
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}
