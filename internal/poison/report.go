package poison

import (
	"slices"
	"time"
)

// Report is what a host knows of one suspect, as sent to another host (msgpack) and, of
// a quarantined one, stored (JSON).
type Report struct {
	Fingerprint Fingerprint `msgpack:"f" json:"fingerprint"`
	Ends        []End       `msgpack:"e" json:"ends"`
}

// Counts reports whether one of the ends still counts.
func (r Report) Counts() bool {
	return slices.ContainsFunc(r.Ends, func(e End) bool { return e.Age < forgetAfter.Milliseconds() })
}

// End is the end of one run of an upstream under a request. Its times are in
// milliseconds.
type End struct {
	// Run is the run that ended.
	Run string `msgpack:"r" json:"run"`
	// Host names the process that saw it. Began and Ended are when its attempt began
	// and ended, since the process's start.
	Host  string `msgpack:"h" json:"host"`
	Began int64  `msgpack:"b" json:"began"`
	Ended int64  `msgpack:"n" json:"ended"`
	// Age is how long ago it ended when the report was made.
	Age int64 `msgpack:"a" json:"age"`
	// Cleared is set when the request got a response afterwards.
	Cleared bool `msgpack:"c,omitempty" json:"cleared,omitempty"`
}

func (e *end) report(now time.Time) End {
	return End{
		Run: e.run, Host: e.host, Began: e.began.Milliseconds(), Ended: e.ended.Milliseconds(),
		Age: max(0, now.Sub(e.at).Milliseconds()), Cleared: e.cleared,
	}
}

// end converts a reported end; ok is false if it no longer counts or makes no sense.
func (r End) end(now time.Time) (_ *end, ok bool) {
	if r.Run == "" || len(r.Run) > maxName || len(r.Host) > maxName || r.Age < 0 || r.Age >= forgetAfter.Milliseconds() || r.Ended < r.Began {
		return nil, false
	}
	return &end{
		run: r.Run, host: r.Host, began: time.Duration(r.Began) * time.Millisecond, ended: time.Duration(r.Ended) * time.Millisecond,
		at: now.Add(-time.Duration(r.Age) * time.Millisecond), cleared: r.Cleared,
	}, true
}

// maxName bounds the names in a report, in bytes: the platform's keys have up to 200,
// and a run adds when it began.
const maxName = 256
