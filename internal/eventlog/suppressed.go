package eventlog

import (
	"sync"
	"time"
)

// suppressedCounter counts log lines that a rate limit suppressed.
type suppressedCounter struct {
	mutex sync.Mutex
	// count is the number of lines suppressed since the start, and reported the part of it already logged.
	count      uint64
	reported   uint64
	reportedAt time.Time
}

func (c *suppressedCounter) increment() {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.count++
}

func (c *suppressedCounter) total() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return c.count
}

// takeUnreported returns the number of lines suppressed since the last report and marks them as reported. It returns
// zero if the last report is less than suppressionReportInterval ago.
func (c *suppressedCounter) takeUnreported(now time.Time) uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if c.count == c.reported || now.Sub(c.reportedAt) < suppressionReportInterval {
		return 0
	}

	count := c.count - c.reported
	c.reported, c.reportedAt = c.count, now

	return count
}
