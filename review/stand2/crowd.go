package stand2

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// dialers is the number of connections that a crowd opens at the same time.
	dialers     = 32
	dialTimeout = time.Second
	// gatherInterval is the time between two looks at whether the daemon has ended.
	gatherInterval = 10 * time.Millisecond
)

// Gather opens connections to a machine, lets a member of the crowd use each of them until ctx ends, and closes them after
// hold or once the daemon has ended. It returns the number of connections.
func Gather(
	ctx context.Context, m *Machine, dialer net.Dialer, count int, hold time.Duration, member func(context.Context, net.Conn),
) int {
	var (
		workers, members sync.WaitGroup
		mutex            sync.Mutex
		opened           int
		ends             = m.Ends.Load()
	)

	ctx, cancel := context.WithTimeout(ctx, hold)
	defer cancel()

	dialer.Timeout = dialTimeout

	for range dialers {
		workers.Go(func() {
			for range count / dialers {
				c, err := dialer.DialContext(ctx, "tcp", m.Outbound)
				if err != nil || m.Ends.Load() != ends {
					return
				}

				mutex.Lock()
				opened++
				mutex.Unlock()
				members.Go(func() {
					defer context.AfterFunc(ctx, func() { _ = c.Close() })()
					defer func() { _ = c.Close() }()

					member(ctx, c)
				})
			}
		})
	}

	workers.Wait()

	for ctx.Err() == nil && m.Ends.Load() == ends {
		time.Sleep(gatherInterval)
	}

	cancel()
	members.Wait()

	return opened
}
