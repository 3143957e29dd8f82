package balance

const (
	// PreferenceListSize exports preferenceListSize to the tests of the Balancer.
	PreferenceListSize = preferenceListSize
	// RejectAbove exports rejectAbove to the tests of the Balancer.
	RejectAbove = rejectAbove
)
