package warmup

// Quota is one host's share of the rate of requests to a cold upstream.
type Quota struct {
	// Requests is the number of requests per second that the host may send to the upstream.
	Requests int
	// Hosts is the number of known hosts that share the rate, including this host.
	Hosts int
	// Withheld is the reason why the host has no share. If it is set, Requests is zero.
	Withheld WithheldReason
}

// WithheldReason is the reason why a host has no share of a cold upstream's rate.
type WithheldReason string

const (
	// NotWithheld means that the host has a share. The share may be zero if the rate has
	// fewer requests per second than there are hosts.
	NotWithheld WithheldReason = ""
	// Starting means that the process started less than Window ago. The previous process
	// may have used the host's share within that time.
	Starting WithheldReason = "starting"
	// HostsUnknown means that the host has not read the list of hosts that share the rate,
	// or read it for the first time less than Window ago. The other hosts may not know of
	// this host yet, and a host that left just before may have used this host's share.
	HostsUnknown WithheldReason = "hosts-unknown"
	// Stopping means that the host has deregistered itself. Hosts that start afterwards do
	// not take it into account.
	Stopping WithheldReason = "stopping"
	// OwnRegion means that the upstream's rate is reserved for the live hosts of the
	// upstream's region.
	OwnRegion WithheldReason = "own-region"
)
