package stand2

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Names on the wire of the users' pages.
const (
	attemptHeader  = "Attempt-Id"
	sealHeader     = "Response-Seal"
	expectHeader   = "Expect-Instance"
	instanceHeader = "Instance-Id"
	loadHeader     = "Server-Load"
	notRunHeader   = "Not-Executed"
)

const (
	// healthPath is the health path of all services.
	healthPath = "/healthz"
	// beatInterval is the time between two liveness reports, and firstBeatInterval that until the first one is
	// acknowledged.
	beatInterval      = 1500 * time.Millisecond
	firstBeatInterval = 200 * time.Millisecond
	// queuePerServer is the number of requests that wait for a slot.
	queuePerServer = 24
	// headerTimeout bounds the time to read the head of a request.
	headerTimeout = 10 * time.Second
)

// Backend is a backend server.
type Backend struct {
	ID      string
	Service string
	Slots   int
	// Work is how long a request holds a slot.
	Work time.Duration
	// Runs counts the requests on which the server has begun to work.
	Runs atomic.Int64

	record   *Record
	machine  *Machine
	born     int64
	slots    chan struct{}
	waiting  atomic.Int64
	running  atomic.Int64
	server   *http.Server
	mutex    sync.Mutex
	sequence int64
}

// start serves requests and sends liveness reports until ctx ends.
func (b *Backend) start(ctx context.Context) error {
	b.born = time.Now().UnixMilli()
	b.slots = make(chan struct{}, b.Slots)
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: headerTimeout}

	var config net.ListenConfig

	listener, err := config.Listen(ctx, "tcp", b.machine.App)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}

	go func() { _ = b.server.Serve(listener) }()
	go b.beat(ctx)

	return nil
}

func (b *Backend) stop() { _ = b.server.Close() }

// ServeHTTP implements http.Handler.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(loadHeader, fmt.Sprintf("%d,%d,%d,100", b.running.Load(), b.waiting.Load(), b.Slots))

	if r.URL.Path == healthPath {
		w.Header().Set(instanceHeader, b.ID)
		w.WriteHeader(http.StatusOK)

		return
	}

	id := r.Header.Get(attemptHeader)
	w.Header().Set(attemptHeader, id)

	switch expected := r.Header.Get(expectHeader); {
	case expected != "" && expected != b.ID:
		w.Header().Set(instanceHeader, b.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)

		return
	case id == "":
		b.refuse(w, http.StatusBadRequest)

		return
	case b.waiting.Load() >= queuePerServer:
		b.refuse(w, http.StatusServiceUnavailable)

		return
	}

	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}

	b.waiting.Add(1)

	select {
	case b.slots <- struct{}{}:
		b.waiting.Add(-1)
	case <-r.Context().Done():
		b.waiting.Add(-1)

		return
	}

	defer func() { <-b.slots }()

	b.run(w, r, id, len(body))
}

func (b *Backend) refuse(w http.ResponseWriter, status int) {
	w.Header().Set(notRunHeader, "1")
	w.WriteHeader(status)
}

// run works on a request. The last element of its path is the size of the answer in bytes.
func (b *Backend) run(w http.ResponseWriter, r *http.Request, id string, received int) {
	b.running.Add(1)
	defer b.running.Add(-1)

	b.Runs.Add(1)
	b.record.Add("%s runs %s: %s %s, body of %d bytes", b.ID, id, r.Method, r.URL.Path, received)

	select {
	case <-time.After(b.Work):
	case <-r.Context().Done():
		return
	}

	size, err := strconv.Atoi(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:])
	if err != nil {
		size = 0
	}

	w.Header().Set(sealHeader, fmt.Sprintf("%s.%d", b.ID, size))
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, _ = w.Write(bytes.Repeat([]byte("x"), size))
}

// beat sends liveness reports.
func (b *Backend) beat(ctx context.Context) {
	for ctx.Err() == nil {
		pause := beatInterval
		if err := b.report(ctx); err != nil {
			pause = firstBeatInterval
		}

		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

func (b *Backend) report(ctx context.Context) error {
	b.mutex.Lock()
	b.sequence++
	sequence := b.sequence
	b.mutex.Unlock()

	body, err := json.Marshal(map[string]any{
		"address": b.machine.App, "born": b.born,
		"info":   map[string]any{"service": b.Service, "version": "v1", "zone": b.machine.Zone, "slots": b.Slots},
		"status": map[string]any{"state": "ready", "sequence": sequence, "coldRemainingMs": 0},
	})
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}

	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()

	request, err := http.NewRequestWithContext(
		ctx, http.MethodPost, "http://"+b.machine.Control+"/Instances.Heartbeat/"+b.ID, bytes.NewReader(body),
	)
	if err != nil {
		return fmt.Errorf("build report: %w", err)
	}

	request.Header.Set("Content-Type", "application/json")

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("send report: %w", err)
	}

	defer func() { _ = response.Body.Close() }()

	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("report: status %d", response.StatusCode)
	}

	return nil
}
