package poison

import (
	"slices"
	"time"
)

// Report has the terminations of one suspect that a host knows. It is sent to other hosts
// (msgpack) and, if the suspect is quarantined, stored (JSON).
type Report struct {
	Fingerprint  Fingerprint   `msgpack:"f" json:"fingerprint"`
	Terminations []Termination `msgpack:"e" json:"ends"`
}

// Current reports whether at least one of the terminations is not too old to be used.
func (r Report) Current() bool {
	return slices.ContainsFunc(r.Terminations, func(e Termination) bool { return e.Age < terminationRetention.Milliseconds() })
}

// Last returns when the last of the terminations happened that no response cleared, for a
// report that is created now; zero if there is none.
func (r Report) Last(now time.Time) (last time.Time) {
	for _, e := range r.Terminations {
		if at := now.Add(-time.Duration(e.Age) * time.Millisecond); !e.Cleared && at.After(last) {
			last = at
		}
	}
	return last
}

// Termination is the termination of one run of an upstream while it ran a request. Its times are in
// milliseconds.
type Termination struct {
	// Run is the run that terminated.
	Run string `msgpack:"r" json:"run"`
	// Host names the process that saw the termination. Began and Ended are when this
	// process's attempt began and ended, since the process started.
	Host  string `msgpack:"h" json:"host"`
	Began int64  `msgpack:"b" json:"began"`
	Ended int64  `msgpack:"n" json:"ended"`
	// Age is the time from the termination to the creation of the report.
	Age int64 `msgpack:"a" json:"age"`
	// Cleared is set when the request got a response afterwards.
	Cleared bool `msgpack:"c,omitempty" json:"cleared,omitempty"`
}

// report converts a termination to a report that is created now.
func (e *termination) report(now time.Time) Termination {
	return Termination{
		Run: e.run, Host: e.host, Began: e.began.Milliseconds(), Ended: e.ended.Milliseconds(),
		Age: max(0, now.Sub(e.at).Milliseconds()), Cleared: e.cleared,
	}
}

// termination converts a reported termination; ok is false if it is too old to be used or
// invalid.
func (r Termination) termination(now time.Time) (_ *termination, ok bool) {
	if r.Run == "" || len(r.Run) > maxNameBytes || len(r.Host) > maxNameBytes || r.Age < 0 || r.Age >= terminationRetention.Milliseconds() || r.Ended < r.Began {
		return nil, false
	}
	return &termination{
		run: r.Run, host: r.Host, began: time.Duration(r.Began) * time.Millisecond, ended: time.Duration(r.Ended) * time.Millisecond,
		at: now.Add(-time.Duration(r.Age) * time.Millisecond), cleared: r.Cleared,
	}, true
}

// maxNameBytes bounds the length of the names in a report: the platform's keys have up to
// 200 bytes, and the name of a run appends its start time to the key.
const maxNameBytes = 256
