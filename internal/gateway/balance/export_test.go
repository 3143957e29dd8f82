package balance

// Constants that the tests of the Balancer refer to.
const (
	PreferenceListSize = preferenceListSize
	RejectAbove        = rejectAbove
)
