package poison

import (
	"time"
)

// recorder records the notifications of a table.
type recorder struct {
	changes     int
	quarantined []Quarantine
	released    []Fingerprint
	terminated  map[string]time.Time
}

func (o *recorder) SuspicionsChanged() { o.changes++ }
func (o *recorder) UpstreamTerminated(run string, at time.Time) {
	if o.terminated == nil {
		o.terminated = map[string]time.Time{}
	}
	o.terminated[run] = at
}
func (o *recorder) Quarantined(q Quarantine)       { o.quarantined = append(o.quarantined, q) }
func (o *recorder) Released(f Fingerprint, _ bool) { o.released = append(o.released, f) }

// processStart is when the tests' processes started.
var processStart = time.Now()

// at returns the time that many milliseconds after processStart.
func at(ms int) time.Time { return processStart.Add(time.Duration(ms) * time.Millisecond) }

// fingerprintOf returns the fingerprint of the named request.
func fingerprintOf(name string) Fingerprint { return Content{Target: name}.Fingerprint() }

// newTable returns the table of a process, and the recorder of its notifications.
func newTable(process string) (*Table, *recorder) {
	o := &recorder{}
	return NewTable(process, processStart, o), o
}

// attempt is an attempt whose upstream terminated. began and ended are in milliseconds after
// processStart.
type attempt struct {
	run          string
	began, ended int
}

// record records the termination of the upstream in a table.
func (a attempt) record(t *Table, f Fingerprint) {
	t.RecordTermination(f, Attempt{Run: a.run, Began: at(a.began), Ended: at(a.ended)})
}

// sendUpdate sends the changes of one table after a sequence number to another table, as a
// heartbeat does. They arrive delay milliseconds after now. It returns the sequence number up
// to which the receiver has the changes.
func sendUpdate(from, to *Table, since int64, now, delay int) int64 {
	reports, upTo := from.since(since, at(now), All)
	to.Merge(reports, at(now+delay))
	return upTo
}
