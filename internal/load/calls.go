package load

// Calls is the number of calls that a request usually makes to one service.
type Calls struct {
	Service string
	// Rate is the number of calls per request.
	Rate float64
}
