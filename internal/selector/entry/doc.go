// Package entry implements one entry host of `cairndock serve`. It connects the
// packages below it. Each of these packages owns one task with its state and its
// lock:
//
//	peers         the table of the other hosts
//	services      each service's slots and choice of zones
//	configsync    the replica of the configuration, and changes to it
//	rosters       membership in the zone's roster, and the assigned slots
//	upstreams     incarnations of the zone's upstreams, and which are leaving
//	heartbeats    the exchange of reports between hosts
//	fence         whether the host may still use its slots
//	platformcalls calls to the platform, within the host's rate
//	admission     a slot and an upstream for one request
//	forward       requests to and from other hosts
//	dispatch      where a request is sent, and whether it is retried
//	tickets       requests that run at most once
//	links         rate limits of the traffic to other regions
//	directory     the hosts that clients may use
//	drain         requests outstanding at upstreams
//
// Each component is created by the New function of its package from Options,
// which do not change afterwards. The host itself owns its loop, its readiness,
// its leaving state and its status. The reasons for the design are in
// docs/design, one page for each task.
//
// # Where decisions are made
//
//	why a request was refused      admission.Admitter.Acquire: no slot, a rule's
//	                               limit, a closed fence; dispatch: the cap of a
//	                               rule and the retries (commit), and the verdict
//	                               over all attempts (finalVerdict)
//	why it went to another zone    steer.Decider.Next; within a zone
//	                               peers.Table.WithMostFree
//	why it was sent twice          dispatch: mayRetry after a failed attempt,
//	                               mayHedge during a slow one
//	when a change is in force      on this host, once configsync.Replica.apply has
//	                               stored the view; in all zones, by
//	                               Replica.progress
//	when the host stops sending    fence.Fence.Tick: after a pause, or when no
//	                               host responds; it sends again once
//	                               rosters.Membership.Prove succeeds
//	when it loses its slots        rosters.Membership.isDead, on other hosts
//	the steps of a planned stop    Host.Stop
//
// # Lock order
//
// A lock is held while another is acquired only in these cases, in this order:
//
//	rosters.Membership, upstreams.Tracker, a service's gate, a service's
//	decider, peers.Table, the host's random source
//	links.Links, a link's pacer
//
// No other lock is held together with another one. The callbacks in Options
// (Changed, NewEpoch, NotifyZone and so on) are called without locks held.
package entry
