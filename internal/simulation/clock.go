package simulation

import (
	"container/heap"
	"time"
)

// event is an action scheduled for a point in virtual time.
type event struct {
	time time.Time
	// sequence orders events that are scheduled for the same time.
	sequence uint64
	action   func()
	// index is the position in the queue; negative once the event has run or was cancelled.
	index int
}

// clock is a virtual clock: it advances from one scheduled event to the next.
type clock struct {
	now          time.Time
	queue        eventQueue
	lastSequence uint64
}

func (c *clock) schedule(when time.Time, action func()) *event {
	if when.Before(c.now) {
		when = c.now
	}

	c.lastSequence++
	e := &event{time: when, sequence: c.lastSequence, action: action}
	heap.Push(&c.queue, e)

	return e
}

func (c *clock) scheduleAfter(delay time.Duration, action func()) *event {
	return c.schedule(c.now.Add(delay), action)
}

// cancel removes an event from the queue. The event may be nil or have run already.
func (c *clock) cancel(e *event) {
	if e != nil && e.index >= 0 {
		heap.Remove(&c.queue, e.index)
	}
}

// runUntil runs all events that are due up to the given time.
func (c *clock) runUntil(until time.Time) {
	for len(c.queue) > 0 && !c.queue[0].time.After(until) {
		e, _ := heap.Pop(&c.queue).(*event)
		c.now = e.time
		e.action()
	}

	c.now = until
}

// eventQueue implements heap.Interface, ordered by time.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if !q[i].time.Equal(q[j].time) {
		return q[i].time.Before(q[j].time)
	}

	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *eventQueue) Push(x any) {
	e, _ := x.(*event)
	e.index = len(*q)
	*q = append(*q, e)
}

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	e.index = -1

	return e
}
