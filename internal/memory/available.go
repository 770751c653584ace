package memory

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"runtime/debug"
	"strconv"
	"strings"
)

const (
	// outsideHeap is the memory in bytes that a process uses outside the Go runtime's heap and stacks: its code and data.
	outsideHeap = 40 << 20
	// base is the memory in bytes that a daemon uses in the Go runtime without bytes of callers: state, connections, and
	// what is not collected yet.
	base = 32 << 20
	// leastAccount is the least capacity of an account in bytes.
	leastAccount = 8 << 20
	// machineDivisor is the inverse of the share of an instance's memory that a daemon may use if nothing limits it, because
	// the backend server runs beside it.
	machineDivisor = 4
	// leastAvailable is the least that such a daemon may use, if the instance has it. It has room for the largest body.
	leastAvailable = 184_000_000
)

// Capacity returns the capacity of the account of a process that may use an amount of memory in bytes.
func Capacity(available int64) int64 { return max(SoftLimit(available)-base, leastAccount) }

// SoftLimit returns the limit for the Go runtime (runtime/debug.SetMemoryLimit) of a process that may use an amount of
// memory in bytes.
func SoftLimit(available int64) int64 { return max(available-outsideHeap, available/2) }

// SetSoftLimit sets the limit of the Go runtime, unless the environment sets one (GOMEMLIMIT).
func SetSoftLimit(available int64) {
	if runtimeLimit() == math.MaxInt64 {
		debug.SetMemoryLimit(SoftLimit(available))
	}
}

// runtimeLimit returns the present limit of the Go runtime in bytes.
func runtimeLimit() int64 { return debug.SetMemoryLimit(-1) }

// Available returns the memory in bytes that the process may use: the lowest of the limits of its control groups, of
// GOMEMLIMIT and of a quarter of the instance's memory, which counts as at least 184 MB. A limit that cannot be read does not count.
func Available() int64 {
	available := int64(math.MaxInt64)

	if limit := runtimeLimit(); limit < math.MaxInt64 {
		available = limit + outsideHeap
	}

	if info, err := os.ReadFile("/proc/meminfo"); err == nil {
		available = min(available, shareOf(parseTotal(info)))
	}

	if groups, err := os.ReadFile("/proc/self/cgroup"); err == nil {
		available = min(available, groupLimit("/sys/fs/cgroup", groups))
	}

	return available
}

// shareOf returns what a daemon may use of an instance's memory, in bytes.
func shareOf(total int64) int64 { return max(total/machineDivisor, min(total, leastAvailable)) }

// parseTotal returns the memory in bytes that a file in the format of /proc/meminfo states.
func parseTotal(info []byte) int64 {
	const kibibyte = 1 << 10

	for line := range bytes.Lines(info) {
		fields := strings.Fields(string(line))
		if len(fields) < 2 || fields[0] != "MemTotal:" {
			continue
		}

		if total, err := strconv.ParseInt(fields[1], 10, 64); err == nil && total > 0 {
			return total * kibibyte
		}
	}

	return math.MaxInt64
}

// groupLimit returns the lowest limit in bytes of the control groups that a file in the format of /proc/self/cgroup
// lists, of version 1 or 2, and of their parents.
func groupLimit(root string, groups []byte) int64 {
	lowest := int64(math.MaxInt64)

	for line := range bytes.Lines(groups) {
		parts := strings.SplitN(strings.TrimSpace(string(line)), ":", 3)
		if len(parts) < 3 {
			continue
		}

		dir, file := root, "memory.max"

		switch {
		case parts[1] == "memory":
			dir, file = filepath.Join(root, "memory"), "memory.limit_in_bytes"
		case parts[1] != "":
			continue
		}

		for path := filepath.Clean("/" + parts[2]); ; path = filepath.Dir(path) {
			lowest = min(lowest, readLimit(filepath.Join(dir, path, file)))

			if path == "/" {
				break
			}
		}
	}

	return lowest
}

// readLimit returns the number of bytes in a file; the largest number if there is none.
func readLimit(path string) int64 {
	data, err := os.ReadFile(filepath.Clean(path))
	if err != nil {
		return math.MaxInt64
	}

	limit, err := strconv.ParseInt(strings.TrimSpace(string(data)), 10, 64)
	if err != nil || limit <= 0 {
		// "max" stands for no limit.
		return math.MaxInt64
	}

	return limit
}
