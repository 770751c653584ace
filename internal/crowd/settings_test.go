package crowd_test

// Settings of the daemon under test: those with a crowd, and those in calm.
const (
	limitSettings = "[limits]\nmemory = 140000000\nconnections = 60\n"
	calmSettings  = "[limits]\nmemory = 184000000\n"
)
