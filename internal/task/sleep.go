package task

import (
	"context"
	"time"
)

// Sleep waits for a period and returns true. If ctx ends first, it returns false at once.
func Sleep(ctx context.Context, period time.Duration) bool {
	timer := time.NewTimer(period)
	defer timer.Stop()

	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
