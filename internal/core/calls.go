package core

import (
	"cmp"
	"slices"

	"github.com/tarragonmill/tarragonmill/internal/load"
)

// callRates estimates how many calls a request of the local backend server makes to each service.
type callRates struct {
	runs  float64
	calls map[string]float64
}

const (
	// callWindow is the number of requests over which the estimate is taken.
	callWindow = 200
	// leastRate is the number of calls for each request below which a service is left out.
	leastRate = 0.01
)

func (c *callRates) add(service string) { c.calls[service]++ }

func (c *callRates) addRun() {
	c.runs++

	if c.runs <= callWindow {
		return
	}

	c.runs /= 2
	for service := range c.calls {
		c.calls[service] /= 2
	}
}

// perRun lists the services in a fixed order.
func (c *callRates) perRun() []load.Calls {
	var all []load.Calls

	for service, calls := range c.calls {
		if rate := calls / max(1, c.runs); rate >= leastRate {
			all = append(all, load.Calls{Service: service, Rate: rate})
		}
	}

	slices.SortFunc(all, func(a, b load.Calls) int { return cmp.Compare(a.Service, b.Service) })

	return all
}
