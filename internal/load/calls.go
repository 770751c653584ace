package load

// Calls is the number of calls to one service that a request usually makes.
type Calls struct {
	Service string
	// Rate is the number of calls for each request.
	Rate float64
}
