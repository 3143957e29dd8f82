package balance

const (
	// PreferenceListSize exports preferenceListSize to the tests of the Balancer.
	PreferenceListSize = preferenceListSize
	// RejectAbove exports rejectAbove to the tests of the Balancer.
	RejectAbove = rejectAbove
)

// MaxUnclaimed exports maxUnclaimed to the tests of the Balancer.
const MaxUnclaimed = maxUnclaimed

// Unclaimed returns the number of reports of runs without a state.
func (b *Balancer) Unclaimed() int { return len(b.unclaimed) }
