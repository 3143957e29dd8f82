// Package config keeps the steering configuration: its objects, their
// versions, the log of changes and what is in force on this host.
package config

import "cairndock/internal/tomlfile"

// Kind names a kind of configuration object.
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

// Class says how a service's traffic is treated on shared links.
type Class string

// The classes of traffic.
const (
	Interactive Class = "interactive"
	Bulk        Class = "bulk"
)

// Repeat says which requests of a service may be sent to an upstream twice.
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

// Allows reports whether a request with this method may be repeated.
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

// Prefer says what a service's steering weighs most.
type Prefer string

// The values of Prefer.
const (
	PreferLatency  Prefer = "latency"
	PreferHeadroom Prefer = "headroom"
)

// UpstreamState is an operator's word on an upstream.
type UpstreamState string

// The states an operator may set.
const (
	StateLive    UpstreamState = "live"
	StateLeaving UpstreamState = "leaving"
)

// Duration is a duration written as text, such as "1.5s".
type Duration = tomlfile.Duration

// Zone is an availability zone and the region it is part of.
type Zone struct {
	Name   string `toml:"name" msgpack:"n"`
	Region string `toml:"region" msgpack:"r"`
}

// Service is a service that callers name.
type Service struct {
	Name string `toml:"name" msgpack:"n"`
	// Class is interactive by default.
	Class Class `toml:"class" msgpack:"c"`
	// Repeat is never by default.
	Repeat Repeat `toml:"repeat" msgpack:"r"`
	// Prefer is latency by default.
	Prefer Prefer `toml:"prefer" msgpack:"p"`
	// Timeout is the deadline of a request that names none.
	Timeout Duration `toml:"timeout" msgpack:"t"`
	// MaxTimeout bounds every deadline and so how long a dead host's slots
	// stay unused.
	MaxTimeout Duration `toml:"max_timeout" msgpack:"m"`
	// RetryShare bounds retries as a share of requests; nil is a tenth.
	RetryShare *float64 `toml:"retry_share" msgpack:"s"`
}

// Upstream is one instance of a service.
type Upstream struct {
	Name    string            `toml:"name" msgpack:"n"`
	Service string            `toml:"service" msgpack:"s"`
	Zone    string            `toml:"zone" msgpack:"z"`
	Addr    string            `toml:"addr" msgpack:"a"`
	Slots   int               `toml:"slots" msgpack:"l"`
	Labels  map[string]string `toml:"labels" msgpack:"b"`
	State   UpstreamState     `toml:"state" msgpack:"t"`
}

// Rule says which upstreams may receive which share of a service.
type Rule struct {
	Name     string `toml:"name" msgpack:"n"`
	Service  string `toml:"service" msgpack:"s"`
	Selector string `toml:"selector" msgpack:"l"`
	// Share is the target share of the service's requests, 0 to 1.
	Share float64 `toml:"share" msgpack:"h"`
	// Cap is the share never exceeded, 0 to 1; nil is 1. It is a pointer so
	// that a cap of 0 is not taken for one that is not set.
	Cap *float64 `toml:"cap" msgpack:"c"`
	// Ramp is how fast the share may move, in share per second; 0 is at once.
	Ramp float64 `toml:"ramp" msgpack:"p"`
	// Rate bounds requests per second over all hosts; 0 is no bound.
	Rate float64 `toml:"rate" msgpack:"r"`
	// InFlight bounds requests outstanding over all hosts; 0 is no bound.
	InFlight int `toml:"in_flight" msgpack:"f"`
}

// Block maps a block of callers to its zone.
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
	// Reserved is the part kept for interactive traffic, 0 to 1; nil is 0.3.
	Reserved *float64 `toml:"reserved" msgpack:"r"`
}

// MaxShare is the share that the rule never exceeds.
func (r Rule) MaxShare() float64 { return valueOr(r.Cap, 1) }

// RetryBudget is the service's retries as a share of its requests.
func (s Service) RetryBudget() float64 { return valueOr(s.RetryShare, defaultRetryShare) }

// ReservedShare is the part of the link kept for interactive traffic.
func (l Link) ReservedShare() float64 { return valueOr(l.Reserved, defaultReserved) }

func valueOr(p *float64, def float64) float64 {
	if p == nil {
		return def
	}
	return *p
}

// Key is the link's object name.
func (l Link) Key() string { return l.From + ">" + l.To }
