// Package entry is one entry host of `cairndock serve`. It joins the packages
// below it, each of which owns one duty with its state and its lock:
//
//	peers         what is known of the other hosts
//	services      each service's slots and choice of zones
//	configsync    the replica of the configuration, and changes to it
//	rosters       membership in the zone, and the slots that it gives
//	upstreams     incarnations of the zone's upstreams, and which are leaving
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
// # Where a question is decided
//
//	why a request was refused      admission.Admitter.Acquire: no slot, a rule's
//	                               limit, a closed fence; dispatch: the cap of a
//	                               rule and the retries (commit), and the verdict
//	                               over all tries (finalVerdict)
//	why it went to another zone    steer.Decider.Next; within a zone
//	                               peers.Table.WithMostFree
//	why it was sent twice          dispatch: mayRetry after a failed try, mayHedge
//	                               beside a slow one
//	when a change is in force      here, once configsync.Replica.apply has stored
//	                               the view; in all zones, by Replica.progress
//	when the host stops sending    fence.Fence.Tick: after a pause, or when nobody
//	                               answers; rosters.Membership.Prove ends it
//	when it loses its slots        rosters.Membership.isGone, on other hosts
//	how a planned stop goes        Host.Stop
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
