package stand2

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// Host and paths of the configuration. Lookups are safe, sheets are downloads and orders are unsafe.
const (
	Host       = "ficu95.example"
	LookupPath = "/lohu930/"
	SheetPath  = "/pule252/"
	OrderPath  = "/pufi791/"
)

// Options describe a fleet of machines of one service, with the figures of gldfra-mesh.
type Options struct {
	Machines int
	Slots    int
	Work     time.Duration
	// MemoryMB is the memory of a machine in MiB.
	MemoryMB int
	// DaemonMemory is the setting that tells the daemon what it may use.
	DaemonMemory string
}

// Fleet is a running deployment.
type Fleet struct {
	Machines []*Machine

	record *Record
	dir    string
	store  *exec.Cmd
	cancel context.CancelFunc
}

const (
	// service is the name of the only service.
	service = "huvo11a"
	// startTimeout bounds the time until all daemons are ready and serve.
	startTimeout = 20 * time.Second
	pollInterval = 100 * time.Millisecond
)

var errNotReady = errors.New("fleet is not ready in time")

// Start starts the store, the daemons and the backend servers, writes the configuration and waits until all machines are
// ready.
func Start(ctx context.Context, record *Record, options Options) (*Fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &Fleet{record: record, cancel: cancel}

	if err := f.start(ctx, options); err != nil {
		f.Stop()

		return nil, err
	}

	return f, nil
}

func (f *Fleet) start(ctx context.Context, options Options) error {
	var err error
	if f.dir, err = os.MkdirTemp("", "review-2-"); err != nil {
		return fmt.Errorf("create folder: %w", err)
	}

	addresses, err := freeAddresses("127.0.0.1", 1)
	if err != nil {
		return err
	}

	store := addresses[0]
	f.store = exec.CommandContext(ctx, "target/standin", "log", "--listen", store)

	if err := f.store.Start(); err != nil {
		return fmt.Errorf("start store: %w", err)
	}

	for n := range options.Machines {
		m, err := f.newMachine(n, store, options)
		if err != nil {
			return err
		}

		if err := m.Backend.start(ctx); err != nil {
			return err
		}

		f.Machines = append(f.Machines, m)

		go m.run(ctx)
	}

	return f.awaitReady(ctx, store)
}

func (f *Fleet) newMachine(n int, store string, options Options) (*Machine, error) {
	ip := fmt.Sprintf("127.0.1.%d", n+1)

	a, err := freeAddresses(ip, 6)
	if err != nil {
		return nil, err
	}

	m := &Machine{
		Name: fmt.Sprintf("sidecar-milwaukee-%d", n+1), Zone: "milwaukee", IP: ip,
		Outbound: a[0], Inbound: a[1], Ready: a[2], Control: a[3], App: a[4], Admin: a[5],
		MemoryMB: options.MemoryMB, record: f.record, done: make(chan struct{}),
	}
	m.Backend = &Backend{
		ID: fmt.Sprintf("i-%08x", n+1), Service: service, Slots: options.Slots, Work: options.Work,
		record: f.record, machine: m,
	}

	return m, m.writeSettings(f.dir, store, options.DaemonMemory)
}

// configuration is the desired state, in the form that deploy/wire.toml asks for.
const configuration = `{"version":"r7","routes":{"columns":["name","hostname","pathPrefix","routeType","timeoutMs",` +
	`"targetLatencyMs","priority","service","maxAttempts","weightedBackends"],"rows":[` +
	`["r-1","` + Host + `","` + OrderPath + `","unsafe",1500,500,1,"` + service + `",2,null],` +
	`["r-2","` + Host + `","` + LookupPath + `","safe",1500,600,2,"` + service + `",2,null],` +
	`["r-3","` + Host + `","` + SheetPath + `","download",1200,500,2,"` + service + `",2,null]]},` +
	`"services":{"columns":["name","healthPath","maxConnections","protocol","tls"],"rows":[["` + service +
	`","` + healthPath + `",220,"h1",false]]},` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// configKey is the key of the desired state in its topic.
const configKey = "config"

// publish writes the desired state to the store.
func publish(ctx context.Context, store string) error {
	content := append([]byte{byte(len(configKey))}, configKey+configuration...)
	body := append(binary.BigEndian.AppendUint32(nil, uint32(len(content))), content...)

	request, err := http.NewRequestWithContext(
		ctx, http.MethodPost, "http://"+store+"/log-append?topic=keyed.op&part=0", bytes.NewReader(body),
	)
	if err != nil {
		return fmt.Errorf("build append: %w", err)
	}

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("append: %w", err)
	}

	defer func() { _ = response.Body.Close() }()

	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("append: status %d", response.StatusCode)
	}

	return nil
}

// awaitReady publishes the desired state and waits until each daemon is ready and has answered a request.
func (f *Fleet) awaitReady(ctx context.Context, store string) error {
	deadline, published := time.Now().Add(startTimeout), false

	for time.Now().Before(deadline) {
		if !published {
			published = publish(ctx, store) == nil
		}

		ready := published

		for _, m := range f.Machines {
			ready = ready && m.IsReady(ctx) && m.Send(ctx, http.MethodGet, LookupPath+"100", "warm") == http.StatusOK
		}

		if ready {
			return nil
		}

		time.Sleep(pollInterval)
	}

	return errNotReady
}

// IsReady asks the daemon whether it is ready, as the platform does.
func (m *Machine) IsReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()

	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.Ready+"/readyz", http.NoBody)
	if err != nil {
		return false
	}

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}

	_ = response.Body.Close()

	return response.StatusCode == http.StatusOK
}

// callTimeout is the time that an ordinary caller waits.
const callTimeout = 1500 * time.Millisecond

// Send sends the request of an ordinary caller on a new connection, and returns the status of the answer; zero if there
// was none. The name is part of the identifier of the request.
func (m *Machine) Send(ctx context.Context, method, path, name string) int {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	request, err := http.NewRequestWithContext(ctx, method, "http://"+m.Outbound+path, http.NoBody)
	if err != nil {
		return 0
	}

	id := fmt.Sprintf("%s%012x", name, time.Now().UnixNano()&(1<<48-1))
	request.Host, request.Close = Host, true
	request.Header.Set(attemptHeader, id)
	request.Header.Set("Deadline-Ms", "1500")

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		m.record.Add("%s: %s %s: no answer: %v", m.Name, id, path, err)

		return 0
	}

	_ = response.Body.Close()
	m.record.Add("%s: %s %s: answered with %d", m.Name, id, path, response.StatusCode)

	return response.StatusCode
}

// Stop ends all processes and removes the temporary folder. The logs of the daemons are lost.
func (f *Fleet) Stop() {
	stopped := make(chan struct{}, len(f.Machines))

	for _, m := range f.Machines {
		go func() {
			m.stop()
			m.Backend.stop()
			stopped <- struct{}{}
		}()
	}

	for range f.Machines {
		<-stopped
	}

	if f.store != nil && f.store.Process != nil {
		_ = f.store.Process.Signal(syscall.SIGTERM)
		_ = f.store.Wait()
	}

	f.cancel()
	_ = os.RemoveAll(f.dir)
}

// Mesh returns a fleet of some machines of gldfra-mesh, with the work of its safe lookups. The daemon is told what it finds
// by itself on a machine of 284 MB: a quarter of that, and at least 184 MB (docs/OPERATIONS.md).
func Mesh(machines int) Options {
	return Options{
		Machines: machines, Slots: 6, Work: 160 * time.Millisecond, MemoryMB: 284, DaemonMemory: "184000000",
	}
}
