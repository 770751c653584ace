package stand2

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

const (
	// endsToBreak is the number of ends of its daemon that counts for a machine, and machinesToBreak the number of such
	// machines that breaks the rule: a tenth of the machines in use, two at least.
	endsToBreak     = 3
	machinesToBreak = 2
	// calmTime is how long the ordinary callers are alone before the crowds come.
	calmTime = 3 * time.Second
	// callPause is the time between two requests of an ordinary caller.
	callPause = 250 * time.Millisecond
	// siegeTime bounds the time of all crowds, rounds the number of crowds at one machine, and roundPause is the time
	// between two of them.
	siegeTime  = 80 * time.Second
	rounds     = 6
	roundPause = time.Second
	// Exit codes of a case.
	exitBroken    = 1
	exitCannotRun = 2
)

// errBroken is returned if the rule was broken.
var errBroken = errors.New("rule is broken")

// Crowd is what comes to a machine. It returns after hold, or as soon as the daemon has ended, and says what it has done.
type Crowd func(ctx context.Context, m *Machine, hold time.Duration) string

// Siege sends crowds to all machines of a fleet until the daemon of each has ended three times, and ends the process with
// the exit code of a case. Without trouble, the times are the same, but nobody comes. The only argument of the process is
// the path of the record.
func Siege(options Options, hold time.Duration, crowd Crowd) {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := siege(ctx, options, hold, crowd)

	cancel()

	switch {
	case err == nil:
		return
	case errors.Is(err, errBroken):
		fmt.Println(err)
		os.Exit(exitBroken)
	default:
		fmt.Println(err)
		os.Exit(exitCannotRun)
	}
}

func siege(ctx context.Context, options Options, hold time.Duration, crowd Crowd) error {
	if len(os.Args) != 2 {
		return errors.New("the only argument is the path of the record")
	}

	record, err := NewRecord(os.Args[1])
	if err != nil {
		return err
	}

	defer record.Close()

	fleet, err := Start(context.WithoutCancel(ctx), record, options)
	if err != nil {
		return err
	}

	defer fleet.Stop()

	ctx, cancel := context.WithTimeout(ctx, siegeTime)
	defer cancel()

	if os.Getenv("TROUBLE") == "0" {
		crowd = nobody
	}

	var callers, crowds sync.WaitGroup

	for _, m := range fleet.Machines {
		callers.Go(func() { call(ctx, m) })
		crowds.Go(func() { besiege(ctx, record, m, hold, crowd) })
	}

	crowds.Wait()
	cancel()
	callers.Wait()

	return judge(record, fleet)
}

// nobody is the crowd of a case without trouble.
func nobody(_ context.Context, _ *Machine, hold time.Duration) string {
	time.Sleep(hold)

	return "nobody has come"
}

// call sends the requests of an ordinary caller until ctx ends.
func call(ctx context.Context, m *Machine) {
	for ctx.Err() == nil {
		m.Send(context.WithoutCancel(ctx), http.MethodGet, LookupPath+"5000", "aaaa")
		time.Sleep(callPause)
	}
}

// besiege sends crowds to a machine.
func besiege(ctx context.Context, record *Record, m *Machine, hold time.Duration, crowd Crowd) {
	time.Sleep(calmTime)

	for range rounds {
		for ctx.Err() == nil && !m.IsReady(ctx) {
			time.Sleep(callPause)
		}

		if ctx.Err() != nil {
			return
		}

		record.Add("%s: %s", m.Name, crowd(ctx, m, hold))

		if m.Ends.Load() >= endsToBreak {
			return
		}

		time.Sleep(roundPause)
	}
}

// judge compares the ends of the daemons with the rule.
func judge(record *Record, fleet *Fleet) error {
	broken := 0

	for _, m := range fleet.Machines {
		record.Add("%s: daemon has ended %d times; it held %d MiB at most", m.Name, m.Ends.Load(), m.Peak.Load()/mebibyte)

		if m.Ends.Load() >= endsToBreak {
			broken++
		}
	}

	if broken >= machinesToBreak {
		return fmt.Errorf("%w: on %d of %d machines, the daemon has ended three times", errBroken, broken, len(fleet.Machines))
	}

	return nil
}
