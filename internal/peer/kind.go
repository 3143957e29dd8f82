package peer

// Kind is the type of the request on a stream. Its values are part of the peer
// protocol.
type Kind uint8

const (
	// KindForward carries a request of a client that the peer shall send to an
	// upstream.
	KindForward Kind = iota + 1
	// KindTicket carries a request with a ticket to the host that issued the
	// ticket.
	KindTicket
	// KindHeartbeat exchanges the status of two hosts.
	KindHeartbeat
	// KindRoster requests the roster of the peer's zone.
	KindRoster
	// KindChanges requests the changes after a version: of the configuration in
	// the selector path, of a table of the store in the gateway.
	KindChanges
	// KindPush sends changes of the configuration.
	KindPush
	// KindConfirm queries whether the hosts of the peer's zone have applied a
	// revision of the configuration.
	KindConfirm
	// KindHandover transfers the tickets of a host that leaves.
	KindHandover
	// KindLend requests to borrow an unused share of a link's rate.
	KindLend
	// KindDrain queries how many requests are in flight at upstreams that
	// leave.
	KindDrain
	// KindTokens requests tokens of the limit of a client account.
	KindTokens
	// KindRollout reports what the peer's children know of running roll-outs.
	KindRollout
)
