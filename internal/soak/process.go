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

// process runs a daemon as a separate process, one run after the other.
type process struct {
	binary, settings, log string

	mutex   sync.Mutex
	command *exec.Cmd
	// ended is closed when the current run has ended.
	ended chan struct{}
	// started is the start time of the current run.
	started time.Time
	// endExpected is set after a signal that ends the current run.
	endExpected bool
	// runs is the number of runs so far.
	runs int
}

// start starts a run. It returns an error if the previous run has not been waited for.
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

	//nolint:gosec,noctx // This is the program under test, and signals end it.
	command := exec.Command(p.binary, "daemon", "--settings", p.settings)
	command.Stdout, command.Stderr = out, out

	if err := command.Start(); err != nil {
		return errors.Wrap(err, "start daemon")
	}

	ended := make(chan struct{})
	p.command, p.ended, p.started, p.endExpected = command, ended, time.Now(), false
	p.runs++

	go func() {
		// The exit status is ignored: endExpected says whether the end is a fault.
		_ = command.Wait()

		close(ended)
	}()

	return nil
}

// signalSetupTime bounds the time from the start of a process until it handles signals, on a busy machine. An earlier
// SIGHUP ends the process.
const signalSetupTime = 500 * time.Millisecond

// signal sends a signal to the current run. After SIGTERM and SIGKILL, the end of the run is expected. A SIGHUP is not
// sent within signalSetupTime.
func (p *process) signal(signal syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	if p.command == nil || signal == syscall.SIGHUP && time.Since(p.started) < signalSetupTime {
		return
	}

	if signal == syscall.SIGTERM || signal == syscall.SIGKILL {
		p.endExpected = true
	}

	// Signalling fails if the process has ended, which endedUnexpectedly reports.
	_ = p.command.Process.Signal(signal)
}

// wait waits until the current run has ended, and kills it after the given time. It reports whether it ended in time.
func (p *process) wait(timeout time.Duration) bool {
	p.mutex.Lock()
	command, ended := p.command, p.ended
	p.mutex.Unlock()

	if command == nil {
		return true
	}

	inTime := true

	select {
	case <-ended:
	case <-time.After(timeout):
		inTime = false

		p.signal(syscall.SIGKILL)
		<-ended
	}

	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.command = nil

	return inTime
}

// endedUnexpectedly reports whether the current run has ended without a signal that ends it.
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

// runNumber returns the number of the current run, from 1.
func (p *process) runNumber() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	return p.runs
}
