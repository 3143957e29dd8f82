package warmup

// Quota is one host's part of the rate of a cold upstream.
type Quota struct {
	// Requests is how many requests a second the host may send there.
	Requests int
	// Hosts is how many known hosts the rate is split over, this one included.
	Hosts int
	// Withheld says why the host has no part; then Requests is zero.
	Withheld Withheld
}

// Withheld is why a host has no part of a cold upstream's rate.
type Withheld string

const (
	// NotWithheld is for a host that has a part, which may be zero where the
	// rate has fewer requests than hosts.
	NotWithheld Withheld = ""
	// Starting is a process younger than Window: the one before it may have
	// used the host's part.
	Starting Withheld = "starting"
	// HostsUnknown is a host that has not read who shares the rate, or has read
	// it less than a Window ago: they may not know of it yet, and one that left
	// just before may have used its part.
	HostsUnknown Withheld = "hosts-unknown"
	// Stopping is a host that has withdrawn itself: a host that starts now does
	// not find it.
	Stopping Withheld = "stopping"
	// OwnRegion leaves the upstream to the live hosts of its own region.
	OwnRegion Withheld = "own-region"
)
