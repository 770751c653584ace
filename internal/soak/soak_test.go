package soak_test

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/soak"
)

// TestSoak guards against guarantees that do not hold when faults of daemon processes, links, servers and the store
// overlap.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "tarragonmill")
	built, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "../../cmd/tarragonmill").CombinedOutput()
	require.NoError(t, err, "%s", built)

	for _, seed := range seeds(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()

			var report strings.Builder

			err := soak.Run(t.Context(), soak.Options{
				Daemon: binary, Dir: t.TempDir(), Seed: seed, Duration: 8 * time.Second, Nodes: 4, Callers: 2,
				Pause: 100 * time.Millisecond, Host: netip.AddrFrom4([4]byte{127, 99, byte(os.Getpid()), byte(seed)}),
			}, &report)
			require.NoError(t, err, "%s", report.String())
		})
	}
}

// seeds reads the seeds of TestSoak. Comment lines start with #, and what follows a seed is a comment, too.
func seeds(t *testing.T) []uint64 {
	t.Helper()

	file, err := os.Open("testdata/seeds.txt")
	require.NoError(t, err)

	defer file.Close()

	var all []uint64

	for lines := bufio.NewScanner(file); lines.Scan(); {
		text, _, _ := strings.Cut(lines.Text(), " ")
		if strings.HasPrefix(text, "#") {
			continue
		}

		seed, err := strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)

		all = append(all, seed)
	}

	require.NotEmpty(t, all)

	return all
}

// TestBrokenGuarantee guards against a soak that passes although the daemons do not run: its daemon exits at once.
func TestBrokenGuarantee(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()

	err := soak.Run(ctx, soak.Options{
		Daemon: "/bin/false", Dir: t.TempDir(), Seed: 1, Duration: time.Second, Nodes: 2, Callers: 1,
		Pause: time.Second, Host: netip.AddrFrom4([4]byte{127, 98, byte(os.Getpid()), 1}),
	}, new(strings.Builder))
	require.ErrorContains(t, err, "does not serve")
}

// TestProxy guards against a proxy that forwards bytes over a cut link, or loses them when the link works again.
func TestProxy(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	defer listener.Close()

	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}

			go func() {
				defer connection.Close()

				buffer := make([]byte, 100)
				for {
					n, err := connection.Read(buffer)
					if err != nil {
						return
					}

					_, _ = connection.Write(buffer[:n])
				}
			}()
		}
	}()

	p, err := soak.NewProxy(t.Context(),
		netip.MustParseAddrPort("127.0.0.1:0"), netip.MustParseAddrPort(listener.Addr().String()))
	require.NoError(t, err)

	defer p.Close()

	client, err := net.Dial("tcp", p.Address().String())
	require.NoError(t, err)

	defer client.Close()

	buffer := make([]byte, 5)
	ask := func(within time.Duration) error {
		require.NoError(t, client.SetReadDeadline(time.Now().Add(within)))

		_, err := client.Read(buffer)

		return err
	}

	for _, link := range []soak.Link{{CutTo: true}, {CutFrom: true}, {Delay: 300 * time.Millisecond}} {
		p.Set(link)

		_, err = client.Write([]byte("hello"))
		require.NoError(t, err)
		require.Error(t, ask(100*time.Millisecond))

		p.Set(soak.Link{})
		require.NoError(t, ask(2*time.Second))
		require.Equal(t, "hello", string(buffer))
	}

	p.Reset()
	require.Error(t, ask(2*time.Second))
}

// TestFreeAddresses guards against ports in the ephemeral range, which the system may give to another socket before the
// run uses them.
func TestFreeAddresses(t *testing.T) {
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	require.NoError(t, err)

	lowest, err := strconv.Atoi(strings.Fields(string(text))[0])
	require.NoError(t, err)

	all, err := soak.FreeAddresses(t.Context(), netip.MustParseAddr("127.97.0.1"), 100)
	require.NoError(t, err)

	seen := make(map[netip.AddrPort]bool)

	for _, address := range all {
		require.Less(t, int(address.Port()), lowest)
		require.False(t, seen[address], "%s was handed out twice", address)
		seen[address] = true
	}
}
