// Package stand2 contains the stand-ins of the second review: a platform that starts daemons with the command of the
// deploy file and watches their memory, backend servers, and ordinary callers. All addresses are loopback addresses.
package stand2

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file that says what was sent, answered and run. It is safe for concurrent use.
type Record struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path) //nolint:gosec // the path is that of the case
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}

	return &Record{file: file, started: time.Now()}, nil
}

// Add writes a line that begins with the seconds since the start.
func (r *Record) Add(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
