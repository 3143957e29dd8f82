package slot

import "time"

// Outcome is the outcome of a request at an upstream.
type Outcome uint8

const (
	// Success means that the response was complete.
	Success Outcome = iota
	// Shed means that the upstream itself refused the request.
	Shed
	// Failure means that the response was incomplete or missing.
	Failure
	// Unused means that the slot was released before anything was sent.
	Unused
)

// latencyWeight is the weight of a new sample in the moving average of the latency.
const latencyWeight = 0.2

// Spec describes an upstream to a pool.
type Spec struct {
	// Name is the upstream's name.
	Name string
	// Held is the number of the upstream's slots that this host may use.
	Held int
	// Leaving is true if the upstream must not receive new requests.
	Leaving bool
}

// upstream is the state of an upstream in a pool. Times are in nanoseconds of
// the pool's clock.
type upstream struct {
	name        string
	held        int
	leaving     bool
	outstanding int
	// limit is the concurrency limit in slots. It is rounded down when it is used.
	limit       float64
	decreasedAt int64
	latency     float64 // moving average, in seconds; 0 before the first success
	// failures and sheds are the numbers of consecutive failures and sheds. Only
	// sheds at the minimum concurrency limit are counted.
	failures     int
	sheds        int
	ejectedUntil int64
	reported     float64 // last reported load, from 0 to 1
	reportedAt   int64
}

func (u *upstream) ejected(now int64) bool { return u.ejectedUntil > now }

// record updates the upstream's state after a request with the given outcome.
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
	u.ejectedUntil = now + int64(ejectionPeriod(minFailurePeriod, maxFailurePeriod, u.failures))
	u.failures++
	u.limit = coldLimit
}

func (u *upstream) shed(now int64) {
	if now-u.decreasedAt < int64(minDecreaseInterval) {
		return
	}
	u.decreasedAt = now
	if u.limit <= coldLimit {
		u.ejectedUntil = now + int64(ejectionPeriod(minShedPeriod, maxShedPeriod, u.sheds))
		u.sheds++
	}
	u.limit = decrease(u.limit)
}

// readmit ends an ejection and resets the counts of consecutive failures and sheds.
func (u *upstream) readmit() {
	u.failures = 0
	u.sheds = 0
	u.ejectedUntil = 0
}

// restarted makes the upstream cold and ends its ejection.
func (u *upstream) restarted() {
	u.readmit()
	u.limit = coldLimit
}

func (u *upstream) report(load float64, at int64) {
	u.reported = max(0, min(1, load))
	u.reportedAt = at
}
