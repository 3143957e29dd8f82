package balance

const (
	// PreferenceListSize is preferenceListSize for the tests of the Balancer.
	PreferenceListSize = preferenceListSize
	// RejectAbove is rejectAbove for the tests of the Balancer.
	RejectAbove = rejectAbove
)
