package eventlog

import (
	"sync"
	"time"
)

// leftOut counts lines that were not written.
type leftOut struct {
	mutex sync.Mutex
	all   uint64
	told  uint64
	at    time.Time
}

func (c *leftOut) add() {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.all++
}

func (c *leftOut) total() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return c.all
}

// due returns the number of lines left out since it was last told, if it is time to tell it.
func (c *leftOut) due(now time.Time) uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if c.all == c.told || now.Sub(c.at) < leftOutInterval {
		return 0
	}

	count := c.all - c.told
	c.told, c.at = c.all, now

	return count
}
