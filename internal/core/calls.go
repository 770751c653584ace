package core

// callRate estimates how many nested calls a request of the local backend server makes.
type callRate struct{ runs, calls float64 }

// callWindow is the number of requests over which the estimate is taken.
const callWindow = 200

func (c *callRate) add(calls float64) { c.calls += calls }

func (c *callRate) addRun() {
	c.runs++

	if c.runs > callWindow {
		c.runs, c.calls = c.runs/2, c.calls/2
	}
}

func (c *callRate) perRun() float64 {
	if c.runs == 0 {
		return 0
	}

	return c.calls / c.runs
}
