// Package upstream keeps which upstreams run, drain, are evacuated or are
// cold.
//
// A Registry owns that state and decides how long an upstream is cold and how
// long one is kept whose entry lapsed; it gives readers an immutable Set. It
// relies on its caller, package routing, for the rows of the watched table, for
// locking and for the time.
package upstream

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Registration is what an upstream registered of itself, for one run of its
// process.
type Registration struct {
	// ID names the upstream. A process that starts again may keep it; Born then
	// tells its runs apart.
	ID string
	// Born is when the process started, by its own clock, in Unix milliseconds;
	// zero if it does not say. It is compared for equality only: a clock that was
	// set back makes a later run the one with the lower time.
	Born    int64
	Service string
	// Address is where it listens; it may pass to an upstream of another
	// service after this one has ended.
	Address string
	Zone    string
	Region  string
	// Capacity is how many requests it works on at the same time.
	Capacity int
	// Draining means that it takes no new work.
	Draining bool
	// ColdLeft is for how much longer it reports to be cold.
	ColdLeft time.Duration
}

// Run names one run of an upstream's process. What a host learned of a run, such
// as its load, failures and connections, says nothing of the next one, which
// starts without any of it.
type Run string

// Run returns the run that registered.
func (r Registration) Run() Run {
	if r.Born == 0 {
		return Run(r.ID)
	}
	return Run(r.ID + "@" + strconv.FormatInt(r.Born, 10))
}

// Upstream is a registered upstream with what the host derived for it. It is
// not changed after it is made.
type Upstream struct {
	Registration
	// run is Registration.Run, which every choice of an upstream asks for.
	run Run
	// seed is the hash of the id; zero until it is known.
	seed uint64
	// past are the runs before it.
	past pastRuns
	// ColdUntil is when the upstream counts as warm.
	ColdUntil time.Time
	// expiresAt is when an upstream whose entry lapsed counts as gone; zero
	// while it has an entry.
	expiresAt time.Time
}

// Run returns the run that registered.
func (u *Upstream) Run() Run {
	if u.run != "" {
		return u.run
	}
	return u.Registration.Run()
}

func (u *Upstream) lastRun() lastRun {
	return lastRun{run: u.Run(), coldUntil: u.ColdUntil, draining: u.Draining, past: u.past}
}

// Seed returns a number that depends on the id alone, by which upstreams are ordered
// for a key.
func (u *Upstream) Seed() uint64 {
	if u.seed != 0 {
		return u.seed
	}
	return xxhash.Sum64String(u.ID)
}

// Cold reports whether the upstream is warming up: it bears few requests.
func (u *Upstream) Cold(now time.Time) bool { return now.Before(u.ColdUntil) }
