// Package upstream keeps which upstreams run, drain, are evacuated or are
// cold.
//
// A Registry owns that state and decides how long an upstream is cold and how
// long one is kept whose entry lapsed; it gives readers an immutable Set. It
// relies on its caller, package routing, for the rows of the watched table, for
// locking and for the time.
package upstream

import "time"

// Registration is what an upstream registered of itself, for one run of its
// process. Its ID is never used again.
type Registration struct {
	ID      string
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

// Upstream is a registered upstream with what the host derived for it. It is
// not changed after it is made.
type Upstream struct {
	Registration
	// ColdUntil is when the upstream counts as warm.
	ColdUntil time.Time
	// expiresAt is when an upstream whose entry lapsed counts as gone; zero
	// while it has an entry.
	expiresAt time.Time
}

// Cold reports whether the upstream is warming up: it bears few requests.
func (u *Upstream) Cold(now time.Time) bool { return now.Before(u.ColdUntil) }
