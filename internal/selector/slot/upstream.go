package slot

import "time"

// Outcome is how a request at an upstream ended.
type Outcome uint8

const (
	// Success is a whole response.
	Success Outcome = iota
	// Shed is the upstream's own refusal.
	Shed
	// Failure is a broken or missing response.
	Failure
	// Unused is a slot given back before anything was sent.
	Unused
)

// latencyWeight is the weight of a new latency in the moving average.
const latencyWeight = 0.2

// Spec describes an upstream to a pool.
type Spec struct {
	// Name is the upstream's name.
	Name string
	// Held is how many of its slots this host may use.
	Held int
	// Leaving says that no new request may go there.
	Leaving bool
}

// upstream is the state of an upstream in a pool. Times are in nanoseconds of
// the pool's clock.
type upstream struct {
	name        string
	held        int
	leaving     bool
	outstanding int
	// limit is the concurrency limit in slots, of which whole ones are used.
	limit       float64
	decreasedAt int64
	latency     float64 // moving average, in seconds; 0 before the first
	// failures and sheds are in a row; sheds only those at the least limit.
	failures     int
	sheds        int
	ejectedUntil int64
	reported     float64 // load, 0 to 1
	reportedAt   int64
}

func (u *upstream) ejected(now int64) bool { return u.ejectedUntil > now }

// record learns from how a request ended.
func (u *upstream) record(o Outcome, latency time.Duration, now int64) {
	switch o {
	case Success:
		u.succeeded(latency)
	case Shed:
		u.shed(now)
	case Failure:
		u.failed(now)
	case Unused:
	}
}

func (u *upstream) succeeded(latency time.Duration) {
	u.readmit()
	seconds := latency.Seconds()
	if u.latency == 0 {
		u.latency = seconds
	}
	u.latency += latencyWeight * (seconds - u.latency)
	u.limit = increase(u.limit, u.held)
}

func (u *upstream) failed(now int64) {
	u.ejectedUntil = now + int64(ejection(failEjection, maxFailEjection, u.failures))
	u.failures++
	u.limit = coldLimit
}

func (u *upstream) shed(now int64) {
	if now-u.decreasedAt < int64(decreaseInterval) {
		return
	}
	u.decreasedAt = now
	if u.limit <= coldLimit {
		u.ejectedUntil = now + int64(ejection(shedEjection, maxShedEjection, u.sheds))
		u.sheds++
	}
	u.limit = decrease(u.limit)
}

// readmit ends an ejection, and the row of failures that led to it.
func (u *upstream) readmit() {
	u.failures = 0
	u.sheds = 0
	u.ejectedUntil = 0
}

// restarted makes the upstream cold again.
func (u *upstream) restarted() {
	u.readmit()
	u.limit = coldLimit
}

func (u *upstream) report(load float64, at int64) {
	u.reported = max(0, min(1, load))
	u.reportedAt = at
}
