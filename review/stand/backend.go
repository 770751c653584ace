package stand

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Backend is a stand-in for a backend server. It announces itself and answers as the pages say.
type Backend struct {
	ID, Service, Zone string
	Address, Control  string
	Slots             int
	// Sheds reports whether to turn a request away with 503 and Not-Executed.
	Sheds func() bool
	// Repeats reports whether an answer is sent a second time, at the point where the next answer is expected.
	Repeats func() bool
	// Work is how long a request runs.
	Work   time.Duration
	Record *Record

	mutex   sync.Mutex
	runs    map[string]int
	running int
}

// Runs returns how often each request ran on this server, by Attempt-Id.
func (b *Backend) Runs() map[string]int {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	runs := make(map[string]int, len(b.runs))
	for id, count := range b.runs {
		runs[id] = count
	}

	return runs
}

// Start serves until ctx ends and announces the server.
func (b *Backend) Start(ctx context.Context) error {
	b.runs = make(map[string]int)

	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", b.Address)
	if err != nil {
		return fmt.Errorf("backend: %w", err)
	}

	context.AfterFunc(ctx, func() { _ = listener.Close() })

	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}

			go b.serve(ctx, connection)
		}
	}()

	go b.announce(ctx)

	return nil
}

// heartbeatInterval is the time between two liveness reports.
const heartbeatInterval = 1500 * time.Millisecond

func (b *Backend) announce(ctx context.Context) {
	client := http.Client{Timeout: time.Second}
	born := time.Now().UnixMilli()

	for sequence := 1; ctx.Err() == nil; sequence++ {
		body, _ := json.Marshal(map[string]any{
			"address": b.Address, "born": born,
			"info":   map[string]any{"service": b.Service, "version": "v1", "zone": b.Zone, "slots": b.Slots},
			"status": map[string]any{"state": "ready", "sequence": sequence, "coldRemainingMs": 0},
		})

		r, err := http.NewRequestWithContext(ctx, http.MethodPost,
			"http://"+b.Control+"/Instances.Heartbeat/"+b.ID, bytes.NewReader(body))
		if err != nil {
			return
		}

		r.Header.Set("Content-Type", "application/json")

		pause := heartbeatInterval

		if response, err := client.Do(r); err != nil {
			pause = 100 * time.Millisecond
		} else {
			_ = response.Body.Close()
		}

		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// serve answers the requests of one connection, one at a time.
func (b *Backend) serve(ctx context.Context, connection net.Conn) {
	defer func() { _ = connection.Close() }()

	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()

	reader := bufio.NewReader(connection)

	// extra is the copy of an earlier answer that still has to be sent.
	var extra []byte

	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}

		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}

		id := r.Header.Get("Attempt-Id")

		if id == "" {
			b.write(connection, b.health())

			continue
		}

		if extra != nil {
			b.Record.Add("backend %s sends the late second answer before the answer to %s", b.ID, id)
			b.write(connection, extra)

			extra = nil
		}

		answer := b.handle(r, id, body)
		b.write(connection, answer)

		if b.Repeats != nil && b.Repeats() {
			extra = answer
		}
	}
}

func (b *Backend) write(connection net.Conn, data []byte) { _, _ = connection.Write(data) }

func (b *Backend) load() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	return fmt.Sprintf("%d,0,%d,100", b.running, b.Slots)
}

func (b *Backend) health() []byte {
	return []byte("HTTP/1.1 200 OK\r\nInstance-Id: " + b.ID + "\r\nServer-Load: " + b.load() +
		"\r\nContent-Length: 0\r\n\r\n")
}

// handle runs a request or turns it away, and returns the answer.
func (b *Backend) handle(r *http.Request, id string, body []byte) []byte {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != b.ID {
		return []byte("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + id + "\r\nInstance-Id: " + b.ID +
			"\r\nContent-Length: 0\r\n\r\n")
	}

	if b.Sheds != nil && b.Sheds() {
		b.Record.Add("backend %s turns %s away: 503 with Not-Executed", b.ID, id)

		return []byte("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: " + id + "\r\nNot-Executed: 1\r\nServer-Load: " +
			b.load() + "\r\nContent-Length: 0\r\n\r\n")
	}

	b.mutex.Lock()
	b.runs[id]++
	count := b.runs[id]
	b.running++
	b.mutex.Unlock()

	b.Record.Add("backend %s runs %s %s %s, run %d", b.ID, id, r.Method, r.URL.Path, count)
	time.Sleep(b.Work)

	b.mutex.Lock()
	b.running--
	b.mutex.Unlock()

	content := fmt.Sprintf("done %s %d", id, len(body))

	return []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: %s.1\r\nServer-Load: %s\r\n"+
		"Content-Length: %d\r\n\r\n%s", id, id, b.load(), len(content), content))
}
