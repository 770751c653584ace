package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// process is a daemon that runs as a process of its own. It is started again after each end.
type process struct {
	binary, settings, log string

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// started is when the run in progress was.
	started time.Time
	// wanted is set while an end of the process is part of the plan.
	endExpected bool
	runs        int
}

// start starts a run and returns an error if one is in progress.
func (p *process) start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	if p.command != nil {
		return errors.Newf("%s runs already", p.settings)
	}

	out, err := os.OpenFile(filepath.Clean(p.log), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}

	defer func() { _ = out.Close() }()

	command := exec.Command(p.binary, "daemon", "--settings", p.settings) //nolint:gosec,noctx // The program under test, which signals end.
	command.Stdout, command.Stderr = out, out

	if err := command.Start(); err != nil {
		return errors.Wrap(err, "start daemon")
	}

	ended := make(chan struct{})
	p.command, p.ended, p.started, p.endExpected = command, ended, time.Now(), false
	p.runs++

	go func() {
		// How it ended is told by wanted.
		_ = command.Wait()

		close(ended)
	}()

	return nil
}

// loadTime is how long a program takes at most until it can take signals, on a busy machine. An earlier SIGHUP ends it.
const signalSetupTime = 500 * time.Millisecond

// signal sends a signal to the run in progress. Its end is wanted after a signal that ends it.
func (p *process) signal(signal syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	if p.command == nil || signal == syscall.SIGHUP && time.Since(p.started) < signalSetupTime {
		return
	}

	if signal == syscall.SIGTERM || signal == syscall.SIGKILL {
		p.endExpected = true
	}

	// A process that has ended meanwhile is noticed by its end.
	_ = p.command.Process.Signal(signal)
}

// wait waits until the run has ended, and ends it by force after the given time. It reports whether it ended in time.
func (p *process) wait(longest time.Duration) bool {
	p.mutex.Lock()
	command, ended := p.command, p.ended
	p.mutex.Unlock()

	if command == nil {
		return true
	}

	timely := true

	select {
	case <-ended:
	case <-time.After(longest):
		timely = false

		p.signal(syscall.SIGKILL)
		<-ended
	}

	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.command = nil

	return timely
}

// endedByItself reports whether the run in progress has ended without a signal.
func (p *process) endedUnexpectedly() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	if p.command == nil || p.endExpected {
		return false
	}

	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// run is the number of the run in progress.
func (p *process) runNumber() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	return p.runs
}
