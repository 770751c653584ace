// Package routing decides at the entry daemon which backend server runs a request, and what happens
// after each attempt. It does no I/O and reads no clock.
package routing

import "time"

// TickInterval is the period of Tick events.
const TickInterval = 50 * time.Millisecond
