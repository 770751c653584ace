package stand2

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryInterval is the time between two looks at the memory of a process.
	memoryInterval = 20 * time.Millisecond
	// restartDelay is the time after the end of a process until the platform starts it again.
	restartDelay = 500 * time.Millisecond
	// mebibyte is the unit of Machine.MemoryMB in bytes.
	mebibyte = 1 << 20
	// stopTimeout is the time until a process that got SIGTERM is killed.
	stopTimeout = 6 * time.Second
)

// Machine is a machine of the deployment with its daemon and backend server.
type Machine struct {
	Name, Zone, IP string
	// Outbound, Inbound, Ready, Control, App and Admin are addresses.
	Outbound, Inbound, Ready, Control, App, Admin string
	// MemoryMB is the memory in MiB beyond which the platform kills the daemon.
	MemoryMB int
	Backend  *Backend
	// Ends counts the times that the daemon was killed because of its memory, or ended by itself.
	Ends atomic.Int64
	// Peak is the largest resident memory seen, in bytes.
	Peak atomic.Int64

	record   *Record
	settings string
	log      string

	mutex   sync.Mutex
	process *os.Process
	stopped bool
	done    chan struct{}
}

// freeAddresses returns addresses with free ports.
func freeAddresses(ip string, count int) ([]string, error) {
	addresses := make([]string, 0, count)

	for range count {
		listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.ParseIP(ip)})
		if err != nil {
			return nil, fmt.Errorf("find free port: %w", err)
		}

		defer func() { _ = listener.Close() }()

		addresses = append(addresses, listener.Addr().String())
	}

	return addresses, nil
}

// writeSettings writes the settings that the template in deploy/ gives for the machine, with the machine's memory.
func (m *Machine) writeSettings(dir, store, daemonMemory string) error {
	m.settings, m.log = filepath.Join(dir, m.Name+".ini"), filepath.Join(dir, m.Name+".log")

	text := fmt.Sprintf(`[instance]
id = %s
service = %s
region = west-lakes
domain = %s

[listen]
caller = %s
peer = %s
ready = %s
announce = %s
admin = %s

[peer]
advertise = %s
trust = network

[backend]
address = %s
interval = 100ms
backlog = 2

[log]
address = %s

[callers]
fields = platform

[repeat]
share = 0.2
slack = 58
window = 10s

[stop]
grace = 6s

[limits]
memory = %s
`, m.Name, m.Backend.Service, m.Zone, m.Outbound, m.Inbound, m.Ready, m.Control, m.Admin, m.Inbound, m.App, store,
		daemonMemory)

	return os.WriteFile(m.settings, []byte(text), 0o600) //nolint:wrapcheck // the error names the file
}

// run keeps the daemon running until stop, as the platform does.
func (m *Machine) run(ctx context.Context) {
	defer close(m.done)

	for ctx.Err() == nil {
		if err := m.runOnce(ctx); err != nil {
			m.record.Add("%s: daemon cannot be started: %v", m.Name, err)

			return
		}

		if m.isStopped() {
			return
		}

		time.Sleep(restartDelay)

		if m.isStopped() {
			return
		}
	}
}

func (m *Machine) isStopped() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	return m.stopped
}

// runOnce starts the daemon and waits for its end.
func (m *Machine) runOnce(ctx context.Context) error {
	out, err := os.OpenFile(m.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}

	defer func() { _ = out.Close() }()

	command := exec.CommandContext(ctx, "target/tarragonmill", "daemon")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TARRAGONMILL_SETTINGS=" + m.settings}
	command.Stdout, command.Stderr = out, out

	m.mutex.Lock()
	err = command.Start()

	if err == nil {
		m.process = command.Process
	}

	m.mutex.Unlock()

	if err != nil {
		return fmt.Errorf("start: %w", err)
	}

	m.record.Add("%s: daemon started", m.Name)

	watching, cancel := context.WithCancel(ctx)
	go m.watchMemory(watching, command.Process)

	err = command.Wait()

	cancel()
	m.mutex.Lock()
	m.process = nil
	m.mutex.Unlock()

	if !m.isStopped() {
		m.Ends.Add(1)
	}

	m.record.Add("%s: daemon has ended: %v", m.Name, err)

	return nil
}

// watchMemory kills a process that exceeds the memory of its machine.
func (m *Machine) watchMemory(ctx context.Context, process *os.Process) {
	for ctx.Err() == nil {
		resident := residentBytes(process.Pid)
		if resident > m.Peak.Load() {
			m.Peak.Store(resident)
		}

		if resident > int64(m.MemoryMB)*mebibyte {
			m.record.Add("%s: daemon holds %d MiB, more than the %d MiB of its machine: killed",
				m.Name, resident/mebibyte, m.MemoryMB)

			_ = process.Kill()

			return
		}

		time.Sleep(memoryInterval)
	}
}

// residentBytes returns the resident memory of a process; zero if it has ended.
func residentBytes(pid int) int64 {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}

	defer func() { _ = file.Close() }()

	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > 1 && fields[0] == "VmRSS:" {
			kibibytes, _ := strconv.ParseInt(fields[1], 10, 64)

			return kibibytes << 10
		}
	}

	return 0
}

// stop ends the daemon with SIGTERM, and kills it after the grace time.
func (m *Machine) stop() {
	m.mutex.Lock()
	m.stopped = true

	if m.process != nil {
		_ = m.process.Signal(syscall.SIGTERM)
	}

	m.mutex.Unlock()

	select {
	case <-m.done:
		return
	case <-time.After(stopTimeout):
	}

	m.mutex.Lock()

	if m.process != nil {
		_ = m.process.Kill()
	}

	m.mutex.Unlock()
	<-m.done
}
