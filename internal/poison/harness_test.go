package poison

import (
	"time"
)

// observed records what a table tells.
type observed struct {
	changes     int
	quarantined []Quarantine
	released    []Fingerprint
	ended       map[string]time.Time
}

func (o *observed) SuspicionsChanged() { o.changes++ }
func (o *observed) Ended(run string, at time.Time) {
	if o.ended == nil {
		o.ended = map[string]time.Time{}
	}
	o.ended[run] = at
}
func (o *observed) Quarantined(q Quarantine)       { o.quarantined = append(o.quarantined, q) }
func (o *observed) Released(f Fingerprint, _ bool) { o.released = append(o.released, f) }

// began is when the tests' processes started.
var began = time.Now()

// at gives a time of the tests, in milliseconds.
func at(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }

// printOf gives a fingerprint by a name.
func printOf(name string) Fingerprint { return Content{Target: name}.Fingerprint() }

// newTable makes the table of a process.
func newTable(process string) (*Table, *observed) {
	o := &observed{}
	return NewTable(process, began, o), o
}

// attempt is an attempt that ended with its upstream, in milliseconds.
type attempt struct {
	run          string
	began, ended int
}

func (a attempt) record(t *Table, f Fingerprint) {
	t.RecordEnd(f, Attempt{Run: a.run, Began: at(a.began), Ended: at(a.ended)})
}

// pass gives one table what it does not have of another's, delay milliseconds after a
// time, as a heartbeat does. It returns up to which the receiver has it.
func pass(from, to *Table, since int64, now, delay int) int64 {
	reports, upTo := from.Since(since, at(now))
	to.Merge(reports, at(now+delay))
	return upTo
}
