package warmup

// Quota is one host's part of the rate of a cold upstream.
type Quota struct {
	// Requests is how many requests a second the host may send there.
	Requests int
	// Hosts is how many known hosts the rate is split over, this one included.
	Hosts int
}
