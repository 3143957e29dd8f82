package loadmodel

import (
	"container/heap"
	"time"
)

// clock is a virtual clock with a queue of scheduled events.
type clock struct {
	now      time.Time
	queue    events
	sequence int
}

// event is a scheduled function. Events of the same time run in the order of their
// sequence numbers.
type event struct {
	at       time.Time
	sequence int
	run      func()
	canceled bool
}

// after schedules a function to run once d has passed. A negative d counts as zero.
func (c *clock) after(d time.Duration, run func()) *event {
	c.sequence++
	e := &event{at: c.now.Add(max(0, d)), sequence: c.sequence, run: run}
	heap.Push(&c.queue, e)
	return e
}

// every runs a function at the interval d up to and including the time until.
func (c *clock) every(d time.Duration, until time.Time, run func()) {
	c.after(d, func() {
		if c.now.After(until) {
			return
		}
		run()
		c.every(d, until, run)
	})
}

// run executes events in order until the queue is empty.
func (c *clock) run() {
	for len(c.queue) > 0 {
		e := heap.Pop(&c.queue).(*event)
		c.now = e.at
		if !e.canceled {
			e.run()
		}
	}
}

// cancel prevents an event that has not run yet from running. A nil event is
// ignored.
func (e *event) cancel() {
	if e != nil {
		e.canceled = true
	}
}

// events is a heap of events, ordered by time and sequence number.
type events []*event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *events) Push(x any) { *q = append(*q, x.(*event)) }

// Pop implements heap.Interface.
func (q *events) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
