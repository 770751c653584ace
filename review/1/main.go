// Command 1 is the first case of the review: a second, late copy of a refusal is taken for the answer to the same
// request when it is sent again.
package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/tarragonmill/tarragonmill/review/stand"
)

const (
	length       = 95 * time.Second
	ordersPerS   = 5 // for each service
	deadline     = 1500 * time.Millisecond
	work         = 130 * time.Millisecond
	shedShare    = 0.55
	repeatShare  = 0.03
	repeatPeriod = 6 * time.Second
	repeatLength = 5 * time.Second
	shedPeriod   = 10 * time.Second
	shedLength   = 8500 * time.Millisecond
)

// outcome is what a client got for an order.
type outcome struct {
	id     string
	status int
}

func main() { os.Exit(run(os.Args[1], os.Args[2])) }

// run plays the case with the programs in a folder, and writes the record to another one.
func run(programs, folder string) int {
	record, err := stand.NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return fail(err)
	}

	fleet, err := stand.NewFleet(programs, record)
	if err != nil {
		return fail(err)
	}

	defer fleet.Close()

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	backends, err := startMachines(ctx, fleet)
	if err != nil {
		return fail(err)
	}

	outcomes := sendOrders(fleet)
	// What was sent has ended by then.
	time.Sleep(2 * time.Second)

	return judge(record, backends, outcomes)
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)

	return stand.NotRun
}

// services are those of the deployment, which has one server of each.
var services = []string{
	"stockdesk", "routehall", "payments", "labels", "dispatch", "counter", "yard", "reserve", "slips", "returns",
	"freezers", "catalogue", "deposits", "tablets",
}

// repeatingServers is the number of servers that repeat answers: a share of 0.57.
const repeatingServers = 8

// startMachines starts the machines, and waits until orders are served.
func startMachines(ctx context.Context, fleet *stand.Fleet) ([]*stand.Backend, error) {
	var (
		backends []*stand.Backend
		routes   []stand.Route
		started  = time.Now()
	)

	within := func(period, part time.Duration) bool {
		return stand.Trouble() && time.Since(started) > 8*time.Second && time.Since(started)%period < part
	}

	for n, service := range services {
		repeating := n < repeatingServers

		m, err := fleet.AddMachine(fmt.Sprintf("sidecar-%d", n+1), service, "milwaukee", "west-lakes")
		if err != nil {
			return nil, fmt.Errorf("machine: %w", err)
		}

		b := &stand.Backend{
			ID: fmt.Sprintf("i-%d", n+1), Service: service, Zone: "milwaukee", Address: m.Backend, Control: m.Control,
			Slots: 6, Work: work, Record: fleet.Record,
			Sheds: func() bool { return within(shedPeriod, shedLength) && rand.Float64() < shedShare },
			Repeats: func() bool {
				return repeating && within(repeatPeriod, repeatLength) && rand.Float64() < repeatShare
			},
		}
		if err := b.Start(ctx); err != nil {
			return nil, fmt.Errorf("backend: %w", err)
		}

		backends = append(backends, b)
		routes = append(routes, stand.Route{
			Name: "r-" + service, Host: service + ".example", Prefix: "/orders/", Kind: "unsafe", Service: service,
			TimeoutMs: 1500, TargetMs: 500, MaxAttempts: 2,
		})
	}

	if err := fleet.Publish(1, routes); err != nil {
		return nil, fmt.Errorf("publish: %w", err)
	}

	for _, m := range fleet.Machines {
		if err := m.AwaitReady(10 * time.Second); err != nil {
			return nil, fmt.Errorf("daemon: %w", err)
		}
	}

	time.Sleep(6 * time.Second)

	return backends, nil
}

// sendOrders sends orders for each service from the machines in turn, and returns what their clients got.
func sendOrders(fleet *stand.Fleet) []outcome {
	var (
		all   []outcome
		mutex sync.Mutex
		group sync.WaitGroup
	)

	client := &http.Client{Timeout: deadline + time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	ticker := time.NewTicker(time.Second / (ordersPerS * time.Duration(len(fleet.Machines))))

	defer ticker.Stop()

	for n, end := 0, time.Now().Add(length); time.Now().Before(end); n++ {
		<-ticker.C

		service, entry := services[n%len(services)], fleet.Machines[rand.IntN(len(fleet.Machines))]
		id := fmt.Sprintf("%016x", rand.Uint64())

		group.Go(func() {
			status := sendOrder(fleet.Record, client, entry, service, id)

			mutex.Lock()
			defer mutex.Unlock()

			all = append(all, outcome{id: id, status: status})
		})
	}

	group.Wait()

	return all
}

// sendOrder sends one order and returns the status of the answer, or zero if there was none.
func sendOrder(record *stand.Record, client *http.Client, entry *stand.Machine, service, id string) int {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+500*time.Millisecond)
	defer cancel()

	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.Caller+"/orders/7",
		bytes.NewReader(make([]byte, 1200)))
	if err != nil {
		return 0
	}

	r.Host = service + ".example"
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", "1500")
	// The client must not send an order again by itself.
	r.GetBody = nil

	record.Add("client sends %s POST /orders/7 for %s to %s", id, service, entry.Name)

	response, err := client.Do(r)
	if err != nil {
		record.Add("client of %s gets no answer: %v", id, err)

		return 0
	}

	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()

	record.Add("client of %s gets %d", id, response.StatusCode)

	return response.StatusCode
}

// judge checks the rules TWICE and REFUSED.
func judge(record *stand.Record, backends []*stand.Backend, outcomes []outcome) int {
	runs := map[string]int{}

	for _, b := range backends {
		for id, count := range b.Runs() {
			runs[id] += count
		}
	}

	served, twice, refused := 0, 0, 0

	for _, o := range outcomes {
		if o.status == http.StatusOK {
			served++
		}

		if runs[o.id] > 1 {
			twice++

			record.Add("TWICE: %s ran %d times, its client got %d", o.id, runs[o.id], o.status)
		}

		switch o.status {
		case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
			http.StatusServiceUnavailable:
			if runs[o.id] > 0 {
				refused++

				record.Add("REFUSED: %s was answered %d and ran %d times", o.id, o.status, runs[o.id])
			}
		}
	}

	summary := fmt.Sprintf("%d orders, %d answered 200; ran more than once: %d; refused and had run: %d",
		len(outcomes), served, twice, refused)
	record.Add("%s", summary)
	fmt.Println(summary)

	switch {
	case served == 0:
		return stand.NotRun
	case twice+refused > 0:
		return stand.Broken
	default:
		return stand.Held
	}
}
