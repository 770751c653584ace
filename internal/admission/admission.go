// Package admission decides at the daemon beside a backend server which attempts run, wait or are
// refused. It does no I/O and reads no clock.
package admission
