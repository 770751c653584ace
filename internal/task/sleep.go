package task

import (
	"context"
	"time"
)

// Sleep waits for a period, or until ctx ends; then it returns false.
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
