package steer

// maxRetryCredit is the maximum number of retries that may accumulate unused.
const maxRetryCredit = 10

// Budget limits a service's retries and hedges at one host to a share of the
// requests that arrive at the host (the service's retry_share). Package
// gateway/retry serves another purpose: it enforces the platform's limit, which
// all hosts share within a time window. The limit here is set by cairndock
// itself, so each host enforces its own budget without a clock.
type Budget struct {
	share float64
	// credit is the number of retries that are currently allowed.
	credit float64
}

// arrive records an arriving request.
func (b *Budget) arrive() { b.credit = min(maxRetryCredit, b.credit+b.share) }

// Take consumes one retry. It returns false when the budget is exhausted.
func (b *Budget) Take() bool {
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}
