package bench

import (
	"bufio"
	_ "embed" // The schedule is part of the program, so that any checkout measures the same.
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

//go:embed testdata/schedule.txt
var recorded string

// Sizes of the recorded schedule: it covers the larger of the two users' services.
const (
	recordedServers = 7
	recordedLength  = 20 * time.Second
	recordedDemands = 2000
	// ScheduleSeed is the seed with which testdata/schedule.txt was recorded.
	ScheduleSeed = 20261204
)

// ErrSchedule is returned for a schedule that cannot be read.
var ErrSchedule = errors.New("invalid schedule")

// schedule states how fast each server is at each moment, and what requests need on an unloaded server.
type schedule struct {
	demands []time.Duration
	// speeds are the change points of each server, sorted by time.
	speeds [][]change
	fails  [][]span
	downs  [][]span
}

// change sets the factor by which requests take longer from a moment on.
type change struct {
	at     time.Duration
	factor float64
}

type span struct{ from, to time.Duration }

func (s span) contains(at time.Duration) bool { return at >= s.from && at < s.to }

func loadSchedule() (*schedule, error) { return readSchedule(strings.NewReader(recorded)) }

func readSchedule(r io.Reader) (*schedule, error) {
	s := &schedule{
		speeds: make([][]change, recordedServers),
		fails:  make([][]span, recordedServers),
		downs:  make([][]span, recordedServers),
	}
	scanner := bufio.NewScanner(r)

	for line := 1; scanner.Scan(); line++ {
		if err := s.parse(scanner.Text()); err != nil {
			return nil, errors.Wrapf(err, "line %d", line)
		}
	}

	return s, errors.Wrap(scanner.Err(), "read schedule")
}

func (s *schedule) parse(text string) error {
	var (
		server       int
		number, from float64
		to           float64
	)

	if text == "" || strings.HasPrefix(text, "#") {
		return nil
	}

	if n, _ := fmt.Sscanf(text, "demand %g", &number); n == 1 {
		s.demands = append(s.demands, millis(number))

		return nil
	}

	if n, _ := fmt.Sscanf(text, "speed %d %g %g", &server, &from, &number); n == 3 && server < recordedServers {
		s.speeds[server] = append(s.speeds[server], change{millis(from), number})

		return nil
	}

	for _, spans := range []struct {
		word string
		list [][]span
	}{{"fail", s.fails}, {"down", s.downs}} {
		n, _ := fmt.Sscanf(text, spans.word+" %d %g %g", &server, &from, &to)
		if n == 3 && server < recordedServers {
			spans.list[server] = append(spans.list[server], span{millis(from), millis(to)})

			return nil
		}
	}

	return errors.Wrapf(ErrSchedule, "%q", text)
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// finish returns when a request that starts now is done.
func (s *schedule) finish(server int, start, demand time.Duration) time.Duration {
	changes := s.speeds[server]
	next := sort.Search(len(changes), func(i int) bool { return changes[i].at > start })
	left := float64(demand)

	for at := start; ; next++ {
		factor := s.factorBefore(server, next)
		if next == len(changes) {
			return at + time.Duration(left*factor)
		}

		if done := float64(changes[next].at-at) / factor; done >= left {
			return at + time.Duration(left*factor)
		} else {
			left -= done
		}

		at = changes[next].at
	}
}

func (s *schedule) factorBefore(server, next int) float64 {
	if next == 0 {
		return 1
	}

	return s.speeds[server][next-1].factor
}

func (s *schedule) failing(server int, at time.Duration) bool {
	for _, span := range s.fails[server] {
		if span.contains(at) {
			return true
		}
	}

	return false
}

// speed is the share of its nominal rate at which the server works.
func (s *schedule) speed(server int, at time.Duration) float64 {
	if s.failing(server, at) {
		return 0
	}

	for _, span := range s.downs[server] {
		if span.contains(at) {
			return 0
		}
	}

	changes := s.speeds[server]

	return 1 / s.factorBefore(server, sort.Search(len(changes), func(i int) bool { return changes[i].at > at }))
}

func (s *schedule) meanDemand() time.Duration {
	var sum time.Duration
	for _, d := range s.demands {
		sum += d
	}

	return sum / time.Duration(len(s.demands))
}

// RecordSchedule writes a schedule: shifts within milliseconds and noisy neighbours at all servers, two
// stragglers, two servers that fail fast, and two that restart and are cold.
func RecordSchedule(w io.Writer, seed uint64) error {
	random := rand.New(rand.NewPCG(seed, 1))
	out := &strings.Builder{}

	fmt.Fprintln(out, "# demand <ms>; speed <server> <from ms> <factor>; fail, down <server> <from ms> <to ms>")

	for range recordedDemands {
		// Most requests are lookups, some are orders or confirmations, which take longer.
		median, sigma := 6.0, 0.4
		if random.Float64() < 0.25 {
			median, sigma = 18.0, 0.5
		}

		fmt.Fprintf(out, "demand %.3f\n", median*math.Exp(sigma*random.NormFloat64()))
	}

	for server := range recordedServers {
		recordServer(out, random, server)
	}

	fmt.Fprintln(out, "fail 2 9000 10500\nfail 5 17500 18500\ndown 3 12000 12300\ndown 0 15000 15300")

	_, err := io.WriteString(w, out.String())

	return errors.Wrap(err, "write schedule")
}

func recordServer(out *strings.Builder, random *rand.Rand, server int) {
	shifts := []float64{0.8, 1, 1, 1, 1.3, 2}
	neighbour := 0.0

	for at := 0.0; at < float64(recordedLength.Milliseconds()); {
		factor := shifts[random.IntN(len(shifts))]
		if random.Float64() < 0.02 {
			neighbour = at + 30 + 120*random.Float64()
		}

		if at < neighbour {
			factor *= 3
		}

		fmt.Fprintf(out, "speed %d %.1f %.2f\n", server, at, factor*slowness(server, at))
		at += 2 + random.ExpFloat64()*30
	}
}

// slowness is the factor of stragglers and of cold servers after a restart.
func slowness(server int, at float64) float64 {
	switch {
	case server == 1 && at >= 4000 && at < 7000, server == 4 && at >= 13000 && at < 14500:
		return 4
	case server == 3 && at >= 12300 && at < 14300:
		return 5 - 4*(at-12300)/2000
	case server == 0 && at >= 15300 && at < 17300:
		return 5 - 4*(at-15300)/2000
	default:
		return 1
	}
}
