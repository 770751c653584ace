package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"
)

// waitTimeout bounds the wait for a status or text. After the owner of keys has died, a request may have to be sent
// again several times until it reaches another owner.
const waitTimeout = 20 * time.Second

// maxFreeze is the maximum time for which SIGSTOP freezes a process.
const maxFreeze = 10 * time.Second

// TestProcesses runs the log service, backend servers and daemons as separate processes. It guards against faults that
// tests in one process cannot find: the effects of signals, kills, freezes and restarts.
func TestProcesses(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/process",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			env.Setenv("LOG", freeAddress())

			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"settings":   writeSettings,
			"request":    sendUntilStatus,
			"requests":   sendAll,
			"contains":   waitForText,
			"newkey":     setNewKey,
			"signal":     sendSignal,
			"executions": checkExecutions,
			"orders":     sendOrders,
			"sleep":      sleepFor,
			"owners":     waitForOwners,
		},
	})
}

// freeAddress returns an unused address on a loopback IP that only this test process uses. So neither other test
// processes nor outgoing connections, whose source is 127.0.0.1, take the port before a daemon opens it.
func freeAddress() string {
	const bits = 8

	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 1+pid>>(2*bits)%100, pid>>bits&0xff, 1+pid&0x7f)

	for {
		listener, err := net.Listen("tcp", host+":0")
		if err != nil {
			panic(err)
		}

		address := listener.Addr().String()
		if err := listener.Close(); err != nil {
			panic(err)
		}

		// The kernel may return the same port again while another script has not opened it yet.
		if _, taken := usedAddresses.LoadOrStore(address, true); !taken {
			return address
		}
	}
}

// usedAddresses holds the addresses that freeAddress has returned.
var usedAddresses sync.Map

// writeSettings implements "settings NAME SERVICE REGION DOMAIN". It writes the settings of a daemon to NAME.ini and
// sets NAME_caller, NAME_admin and NAME_server to its addresses. The seeds are the daemons with earlier settings.
func writeSettings(ts *testscript.TestScript, _ bool, args []string) {
	name, seeds := args[0], ts.Getenv("SEEDS")
	caller, peer, admin, server := freeAddress(), freeAddress(), freeAddress(), freeAddress()
	text := fmt.Sprintf(`[instance]
id = %s
service = %s
region = %s
domain = %s
[listen]
caller = %s
peer = %s
admin = %s
[peer]
advertise = %s
key = 0123456789abcdef0123
%s
[backend]
address = %s
slots = 6
queue = 12
interval = 100ms
[log]
url = http://%s
`, name, args[1], args[2], args[3], caller, peer, admin, peer, seedsLine(seeds), server, ts.Getenv("LOG"))
	ts.Check(os.WriteFile(ts.MkAbs(name+".ini"), []byte(text), 0o600))
	ts.Setenv("SEEDS", strings.Trim(seeds+", "+peer, ", "))
	ts.Setenv("SERVERS", ts.Getenv("SERVERS")+" "+server)
	ts.Setenv(name+"_caller", caller)
	ts.Setenv(name+"_admin", admin)
	ts.Setenv(name+"_server", server)
}

func seedsLine(seeds string) string {
	if seeds == "" {
		return ""
	}

	return "seeds = " + seeds
}

// setNewKey implements "newkey NAME". It sets the variable to a new idempotency key.
func setNewKey(ts *testscript.TestScript, _ bool, args []string) {
	ts.Setenv(args[0], uuid.Must(uuid.NewV7()).String())
}

// sendUntilStatus implements "request STATUS METHOD URL HOST [KEY [BODY]]". It repeats the request until the response
// has the status or, with "!", another status. Callers repeat refused requests, too, as Retry-After demands.
func sendUntilStatus(ts *testscript.TestScript, neg bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)

	var status int

	var body string

	for started := time.Now(); time.Since(started) < waitTimeout; time.Sleep(100 * time.Millisecond) {
		status, body = send(args[1:])
		if (status == want) != neg {
			_, err := fmt.Fprintln(ts.Stdout(), body)
			ts.Check(err)

			return
		}
	}

	ts.Fatalf("status %d: %s", status, body)
}

// sendAll implements "requests COUNT STATUS METHOD URL HOST". The response to each request must have the status.
func sendAll(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[0])
	ts.Check(err)

	for n := range count {
		if status, body := send(args[2:]); strconv.Itoa(status) != args[1] {
			ts.Fatalf("request %d: status %d: %s", n, status, body)
		}
	}
}

// waitForText implements "contains URL TEXT...". It waits until the response body contains all texts.
func waitForText(ts *testscript.TestScript, _ bool, args []string) {
	var body string

	for started := time.Now(); time.Since(started) < waitTimeout; time.Sleep(50 * time.Millisecond) {
		_, body = send([]string{http.MethodGet, args[0], ""})
		missing := 0

		for _, text := range args[1:] {
			if !strings.Contains(body, text) {
				missing++
			}
		}

		if missing == 0 {
			return
		}
	}

	ts.Fatalf("%s lacks one of %q: %s", args[0], args[1:], body)
}

func send(args []string) (int, string) {
	var key, body string

	if len(args) > 3 {
		key = args[3]
	}

	if len(args) > 4 {
		body = args[4]
	}

	r, err := http.NewRequest(args[0], "http://"+args[1], strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}

	r.Host = args[2]
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}

	client := http.Client{Timeout: 10 * time.Second}

	response, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}

	defer response.Body.Close()

	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}

	return response.StatusCode, string(data)
}

// sendSignal implements "signal STOP|CONT|TERM|KILL|HUP ARGUMENT". It sends the signal to the background process that
// has ARGUMENT, such as a settings file, among its arguments.
func sendSignal(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{
		"STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL,
		"HUP": syscall.SIGHUP,
	}

	process := findProcess(ts, args[1]).Process
	ts.Check(process.Signal(signals[args[0]]))

	if args[0] == "STOP" {
		// If the script fails while the process is frozen, testscript waits for the process, which would never end.
		time.AfterFunc(maxFreeze, func() { _ = process.Signal(syscall.SIGCONT) })
	}
}

func findProcess(ts *testscript.TestScript, argument string) *exec.Cmd {
	for _, command := range ts.BackgroundCmds() {
		for _, commandArgument := range command.Args {
			if commandArgument == argument {
				return command
			}
		}
	}

	ts.Fatalf("no process has the argument %s", argument)

	return nil
}

// checkExecutions implements "executions KEY COUNT". It checks how often requests with the key ran, at all servers
// that are still running.
func checkExecutions(ts *testscript.TestScript, _ bool, args []string) {
	total := 0

	for _, server := range strings.Fields(ts.Getenv("SERVERS")) {
		_, listing := send([]string{http.MethodGet, server + "/executions", ""})
		for line := range strings.Lines(listing) {
			key, count, _ := strings.Cut(strings.TrimSpace(line), " ")
			if key == args[0] {
				n, err := strconv.Atoi(count)
				ts.Check(err)

				total += n
			}
		}
	}

	if strconv.Itoa(total) != args[1] {
		ts.Fatalf("key %s ran %d times, want %s", args[0], total, args[1])
	}
}

// sendOrders implements "orders COUNT LEAST HOST CALLER...". It sends COUNT orders, each with a key of its own. An
// order is sent to one daemon after the other until it is accepted or was sent six times. No key may run twice, an
// accepted order must have run, and an order for which each response was "not run" must not have run. At least LEAST
// orders must be accepted, because the checks pass trivially if all are refused. Servers that have ended are not
// checked.
func sendOrders(ts *testscript.TestScript, _ bool, args []string) {
	const maxSends = 6

	count, err := strconv.Atoi(args[0])
	ts.Check(err)

	minAccepted, err := strconv.Atoi(args[1])
	ts.Check(err)

	host, callers := args[2], args[3:]
	accepted, reportedNotRun := map[string]bool{}, map[string]bool{}

	for n := range count {
		key := uuid.Must(uuid.NewV7()).String()
		notRun := true

		for send := range maxSends {
			status, body := sendOrder(callers[(n+send)%len(callers)], host, key)
			notRun = notRun && strings.Contains(body, `"verdict":"not-run"`)

			if status == http.StatusCreated {
				accepted[key] = true

				break
			}
		}

		reportedNotRun[key] = notRun
	}

	runs := map[string]int{}

	for _, server := range strings.Fields(ts.Getenv("SERVERS")) {
		_, listing := send([]string{http.MethodGet, server + "/executions", ""})
		for line := range strings.Lines(listing) {
			key, times, _ := strings.Cut(strings.TrimSpace(line), " ")
			n, _ := strconv.Atoi(times)
			runs[key] += n
		}
	}

	for key := range reportedNotRun {
		switch {
		case runs[key] > 1:
			ts.Fatalf("order %s ran %d times", key, runs[key])
		case accepted[key] && runs[key] == 0:
			ts.Fatalf("order %s was accepted and did not run", key)
		case reportedNotRun[key] && runs[key] > 0:
			ts.Fatalf("order %s ran and was reported as not run", key)
		}
	}

	ts.Logf("%d of %d orders accepted", len(accepted), count)

	if len(accepted) < minAccepted {
		ts.Fatalf("only %d of %d orders were accepted", len(accepted), count)
	}
}

// waitForOwners implements "owners HOST CALLER". It waits until each partition of the service has an owner. It takes
// this as certain once 40 orders in a row, each with a new key, are accepted.
func waitForOwners(ts *testscript.TestScript, _ bool, args []string) {
	const required = 40

	acceptedInRow := 0

	for started := time.Now(); time.Since(started) < waitTimeout && acceptedInRow < required; {
		status, _ := sendOrder(args[1], args[0], uuid.Must(uuid.NewV7()).String())
		if acceptedInRow++; status != http.StatusCreated {
			acceptedInRow = 0

			time.Sleep(100 * time.Millisecond)
		}
	}

	if acceptedInRow < required {
		ts.Fatalf("some partitions have no owner")
	}
}

func sendOrder(caller, host, key string) (int, string) {
	return send([]string{http.MethodPost, caller + "/orders", host, key, "12 dumplings"})
}

// sleepFor implements "sleep DURATION".
func sleepFor(ts *testscript.TestScript, _ bool, args []string) {
	period, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(period)
}
