// Package resources divides the memory and the descriptors of a process among the uses that
// clients make of them. It owns no state. A process whose settings do not say what it may use
// has the limit on descriptors of its environment and an assumed memory.
package resources

import (
	"runtime/debug"

	"golang.org/x/sys/unix"

	"cairndock/internal/settings"
)

const (
	// MaxMemoryMB and MaxDescriptors are the maximum values of the settings: bounds on values
	// that are mistakes.
	MaxMemoryMB    = 1 << 30
	MaxDescriptors = 1 << 30

	// assumedMemoryMB is the memory of a process if the settings do not say it.
	assumedMemoryMB = 288
	// assumedDescriptors is the number of descriptors if the limit can't be read.
	assumedDescriptors = 1024
	// bodiesDivisor and connsDivisor are the divisors of the memory for the bodies of requests,
	// and for connections with the headers of their requests.
	bodiesDivisor = 3
	connsDivisor  = 6
	// heapPercent is the part of the memory for the runtime, in percent. The rest is for the
	// program itself and for the time in which the garbage collector reacts.
	heapPercent = 80
)

// Limits are what a process may use. Zero is unknown.
type Limits struct {
	// MemoryMB is the memory, in units of 1024*1024 bytes.
	MemoryMB int64 `toml:"memory_mb"`
	// Descriptors is the number of open descriptors.
	Descriptors int64 `toml:"descriptors"`
}

// Check adds the faults of the settings' section [resources] to f.
func (l Limits) Check(f *settings.Faults) {
	f.Require(l.MemoryMB >= 0 && l.MemoryMB <= MaxMemoryMB, "resources.memory_mb", "must be from 0 to 1073741824")
	f.Require(l.Descriptors >= 0 && l.Descriptors <= MaxDescriptors, "resources.descriptors", "must be from 0 to 1073741824")
}

// memory returns the memory in bytes.
func (l Limits) memory() int64 {
	if l.MemoryMB == 0 {
		return assumedMemoryMB << 20
	}
	return l.MemoryMB << 20
}

// descriptors returns the number of open descriptors.
func (l Limits) descriptors() int {
	var limit unix.Rlimit
	current := uint64(assumedDescriptors)
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) == nil {
		current = min(limit.Cur, MaxDescriptors)
	}
	if l.Descriptors > 0 {
		current = min(current, uint64(l.Descriptors))
	}
	return int(current)
}

// BodiesBytes returns the memory for the bodies of all requests in flight, in bytes.
func (l Limits) BodiesBytes() int64 { return l.memory() / bodiesDivisor }

// ConnsBytes returns the memory for connections and the headers of their requests, in bytes.
func (l Limits) ConnsBytes() int64 { return l.memory() / connsDivisor }

// Conns returns the maximum number of connections that others open to the process. The rest of
// the descriptors is for connections that the process opens.
func (l Limits) Conns() int { return l.descriptors() * 7 / 8 }

// ClientConns returns the maximum number of connections of clients.
func (l Limits) ClientConns() int { return l.descriptors() * 5 / 8 }

// OtherConns returns the maximum number of connections of each other listener, so that none
// takes the connections of another.
func (l Limits) OtherConns() int { return l.descriptors() / 16 }

// LimitHeap makes the garbage collector keep the process within its memory, if it is known.
func (l Limits) LimitHeap() {
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(l.memory() / 100 * heapPercent)
	}
}
