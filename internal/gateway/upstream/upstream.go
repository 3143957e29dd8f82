// Package upstream keeps track of the upstreams that are running, draining, evacuated or
// cold.
//
// A Registry owns this state, and decides how long an upstream is cold and how long an
// upstream is kept whose entry lapsed. Readers get an immutable Set. The registry relies on
// its caller, package routing, for the rows of the watched table, for locking and for the
// time.
package upstream

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Registration is the entry that an upstream writes about itself, for one run of its
// process.
type Registration struct {
	// ID identifies the upstream. A process that restarts may keep it; StartedAt then
	// distinguishes its runs.
	ID string
	// StartedAt is when the process started, by its own clock, in Unix milliseconds; zero
	// if the entry does not contain it. It is compared for equality only, because a
	// later run has a lower time if the clock was set back.
	StartedAt int64
	Service   string
	// Address is where the upstream listens. After the upstream has terminated, an
	// upstream of another service may use the same address.
	Address string
	Zone    string
	Region  string
	// SoftwareVersion is the version of the upstream's program.
	SoftwareVersion string
	// Capacity is the number of requests that the upstream processes at the same time.
	Capacity int
	// Draining means that the upstream takes no new work.
	Draining bool
	// ColdLeft is the remaining time for which the upstream reports to be cold.
	ColdLeft time.Duration
	// Sequence counts the entries that the run has written. A write that takes effect late
	// has a lower one than the entry that it overwrites.
	Sequence int64
}

// equal reports whether two entries differ at most in their sequence.
func (r Registration) equal(other Registration) bool {
	r.Sequence = other.Sequence
	return r == other
}

// Run identifies one run of an upstream's process, from its start to its end. The state that
// a host keeps of a run, such as load, failures and connections, does not apply to the next
// run, which starts without any.
type Run string

// Run returns the run that registered.
func (r Registration) Run() Run {
	if r.StartedAt == 0 {
		return Run(r.ID)
	}
	return Run(r.ID + "@" + strconv.FormatInt(r.StartedAt, 10))
}

// Upstream is a registered upstream with the state that the host derived for it. It is
// immutable.
type Upstream struct {
	Registration
	// run caches Registration.Run, which every choice of an upstream reads.
	run Run
	// seed is the hash of the id; zero if it was not computed.
	seed uint64
	// past are the runs before this one.
	past pastRuns
	// ColdUntil is the time from which the upstream is warm.
	ColdUntil time.Time
	// expiresAt is when an upstream without an entry is removed; zero while it has an
	// entry.
	expiresAt time.Time
}

// Run returns the run that registered.
func (u *Upstream) Run() Run {
	if u.run != "" {
		return u.run
	}
	return u.Registration.Run()
}

// withSequence returns the upstream with the sequence of a later entry.
func (u *Upstream) withSequence(sequence int64) *Upstream {
	if sequence <= u.Sequence {
		return u
	}
	later := *u
	later.Sequence = sequence
	return &later
}

// lastRun returns the state to keep of the upstream's run.
func (u *Upstream) lastRun() lastRun {
	return lastRun{run: u.Run(), coldUntil: u.ColdUntil, draining: u.Draining, sequence: u.Sequence, past: u.past}
}

// Seed returns a hash of the id alone, which determines the order of upstreams for a key.
func (u *Upstream) Seed() uint64 {
	if u.seed != 0 {
		return u.seed
	}
	return xxhash.Sum64String(u.ID)
}

// Cold reports whether the upstream is warming up and can only process few requests.
func (u *Upstream) Cold(now time.Time) bool { return now.Before(u.ColdUntil) }
