package core

import (
	"cmp"
	"slices"

	"github.com/tarragonmill/tarragonmill/internal/load"
)

// callRates estimates how many calls a request at the local backend server makes to each service.
type callRates struct {
	requests float64
	counts   map[string]float64
}

const (
	// callWindowRequests is the number of requests after which all counts are halved, so that recent requests weigh
	// more.
	callWindowRequests = 200
	// minCallRate is the rate, in calls per request, below which a service is left out.
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

// perRequest returns the calls per request for each service, sorted by service.
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
