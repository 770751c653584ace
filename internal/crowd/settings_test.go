package crowd_test

// Settings of the daemon under test: those with a crowd, and those in calm.
const (
	limitSettings = ""
	calmSettings  = ""
)
