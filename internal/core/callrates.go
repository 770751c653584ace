package core

import (
	"cmp"
	"slices"

	"github.com/tarragonmill/tarragonmill/internal/load"
)

// callRates estimates how many calls a request of the local backend server makes to each service.
type callRates struct {
	requests float64
	counts   map[string]float64
}

const (
	// callWindow is the number of requests over which the estimate is taken.
	callWindowRequests = 200
	// leastRate is the number of calls for each request below which a service is left out.
	minCallRate = 0.01
)

func (c *callRates) addCall(service string) { c.counts[service]++ }

func (c *callRates) addRequest() {
	c.requests++

	if c.requests <= callWindowRequests {
		return
	}

	c.requests /= 2
	for service := range c.counts {
		c.counts[service] /= 2
	}
}

// perRun lists the services in a fixed order.
func (c *callRates) perRequest() []load.Calls {
	var all []load.Calls

	for service, calls := range c.counts {
		if rate := calls / max(1, c.requests); rate >= minCallRate {
			all = append(all, load.Calls{Service: service, Rate: rate})
		}
	}

	slices.SortFunc(all, func(a, b load.Calls) int { return cmp.Compare(a.Service, b.Service) })

	return all
}
