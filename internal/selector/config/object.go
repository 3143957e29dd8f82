// Package config holds the operator configuration of the selector path: its
// objects (this file), documents as operators write them, changes to objects
// and their log in the store, the State at one revision, snapshots of it, and
// the View of it that one zone's hosts work by.
//
// State and View are immutable; With returns the next one and shares what did
// not change. The log is the only part that does I/O, by the interfaces Table
// and Objects. When a host reads the log and passes changes on is decided in
// the entry package.
package config

import "cairndock/internal/tomlfile"

// Kind is a kind of configuration object. Its values are stored data.
type Kind string

// The kinds of object.
const (
	KindZone     Kind = "zone"
	KindService  Kind = "service"
	KindUpstream Kind = "upstream"
	KindRule     Kind = "rule"
	KindBlock    Kind = "block"
	KindLink     Kind = "link"
)

// kinds are all kinds, in the order of a snapshot.
var kinds = []Kind{KindZone, KindService, KindUpstream, KindRule, KindLink, KindBlock}

// Class is how a service's traffic is treated on shared links.
type Class string

// The classes of traffic.
const (
	// Interactive traffic may use the whole link, and has a reserved part.
	Interactive Class = "interactive"
	// Bulk traffic uses what interactive traffic leaves.
	Bulk Class = "bulk"
)

// Repeat is which requests of a service may run more than once.
type Repeat string

// The values of Repeat.
const (
	// RepeatNever allows no repetition.
	RepeatNever Repeat = "never"
	// RepeatSafe allows it for GET, HEAD and OPTIONS (RFC 9110 section 9.2.1).
	RepeatSafe Repeat = "safe"
	// RepeatAlways allows it for every method.
	RepeatAlways Repeat = "always"
)

// Allows reports whether a request with this method may run more than once.
func (r Repeat) Allows(method string) bool {
	switch r {
	case RepeatAlways:
		return true
	case RepeatSafe:
		return method == "GET" || method == "HEAD" || method == "OPTIONS"
	default:
		return false
	}
}

// Prefer is what the choice of a zone for a service's requests weighs most.
type Prefer string

// The values of Prefer.
const (
	// PreferLatency weighs the round trip most.
	PreferLatency Prefer = "latency"
	// PreferHeadroom weighs crowding more than PreferLatency does.
	PreferHeadroom Prefer = "headroom"
)

// UpstreamState is the state an operator sets for an upstream.
type UpstreamState string

// The states of an upstream.
const (
	// StateLive upstreams get requests.
	StateLive UpstreamState = "live"
	// StateLeaving upstreams get no new requests.
	StateLeaving UpstreamState = "leaving"
)

// Duration is a duration written as text, such as "1.5s".
type Duration = tomlfile.Duration

// Zone is an availability zone and the region it is part of.
type Zone struct {
	Name   string `toml:"name" msgpack:"n"`
	Region string `toml:"region" msgpack:"r"`
}

// Service is a service that clients name in their requests.
type Service struct {
	Name string `toml:"name" msgpack:"n"`
	// Class is interactive by default.
	Class Class `toml:"class" msgpack:"c"`
	// Repeat is never by default.
	Repeat Repeat `toml:"repeat" msgpack:"r"`
	// Prefer is latency by default.
	Prefer Prefer `toml:"prefer" msgpack:"p"`
	// Timeout is the time of a request whose client sets none.
	Timeout Duration `toml:"timeout" msgpack:"t"`
	// MaxTimeout limits the time of every request, and so how long the slots
	// of a dead host stay unused.
	MaxTimeout Duration `toml:"max_timeout" msgpack:"m"`
	// RetryShare limits retries as a share of requests, 0 to 1; nil is
	// defaultRetryShare.
	RetryShare *float64 `toml:"retry_share" msgpack:"s"`
}

// Upstream is one server of a service.
type Upstream struct {
	Name    string `toml:"name" msgpack:"n"`
	Service string `toml:"service" msgpack:"s"`
	Zone    string `toml:"zone" msgpack:"z"`
	// Addr is "address:port".
	Addr string `toml:"addr" msgpack:"a"`
	// Slots is how many requests it can run at a time, 1 to maxSlots.
	Slots  int               `toml:"slots" msgpack:"l"`
	Labels map[string]string `toml:"labels" msgpack:"b"`
	State  UpstreamState     `toml:"state" msgpack:"t"`
}

// Rule assigns a share of a service's requests to a set of its upstreams.
type Rule struct {
	Name    string `toml:"name" msgpack:"n"`
	Service string `toml:"service" msgpack:"s"`
	// Selector chooses the upstreams by their labels, in the syntax of
	// Kubernetes' label selectors.
	Selector string `toml:"selector" msgpack:"l"`
	// Share is the target share of the service's requests, 0 to 1.
	Share float64 `toml:"share" msgpack:"h"`
	// Cap is the share that is never exceeded, 0 to 1; nil is 1. It is a
	// pointer so that a cap of 0 is distinct from one that is not set.
	Cap *float64 `toml:"cap" msgpack:"c"`
	// Ramp is how fast the share may move, in share per second; 0 is at once.
	Ramp float64 `toml:"ramp" msgpack:"p"`
	// Rate limits requests per second over all hosts; 0 is no limit.
	Rate float64 `toml:"rate" msgpack:"r"`
	// InFlight limits outstanding requests over all hosts; 0 is no limit.
	InFlight int `toml:"in_flight" msgpack:"f"`
}

// Block maps a block of client addresses to its zone.
type Block struct {
	CIDR string `toml:"cidr" msgpack:"c"`
	Zone string `toml:"zone" msgpack:"z"`
}

// Link is the limit of the link between two regions, one way.
type Link struct {
	From string `toml:"from" msgpack:"f"`
	To   string `toml:"to" msgpack:"t"`
	// BytesPerSecond is the whole link's limit over all hosts.
	BytesPerSecond int64 `toml:"bytes_per_second" msgpack:"b"`
	// Reserved is the part kept for interactive traffic, 0 to 1; nil is
	// defaultReserved.
	Reserved *float64 `toml:"reserved" msgpack:"r"`
}

// MaxShare is the share that the rule never exceeds, 0 to 1.
func (r Rule) MaxShare() float64 { return valueOr(r.Cap, 1) }

// RetryBudget is the limit of the service's retries, as a share of its requests.
func (s Service) RetryBudget() float64 { return valueOr(s.RetryShare, defaultRetryShare) }

// ReservedShare is the part of the link kept for interactive traffic.
func (l Link) ReservedShare() float64 { return valueOr(l.Reserved, defaultReserved) }

func valueOr(p *float64, def float64) float64 {
	if p == nil {
		return def
	}
	return *p
}

func (z *Zone) ref() Ref     { return Ref{KindZone, z.Name} }
func (s *Service) ref() Ref  { return Ref{KindService, s.Name} }
func (u *Upstream) ref() Ref { return Ref{KindUpstream, u.Name} }
func (r *Rule) ref() Ref     { return Ref{KindRule, r.Name} }
func (b *Block) ref() Ref    { return Ref{KindBlock, b.CIDR} }
func (l *Link) ref() Ref     { return Ref{KindLink, l.From + ">" + l.To} }
func (r *Removal) ref() Ref  { return Ref{r.Kind, r.Name} }
