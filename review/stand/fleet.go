// Package stand runs a small deployment for the cases of the review: the project's own programs as separate processes,
// and stand-ins for backend servers, clients and the operator. All addresses are loopback addresses.
package stand

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Machine is a machine with a backend server and the daemon beside it.
type Machine struct {
	Name, Service, Zone, Region string
	// Backend is the address of the backend server, Caller that at which the daemon serves callers, Ready that of its
	// readiness check, and Control that for the server's announcements.
	Backend, Caller, Ready, Control string
	peer, admin                     string
	settings                        string
	fleet                           *Fleet

	mutex   sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// Fleet is a deployment in a temporary folder.
type Fleet struct {
	Record   *Record
	Store    string
	Machines []*Machine

	folder, programs string
	store            *exec.Cmd
	addresses        map[string]bool
}

// GraceSeconds is the time between SIGTERM and SIGKILL.
const GraceSeconds = 6

// Ports below those that the kernel gives to outgoing connections, so that none of these takes one before its use.
const firstPort, portCount = 20000, 12000

// FreeAddress returns a loopback address with a port that is free for TCP and UDP.
func FreeAddress() (string, error) {
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))

		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
		if err != nil {
			continue
		}

		_ = listener.Close()

		packets, err := (&net.ListenConfig{}).ListenPacket(context.Background(), "udp", address)
		if err != nil {
			continue
		}

		return address, packets.Close()
	}

	return "", errors.New("no free port")
}

// NewFleet starts the stand-in of the store from the folder of the built programs.
func NewFleet(programs string, record *Record) (*Fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("temporary folder: %w", err)
	}

	f := &Fleet{Record: record, folder: folder, programs: programs, addresses: make(map[string]bool)}

	if f.Store, err = f.freeAddress(); err != nil {
		return nil, err
	}

	f.store = exec.CommandContext(context.Background(), filepath.Join(programs, "standin"), "log", "--listen", f.Store)
	if err := f.store.Start(); err != nil {
		return nil, fmt.Errorf("start the store: %w", err)
	}

	if err := f.await(f.Store); err != nil {
		f.Close()

		return nil, err
	}

	return f, nil
}

// freeAddress returns a free address that no machine of the fleet has.
func (f *Fleet) freeAddress() (string, error) {
	for {
		address, err := FreeAddress()
		if err != nil || !f.addresses[address] {
			f.addresses[address] = true

			return address, err
		}
	}
}

// await waits until an address accepts connections.
func (f *Fleet) await(address string) error {
	for range 100 {
		connection, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", address)
		if err == nil {
			return connection.Close()
		}

		time.Sleep(50 * time.Millisecond)
	}

	return fmt.Errorf("nothing listens at %s", address)
}

// settingsTemplate has the keys of the template in the deploy file.
const settingsTemplate = `[instance]
id = %s
service = %s
region = %s
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
grace = %ds
`

// AddMachine adds a machine and starts its daemon. The backend server is the caller's.
func (f *Fleet) AddMachine(name, service, zone, region string) (*Machine, error) {
	m := &Machine{Name: name, Service: service, Zone: zone, Region: region, fleet: f}

	for _, address := range []*string{&m.Backend, &m.Caller, &m.Ready, &m.Control, &m.peer, &m.admin} {
		free, err := f.freeAddress()
		if err != nil {
			return nil, err
		}

		*address = free
	}

	m.settings = filepath.Join(f.folder, name+".ini")
	text := fmt.Sprintf(settingsTemplate, name, service, region, zone, m.Caller, m.peer, m.Ready, m.Control, m.admin,
		m.peer, m.Backend, f.Store, GraceSeconds)

	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}

	f.Machines = append(f.Machines, m)

	return m, m.Start()
}

// Start starts the daemon with the command of the deploy file. Its log goes to the temporary folder.
func (m *Machine) Start() error {
	out, err := os.OpenFile(filepath.Join(m.fleet.folder, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}

	defer func() { _ = out.Close() }()

	command := exec.CommandContext(context.Background(), filepath.Join(m.fleet.programs, "tarragonmill"), "daemon")
	command.Env = append(os.Environ(), "TARRAGONMILL_SETTINGS="+m.settings)
	command.Stdout, command.Stderr = out, out

	if err := command.Start(); err != nil {
		return fmt.Errorf("start daemon: %w", err)
	}

	exited := make(chan struct{})

	go func() {
		_ = command.Wait()

		close(exited)
	}()

	m.mutex.Lock()
	m.process, m.exited = command, exited
	m.mutex.Unlock()

	return nil
}

// Signal sends a signal to the daemon.
func (m *Machine) Signal(signal syscall.Signal) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	if m.process != nil {
		_ = m.process.Process.Signal(signal)
	}
}

// AwaitExit waits until the daemon has ended, and reports whether it did so in time.
func (m *Machine) AwaitExit(limit time.Duration) bool {
	m.mutex.Lock()
	exited := m.exited
	m.mutex.Unlock()

	if exited == nil {
		return true
	}

	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// AwaitReady waits until the daemon's readiness check answers 200.
func (m *Machine) AwaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}

	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+m.Ready+"/readyz", nil)
		if err != nil {
			return fmt.Errorf("readiness: %w", err)
		}

		response, err := client.Do(r)
		if err != nil {
			continue
		}

		_ = response.Body.Close()

		if response.StatusCode == http.StatusOK {
			return nil
		}
	}

	return fmt.Errorf("daemon %s is not ready", m.Name)
}

// Close ends all processes and removes the folder. With REVIEW_KEEP set, the folder with the daemons' logs stays.
func (f *Fleet) Close() {
	for _, m := range f.Machines {
		m.Signal(syscall.SIGCONT)
		m.Signal(syscall.SIGKILL)
		m.AwaitExit(5 * time.Second)
	}

	_ = f.store.Process.Kill()
	_ = f.store.Wait()

	if os.Getenv("REVIEW_KEEP") != "" {
		fmt.Println("logs in", f.folder)

		return
	}

	_ = os.RemoveAll(f.folder)
}

// Route is a route of the desired state.
type Route struct {
	Name, Host, Prefix, Kind, Service string
	TimeoutMs, TargetMs, MaxAttempts  int
}

// Publish writes a desired state to the store, as the operator does.
func (f *Fleet) Publish(version int, routes []Route) error {
	rows, services := make([][]any, 0, len(routes)), make([][]any, 0, len(routes))
	seen := map[string]bool{}

	for _, r := range routes {
		rows = append(rows, []any{
			r.Name, r.Host, r.Prefix, r.Kind, r.TimeoutMs, r.TargetMs, 1, r.Service, r.MaxAttempts, nil,
		})

		if !seen[r.Service] {
			seen[r.Service] = true
			services = append(services, []any{r.Service, "/healthz", 220, "h1", false})
		}
	}

	value, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", version),
		"routes": map[string]any{"columns": []string{
			"name", "hostname", "pathPrefix", "routeType", "timeoutMs", "targetLatencyMs", "priority", "service",
			"maxAttempts", "weightedBackends",
		}, "rows": rows},
		"services": map[string]any{
			"columns": []string{"name", "healthPath", "maxConnections", "protocol", "tls"}, "rows": services,
		},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
	})
	if err != nil {
		return fmt.Errorf("desired state: %w", err)
	}

	content := append([]byte{byte(len("config"))}, "config"...)
	content = append(content, value...)
	body := binary.BigEndian.AppendUint32(nil, uint32(len(content)))

	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost,
		"http://"+f.Store+"/log-append?topic=keyed.op&part=0", bytes.NewReader(append(body, content...)))
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}

	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}

	defer func() { _ = response.Body.Close() }()

	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("publish: %s", response.Status)
	}

	return nil
}

// Record is the list of what was sent, answered and run.
type Record struct {
	mutex   sync.Mutex
	started time.Time
	file    *os.File
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}

	return &Record{started: time.Now(), file: file}, nil
}

// Add adds a line with the time since the start.
func (r *Record) Add(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	line := strings.TrimSpace(fmt.Sprintf(format, arguments...))
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), line)
}

// Trouble reports whether the disruption is wanted.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)
