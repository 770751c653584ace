package crowd_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/config"
	"github.com/tarragonmill/tarragonmill/internal/standin/backend"
	"github.com/tarragonmill/tarragonmill/internal/standin/store"
	"github.com/tarragonmill/tarragonmill/platform"
)

const (
	// maxResident bounds the memory of the process in bytes, that of the smallest instance.
	maxResident = 184_000_000
	// members is the number of connections of a crowd, and maxDescriptors bounds the open descriptors of the process.
	members        = 40
	maxDescriptors = 2*members + 40
	// answerTimeout bounds the wait for the answer to an ordinary request.
	answerTimeout = 20 * time.Second
	fleetKey      = "0123456789abcdef0123"
)

const rules = `
[service stockdesk]
hosts = stockdesk
probes = 10
bytes = 64KiB
[rule stockdesk lookup]
methods = GET
path = /stock/{id}
kind = idempotent
deadline = 10s
body = 0
[rule stockdesk label]
methods = GET
path = /label/{size}
kind = idempotent
deadline = 10s
body = 0
[rule stockdesk orders]
methods = POST
path = /orders
kind = idempotent
deadline = 10s
body = 64MiB
`

// process is a daemon under test, with the addresses at which it listens.
type process struct {
	*testing.T
	command                    *exec.Cmd
	ended                      chan error
	caller, peer, ready, admin string
}

// start runs a daemon with additional settings, a store and a backend server until the test ends.
func start(t *testing.T, additional string) *process {
	t.Helper()

	dir := t.TempDir()
	binary, path := filepath.Join(dir, "tarragonmill"), filepath.Join(dir, "settings.ini")

	built, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "../../cmd/tarragonmill").CombinedOutput()
	require.NoError(t, err, "%s", built)

	records := httptest.NewServer(store.New().Handler())
	t.Cleanup(records.Close)

	p := &process{
		T: t, ended: make(chan error, 1),
		caller: freeAddress(t), peer: freeAddress(t), ready: freeAddress(t), admin: freeAddress(t),
	}
	text := fmt.Sprintf("[instance]\nid = s1\nservice = stockdesk\nregion = r\ndomain = d\n"+
		"[listen]\ncaller = %s\npeer = %s\nready = %s\nadmin = %s\n[peer]\nadvertise = %s\nkey = %s\n"+
		"[backend]\naddress = %s\nslots = 6\nqueue = 12\n[log]\nurl = %s\n[logging]\nlevel = error\n%s",
		p.caller, p.peer, p.ready, p.admin, p.peer, fleetKey, startServer(t), records.URL, additional)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))

	publish(t, strings.TrimPrefix(records.URL, "http://"))

	p.command = exec.CommandContext(context.WithoutCancel(t.Context()), binary, "daemon", "--settings", path)
	p.command.Stdout, p.command.Stderr = os.Stderr, os.Stderr
	require.NoError(t, p.command.Start())

	go func() { p.ended <- p.command.Wait() }()

	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.ended
	})
	p.requireServed()

	return p
}

func publish(t *testing.T, address string) {
	t.Helper()

	client := platform.NewStore(netip.MustParseAddrPort(address))
	defer client.Close()

	_, err := config.NewPublisher(client.Topic(platform.ManifestTopic), answerTimeout).Publish(t.Context(), rules, nil)
	require.NoError(t, err)
}

func startServer(t *testing.T) string {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	ctx, cancel := context.WithCancel(context.WithoutCancel(t.Context()))
	ended := make(chan error, 1)

	go func() { ended <- backend.New("s1", 6, backend.Behaviour{}).Serve(ctx, listener) }()

	t.Cleanup(func() {
		cancel()
		<-ended
	})

	return listener.Addr().String()
}

// freeAddress returns an unused address.
func freeAddress(t *testing.T) string {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	defer func() { require.NoError(t, listener.Close()) }()

	return listener.Addr().String()
}

// send sends a request on a connection of its own and returns the status of its response, or zero.
func (p *process) send(method, path string, body []byte) int {
	r, err := http.NewRequestWithContext(p.Context(), method, "http://"+p.caller+path, bytes.NewReader(body))
	require.NoError(p, err)

	r.Host, r.Close = "stockdesk", true

	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}

	_ = response.Body.Close()

	return response.StatusCode
}

// operator returns what the admin address has at a path, or an empty text.
func (p *process) operator(path string) string {
	response, err := http.Get("http://" + p.admin + path)
	if err != nil {
		return ""
	}

	defer func() { _ = response.Body.Close() }()

	text, err := io.ReadAll(response.Body)
	require.NoError(p, err)

	return string(text)
}

// requireServed requires that the process lives and answers an ordinary request.
func (p *process) requireServed() {
	p.Helper()

	status := 0
	for started := time.Now(); status != http.StatusOK && time.Since(started) < answerTimeout; {
		status = p.send(http.MethodGet, "/stock/1", nil)
		if status != http.StatusOK {
			time.Sleep(50 * time.Millisecond)
		}
	}

	require.Equal(p, http.StatusOK, status)
	require.Empty(p, p.ended)
}

// requireBounded requires that memory and descriptors of the process are within the bounds, the memory since resetPeak.
func (p *process) requireBounded() {
	p.Helper()

	descriptors, err := os.ReadDir(p.file("fd"))
	require.NoError(p, err)

	peak := p.peak()
	p.Logf("%d MB, %d descriptors", peak/1_000_000, len(descriptors))
	require.LessOrEqual(p, peak, maxResident)
	require.LessOrEqual(p, len(descriptors), maxDescriptors)
}

// peak returns the largest resident memory in bytes.
func (p *process) peak() int {
	status, err := os.ReadFile(p.file("status"))
	require.NoError(p, err)

	_, rest, found := strings.Cut(string(status), "VmHWM:")
	require.True(p, found)

	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	require.NoError(p, err)

	return kilobytes << 10
}

// resetPeak makes the present memory the largest one.
func (p *process) resetPeak() { require.NoError(p, os.WriteFile(p.file("clear_refs"), []byte("5"), 0)) }

func (p *process) file(name string) string {
	return filepath.Join("/proc", strconv.Itoa(p.command.Process.Pid), name)
}
