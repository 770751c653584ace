package simulation

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/ini"
)

// Pattern is a fleet with the load and the faults that it meets. Values are immutable.
type Pattern struct {
	// Regions have Domains failure domains each. The store is in the first region.
	Regions, Domains int
	// Lead is the time from the start of the daemons to that of the load, Length that of the load.
	Lead, Length time.Duration
	// Repeats is the share of the requests that may be sent once more, Slack the number of those besides, and Window the
	// time over which both are counted.
	Repeats float64
	Slack   float64
	Window  time.Duration
	// Drain is the time after which a server that has said that it leaves gets no more requests.
	Drain time.Duration

	Services []Service
	Kinds    []Kind
	Faults   []Fault
}

// Service is a group of backend servers, one on each of its instances.
type Service struct {
	Name    string
	Servers int
	// Slots is the number of requests that a server runs at once, Queue of those that it lets wait.
	Slots, Queue int
	// Spells is the share of the time that a server works slower by Factor, in spells of Mean length.
	Spells, Factor float64
	Mean           time.Duration
	// Follows is set if what runs becomes slower and quicker with the server. Otherwise it keeps the pace at which it began.
	Follows bool
	// Full is the factor by which a server works slower with more than eight tenths of its slots taken.
	Full float64
	// Cold is how long a server that has started takes twice as long.
	Cold time.Duration
}

// Kind is a kind of request.
type Kind struct {
	Name, Service string
	Idempotent    bool
	// Priority orders kinds at the same server; 0 is the highest.
	Priority int
	// Work is the mean time that it takes at a server of usual speed, Spread its relative deviation.
	Work   time.Duration
	Spread float64
	// Target is the time within which a response is of full use, Deadline the time that the caller waits, Timeout that
	// of the route.
	Target, Deadline, Timeout time.Duration
	// Rate is the number of requests a second from callers.
	Rate float64
	// Worth of a response within the target, and of a late one.
	Worth, Late float64
	// Retries is how often a caller sends it again.
	Retries int
	// Call is the kind of the calls that a share of the requests make, Calls at a time; empty for none.
	Call  string
	Calls int
	Share float64
}

// FaultKind says what befalls the fleet.
type FaultKind string

// Kinds of faults. Fault tells what their figures mean.
const (
	// Burst multiplies the requests of callers by Factor.
	Burst FaultKind = "burst"
	// Abuse makes a share of the callers repeat at once Factor more times.
	Abuse FaultKind = "abuse"
	// Slow multiplies the time that servers of a service need by Factor.
	Slow FaultKind = "slow"
	// Crash ends servers of a service, which start again.
	Crash FaultKind = "crash"
	// Shed makes servers of a service refuse a share Factor of their requests.
	Shed FaultKind = "shed"
	// Fail makes servers of a service answer a share Factor of their requests with a failure.
	Fail FaultKind = "fail"
	// Lose makes servers of a service lose a share Factor of their responses.
	Lose FaultKind = "lose"
	// Leave makes servers of a service drain and go, with their daemons.
	Leave FaultKind = "leave"
	// Kill ends daemons, which start again.
	Kill FaultKind = "kill"
	// Freeze lets daemons stand still.
	Freeze FaultKind = "freeze"
	// Cut separates daemons from all others.
	Cut FaultKind = "cut"
	// Split separates the regions.
	Split FaultKind = "split"
	// Drop loses a share Factor of the datagrams.
	Drop FaultKind = "drop"
	// Outage lets the store answer nothing.
	Outage FaultKind = "outage"
	// Publish puts a new version of the configuration into the store.
	Publish FaultKind = "publish"
)

// Fault befalls the fleet At a time after the start of the load, For a time.
type Fault struct {
	Name string
	Kind FaultKind
	At   time.Duration
	For  time.Duration
	// Service whose servers are hit; empty for all.
	Service string
	// Share of the servers, daemons or callers that are hit.
	Share  float64
	Factor float64
}

// Scale returns a pattern with the requests of callers multiplied.
func (p Pattern) Scale(factor float64) Pattern {
	kinds := make([]Kind, len(p.Kinds))
	copy(kinds, p.Kinds)

	for i := range kinds {
		kinds[i].Rate *= factor
	}

	p.Kinds = kinds

	return p
}

// ParsePattern reads a pattern from a document; file is the name used in errors.
func ParsePattern(file string, data []byte) (Pattern, error) {
	document := ini.Parse(file, data)
	fleet := document.Section("fleet")
	p := Pattern{
		Regions: ini.Optional(fleet, "regions", 1, ini.Integer), Domains: ini.Optional(fleet, "domains", 1, ini.Integer),
		Lead:   ini.Optional(fleet, "lead", defaultLead, ini.Duration),
		Length: ini.Required(fleet, "length", ini.Duration),

		Repeats: ini.Optional(fleet, "repeats", defaultRepeats, ini.Number),
		Slack:   ini.Optional(fleet, "slack", defaultSlack, ini.Number),
		Window:  ini.Optional(fleet, "window", defaultWindow, ini.Duration),
		Drain:   ini.Optional(fleet, "drain", defaultDrain, ini.Duration),
	}

	for _, section := range document.SectionsOf("service", "NAME") {
		p.Services = append(p.Services, parseService(section))
	}

	for _, section := range document.SectionsOf("kind", "NAME") {
		p.Kinds = append(p.Kinds, parseKind(section))
	}

	for _, section := range document.SectionsOf("fault", "NAME") {
		p.Faults = append(p.Faults, parseFault(section))
	}

	p.check(document)

	return p, document.Err()
}

// Defaults of a pattern.
const (
	defaultLead    = 6 * time.Second
	defaultRepeats = 0.2
	defaultSlack   = 60
	defaultWindow  = 10 * time.Second
	defaultDrain   = 2500 * time.Millisecond
	defaultQueue   = 24
	defaultMean    = 500 * time.Millisecond
)

func parseService(s *ini.Section) Service {
	return Service{
		Name: s.Names[0], Servers: ini.Required(s, "servers", ini.Integer),
		Slots: ini.Required(s, "slots", ini.Integer), Queue: ini.Optional(s, "queue", defaultQueue, ini.Integer),
		Spells: ini.Optional(s, "spells", 0, ini.Number), Factor: ini.Optional(s, "factor", 1, ini.Number),
		Mean:    ini.Optional(s, "mean", defaultMean, ini.Duration),
		Follows: ini.Optional(s, "follows", "no", ini.OneOf("yes", "no")) == "yes",
		Full:    ini.Optional(s, "full", 1, ini.Number), Cold: ini.Optional(s, "cold", 0, ini.Duration),
	}
}

func parseKind(s *ini.Section) Kind {
	k := Kind{
		Name: s.Names[0], Service: ini.Required(s, "service", ini.Text),
		Idempotent: ini.Optional(s, "repeatable", "no", ini.OneOf("yes", "no")) == "yes",
		Priority:   ini.Optional(s, "priority", 0, ini.Integer),
		Work:       ini.Required(s, "work", ini.Duration), Spread: ini.Optional(s, "spread", 0, ini.Number),
		Target: ini.Required(s, "target", ini.Duration), Deadline: ini.Required(s, "deadline", ini.Duration),
		Rate: ini.Optional(s, "rate", 0, ini.Number), Worth: ini.Optional(s, "worth", 0, ini.Number),
		Late: ini.Optional(s, "late", 0, ini.Number), Retries: ini.Optional(s, "retries", 0, ini.Integer),
		Call: ini.Optional(s, "call", "", ini.Text), Calls: ini.Optional(s, "calls", 1, ini.Integer),
		Share: ini.Optional(s, "share", 1, ini.Number),
	}
	k.Timeout = ini.Optional(s, "timeout", k.Deadline, ini.Duration)

	return k
}

func parseFault(s *ini.Section) Fault {
	return Fault{
		Name: s.Names[0],
		Kind: FaultKind(ini.Required(s, "what", ini.OneOf(
			string(Burst), string(Abuse), string(Slow), string(Crash), string(Shed), string(Fail), string(Lose), string(Leave),
			string(Kill), string(Freeze), string(Cut), string(Split), string(Drop), string(Outage), string(Publish),
		))),
		At: ini.Required(s, "at", ini.Duration), For: ini.Optional(s, "for", 0, ini.Duration),
		Service: ini.Optional(s, "service", "", ini.Text),
		Share:   ini.Optional(s, "share", 1, ini.Range(ini.Number, 0, 1)),
		Factor:  ini.Optional(s, "factor", 1, ini.Number),
	}
}

// check reports names that do not exist.
func (p Pattern) check(document *ini.Document) {
	services := make(map[string]bool, len(p.Services))
	for _, service := range p.Services {
		services[service.Name] = true
	}

	kinds := make(map[string]bool, len(p.Kinds))

	for _, kind := range p.Kinds {
		kinds[kind.Name] = true

		if !services[kind.Service] {
			document.Fail("kind "+kind.Name, "service", "no such service")
		}
	}

	for _, kind := range p.Kinds {
		if kind.Call != "" && !kinds[kind.Call] {
			document.Fail("kind "+kind.Name, "call", "no such kind")
		}
	}

	for _, fault := range p.Faults {
		if fault.Service != "" && !services[fault.Service] {
			document.Fail("fault "+fault.Name, "service", "no such service")
		}
	}
}
