// Package config implements the operator configuration of the selector path: its
// objects (this file), documents as operators write them, changes to objects
// and the log of changes in the store, the State at one revision, snapshots of
// a State, and the View of a State that the hosts of one zone use.
//
// State and View are immutable; With returns a new value that shares unchanged
// data with the old one. Only the log does I/O, through the interfaces Table
// and Objects. Package entry decides when a host reads the log and propagates
// changes.
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

// kinds lists all kinds in the order in which a snapshot contains them.
var kinds = []Kind{KindZone, KindService, KindUpstream, KindRule, KindLink, KindBlock}

// Class is the traffic class of a service on shared links.
type Class string

// The classes of traffic.
const (
	// Interactive traffic may use the whole link and has a reserved share.
	Interactive Class = "interactive"
	// Bulk traffic uses the capacity that interactive traffic does not use.
	Bulk Class = "bulk"
)

// Repeat defines which requests of a service may run more than once.
type Repeat string

// The values of Repeat.
const (
	// RepeatNever allows no repetition.
	RepeatNever Repeat = "never"
	// RepeatSafe allows repetition of the safe methods GET, HEAD and OPTIONS
	// (RFC 9110 section 9.2.1).
	RepeatSafe Repeat = "safe"
	// RepeatAlways allows repetition of every method.
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

// Prefer is the main criterion for selecting a zone for a service's requests.
type Prefer string

// The values of Prefer.
const (
	// PreferLatency weights the round-trip time most.
	PreferLatency Prefer = "latency"
	// PreferHeadroom weights utilization more than PreferLatency does.
	PreferHeadroom Prefer = "headroom"
)

// UpstreamState is the state that an operator sets for an upstream.
type UpstreamState string

// The states of an upstream.
const (
	// StateLive marks an upstream that receives requests.
	StateLive UpstreamState = "live"
	// StateLeaving marks an upstream that receives no new requests.
	StateLeaving UpstreamState = "leaving"
)

// Duration is a duration written as text, such as "1.5s".
type Duration = tomlfile.Duration

// Zone is an availability zone and its region.
type Zone struct {
	Name   string `toml:"name" msgpack:"n"`
	Region string `toml:"region" msgpack:"r"`
}

// Service is a service that clients name in their requests.
type Service struct {
	Name string `toml:"name" msgpack:"n"`
	// Class defaults to Interactive.
	Class Class `toml:"class" msgpack:"c"`
	// Repeat defaults to RepeatNever.
	Repeat Repeat `toml:"repeat" msgpack:"r"`
	// Prefer defaults to PreferLatency.
	Prefer Prefer `toml:"prefer" msgpack:"p"`
	// Timeout is the timeout of a request whose client sets none.
	Timeout Duration `toml:"timeout" msgpack:"t"`
	// MaxTimeout limits the timeout of every request, and thereby how long the
	// slots of a dead host stay unused.
	MaxTimeout Duration `toml:"max_timeout" msgpack:"m"`
	// RetryShare limits retries as a share of requests, 0 to 1; nil means
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
	// Slots is the maximum number of concurrent requests, 1 to maxSlots.
	Slots  int               `toml:"slots" msgpack:"l"`
	Labels map[string]string `toml:"labels" msgpack:"b"`
	State  UpstreamState     `toml:"state" msgpack:"t"`
}

// Rule assigns a share of a service's requests to a set of its upstreams.
type Rule struct {
	Name    string `toml:"name" msgpack:"n"`
	Service string `toml:"service" msgpack:"s"`
	// Selector selects upstreams by label, in the syntax of Kubernetes label
	// selectors.
	Selector string `toml:"selector" msgpack:"l"`
	// Share is the target share of the service's requests, 0 to 1.
	Share float64 `toml:"share" msgpack:"h"`
	// Cap is the upper limit of the share, 0 to 1; nil means 1. Cap is a
	// pointer to distinguish a cap of 0 from an unset cap.
	Cap *float64 `toml:"cap" msgpack:"c"`
	// Ramp is the maximum rate of change of the share, per second; 0 means that
	// changes apply at once.
	Ramp float64 `toml:"ramp" msgpack:"p"`
	// Rate limits requests per second over all hosts; 0 means no limit.
	Rate float64 `toml:"rate" msgpack:"r"`
	// InFlight limits concurrent requests over all hosts; 0 means no limit.
	InFlight int `toml:"in_flight" msgpack:"f"`
}

// Block maps a block of client addresses to its zone.
type Block struct {
	CIDR string `toml:"cidr" msgpack:"c"`
	Zone string `toml:"zone" msgpack:"z"`
}

// Link configures the bandwidth limit from one region to another. Each direction
// is a separate Link.
type Link struct {
	From string `toml:"from" msgpack:"f"`
	To   string `toml:"to" msgpack:"t"`
	// BytesPerSecond limits the link over all hosts.
	BytesPerSecond int64 `toml:"bytes_per_second" msgpack:"b"`
	// Reserved is the share reserved for interactive traffic, 0 to 1; nil means
	// defaultReservedShare.
	Reserved *float64 `toml:"reserved" msgpack:"r"`
}

// MaxShare returns the upper limit of the rule's share, 0 to 1.
func (r Rule) MaxShare() float64 { return valueOr(r.Cap, 1) }

// RetryBudget returns the limit of the service's retries, as a share of its
// requests, 0 to 1.
func (s Service) RetryBudget() float64 { return valueOr(s.RetryShare, defaultRetryShare) }

// ReservedShare returns the share of the link that is reserved for interactive
// traffic, 0 to 1.
func (l Link) ReservedShare() float64 { return valueOr(l.Reserved, defaultReservedShare) }

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
