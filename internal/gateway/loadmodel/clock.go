package loadmodel

import (
	"container/heap"
	"time"
)

// clock is virtual time with what is due.
type clock struct {
	now    time.Time
	queue  events
	number int
}

// event is something that is due; number keeps those of one moment in order.
type event struct {
	at       time.Time
	number   int
	run      func()
	canceled bool
}

// in runs a function after a time.
func (c *clock) in(d time.Duration, run func()) *event {
	c.number++
	e := &event{at: c.now.Add(max(0, d)), number: c.number, run: run}
	heap.Push(&c.queue, e)
	return e
}

// every runs a function again and again until a moment.
func (c *clock) every(d time.Duration, until time.Time, run func()) {
	c.in(d, func() {
		if c.now.After(until) {
			return
		}
		run()
		c.every(d, until, run)
	})
}

// play runs all that is due until nothing is.
func (c *clock) play() {
	for len(c.queue) > 0 {
		e := heap.Pop(&c.queue).(*event)
		c.now = e.at
		if !e.canceled {
			e.run()
		}
	}
}

// cancel makes an event that has not run yet do nothing; nil is none.
func (e *event) cancel() {
	if e != nil {
		e.canceled = true
	}
}

// events is a heap, the next one first.
type events []*event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].number < q[j].number
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
