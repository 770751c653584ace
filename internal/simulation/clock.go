package simulation

import (
	"container/heap"
	"time"
)

// event is something that happens at a time.
type event struct {
	at time.Time
	// number orders events of the same time.
	number uint64
	do     func()
	// index in the queue; negative once it has happened or was stopped.
	index int
}

// clock lets time pass from one event to the next.
type clock struct {
	now    time.Time
	queue  queue
	number uint64
}

func (c *clock) at(when time.Time, do func()) *event {
	if when.Before(c.now) {
		when = c.now
	}

	c.number++
	e := &event{at: when, number: c.number, do: do}
	heap.Push(&c.queue, e)

	return e
}

func (c *clock) after(pause time.Duration, do func()) *event { return c.at(c.now.Add(pause), do) }

// stop takes an event back. It may be nil or have happened.
func (c *clock) stop(e *event) {
	if e != nil && e.index >= 0 {
		heap.Remove(&c.queue, e.index)
	}
}

// run performs the events up to a time.
func (c *clock) run(until time.Time) {
	for len(c.queue) > 0 && !c.queue[0].at.After(until) {
		e, _ := heap.Pop(&c.queue).(*event)
		c.now = e.at
		e.do()
	}

	c.now = until
}

// queue implements heap.Interface.
type queue []*event

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}

	return q[i].number < q[j].number
}

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *queue) Push(x any) {
	e, _ := x.(*event)
	e.index = len(*q)
	*q = append(*q, e)
}

func (q *queue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	e.index = -1

	return e
}
