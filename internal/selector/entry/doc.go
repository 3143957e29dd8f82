// Package entry is one entry host of `cairndock serve`. It joins the packages
// below it, each of which owns one duty with its state and its lock:
//
//	peers         what is known of the other hosts
//	services      each service's slots and choice of zones
//	configsync    the replica of the configuration, and changes to it
//	rosters       membership in the zone, and the slots that it gives
//	upstreams     instances of the zone's upstreams, and which are leaving
//	heartbeats    what hosts report to each other
//	fence         whether the host may still use its slots
//	platformcalls calls to the platform, within the host's rate
//	admission     a slot and an upstream for one request
//	forward       requests to and from other hosts
//	dispatch      where a request goes, and whether it is tried again
//	tickets       requests that run at most once
//	links         the pace of traffic to other regions
//	directory     the hosts that clients may use
//	drain         work outstanding at upstreams
//
// Each part is made by its New from Options, which do not change afterwards.
// The host itself owns its loop, whether it is ready or leaving, and its
// status. docs/design has the reasons, one page a duty.
//
// # Lock order
//
// A lock is held while another is taken in these cases only, in this order:
//
//	rosters.Membership, upstreams.Tracker, a service's gate, a service's
//	decider, peers.Table, the host's random source
//	links.Links, a link's pacer
//
// All other locks are held alone. What one duty starts in another through its
// Options (Changed, NewEpoch, NotifyZone and so on) it starts without a lock.
package entry
