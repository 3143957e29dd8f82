package peer

// Kind says what a stream's request is. The numbers are on the wire.
type Kind uint8

const (
	// KindForward has a client's request for the peer to send to an upstream.
	KindForward Kind = iota + 1
	// KindTicket has a request with a ticket, for the host that issued it.
	KindTicket
	// KindHeartbeat exchanges the status of two hosts.
	KindHeartbeat
	// KindRoster asks for the roster of the peer's zone.
	KindRoster
	// KindChanges asks for changes after a version: of the configuration in the
	// selector path, of a table of the store in the gateway.
	KindChanges
	// KindPush brings changes of the configuration.
	KindPush
	// KindConfirm asks how far the hosts of the peer's zone have a revision of
	// the configuration in force.
	KindConfirm
	// KindHandover has the tickets of a host that leaves.
	KindHandover
	// KindLend asks to borrow an unused part of a link's rate.
	KindLend
	// KindDrain asks how many requests are in flight at upstreams that leave.
	KindDrain
	// KindTokens asks for tokens of a client account's limit.
	KindTokens
)
