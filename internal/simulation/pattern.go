package simulation

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/ini"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// Pattern describes a fleet, its load and its faults. Values are immutable.
type Pattern struct {
	// Regions is the number of regions, Domains the number of failure domains in each. The store is in the first
	// region.
	Regions, Domains int
	// WarmUp is the time from the start of the daemons to the start of the load, LoadDuration how long the load lasts.
	WarmUp, LoadDuration time.Duration
	// RepeatShare, RepeatSlack and RepeatWindow limit the repeated attempts of each service: within a window, their
	// number is at most the share of the service's requests plus the slack.
	RepeatShare  float64
	RepeatSlack  float64
	RepeatWindow time.Duration
	// DrainTime is the time after which a server that has announced that it drains gets no more requests.
	DrainTime time.Duration

	Services []Service
	Kinds    []Kind
	Faults   []Fault
}

// Service is a group of backend servers, each on an instance of its own.
type Service struct {
	Name    string
	Servers int
	// Slots is the number of requests that a server runs at once, Queue the number that it lets wait.
	Slots, Queue int
	// SlowShare is the share of the time during which a server works slower by SlowFactor, in periods of random length
	// with the mean MeanSlowPeriod.
	SlowShare, SlowFactor float64
	MeanSlowPeriod        time.Duration
	// AffectsRunning is set if a change of the server's speed affects running requests. Otherwise they keep the speed
	// at which they started.
	AffectsRunning bool
	// NearFullFactor is the factor by which a server works slower while more than 80 % of its slots are in use.
	NearFullFactor float64
	// ColdTime is how long a server needs twice the usual time for its work after a start during the load.
	ColdTime time.Duration
	// Hedge limits the hedged attempts of the service's requests.
	Hedge manifest.Hedge
}

// Kind is a kind of request.
type Kind struct {
	Name, Service string
	Idempotent    bool
	// Priority orders waiting requests of different kinds; 0 is the highest.
	Priority int
	// Work is the mean time that a server of usual speed needs for a request, Spread its relative standard deviation.
	Work   time.Duration
	Spread float64
	// TailShare of the requests need TailFactor times the drawn work.
	TailShare, TailFactor float64
	// Target is the time within which a response has its full value, Deadline how long the caller waits, and Timeout
	// the time that the route allows.
	Target, Deadline, Timeout time.Duration
	// Rate is the number of requests per second from callers.
	Rate float64
	// Value is the value of a successful response within the target, LateValue that of a later one.
	Value, LateValue float64
	// Retries is how often a caller retries a request.
	Retries int
	// CallKind is the kind of the requests that a server sends while it runs a request of this kind; empty for none.
	// CallShare of the requests make such calls, CallCount at once.
	CallKind  string
	CallCount int
	CallShare float64
}

// FaultKind is a kind of fault.
type FaultKind string

// Kinds of faults. Factor and the share of affected parts are fields of Fault.
const (
	// Burst multiplies the request rate of callers by Factor.
	Burst FaultKind = "burst"
	// Abuse makes a share of the callers retry without a pause, with Factor additional retries.
	Abuse FaultKind = "abuse"
	// Slow multiplies the time that servers of a service need for work by Factor.
	Slow FaultKind = "slow"
	// Crash ends servers of a service, which start again at the end of the fault.
	Crash FaultKind = "crash"
	// Shed makes servers of a service refuse the share Factor of their requests.
	Shed FaultKind = "shed"
	// Fail makes servers of a service answer the share Factor of their requests with an error.
	Fail FaultKind = "fail"
	// Lose makes servers of a service close the connection instead of sending a response, for the share Factor of their
	// requests.
	Lose FaultKind = "lose"
	// Leave makes servers of a service drain and exit, together with their daemons.
	Leave FaultKind = "leave"
	// Kill ends daemons, which start again after the end of the fault.
	Kill FaultKind = "kill"
	// Freeze pauses daemons.
	Freeze FaultKind = "freeze"
	// Cut breaks the links between daemons and all other instances.
	Cut FaultKind = "cut"
	// Split breaks the links between regions.
	Split FaultKind = "split"
	// Drop makes the network lose the share Factor of all datagrams.
	Drop FaultKind = "drop"
	// Outage makes the store answer no calls.
	Outage FaultKind = "outage"
	// Return makes the store come back from a copy that is Factor seconds old, at the start of the fault.
	Return FaultKind = "return"
	// Publish puts a new version of the configuration into the store.
	Publish FaultKind = "publish"
)

// Fault is a fault that is injected into the fleet during the load.
type Fault struct {
	Name string
	Kind FaultKind
	// At is the time from the start of the load to the start of the fault, Duration how long the fault lasts.
	At       time.Duration
	Duration time.Duration
	// Service limits the fault to the servers or daemons of a service; empty for all.
	Service string
	// Share is the share of the servers, daemons or callers that are affected.
	Share float64
	// Factor is the strength of the fault; the kinds of faults say what it means.
	Factor float64
}

// Scale returns a copy of the pattern with the request rates of callers multiplied by a factor.
func (p Pattern) Scale(factor float64) Pattern {
	kinds := make([]Kind, len(p.Kinds))
	copy(kinds, p.Kinds)

	for i := range kinds {
		kinds[i].Rate *= factor
	}

	p.Kinds = kinds

	return p
}

// WithHedge returns a copy of the pattern in which all services have these limits on hedged attempts.
func (p Pattern) WithHedge(limits manifest.Hedge) Pattern {
	services := make([]Service, len(p.Services))
	copy(services, p.Services)

	for i := range services {
		services[i].Hedge = limits
	}

	p.Services = services

	return p
}

// ParsePattern parses a pattern in INI format. File is the name used in errors, which list all faulty keys.
func ParsePattern(file string, data []byte) (Pattern, error) {
	document := ini.Parse(file, data)
	fleet := document.Section("fleet")
	p := Pattern{
		Regions: ini.Optional(fleet, "regions", 1, ini.Integer), Domains: ini.Optional(fleet, "domains", 1, ini.Integer),
		WarmUp:       ini.Optional(fleet, "lead", defaultWarmUp, ini.Duration),
		LoadDuration: ini.Required(fleet, "length", ini.Duration),

		RepeatShare:  ini.Optional(fleet, "repeats", defaultRepeatShare, ini.Number),
		RepeatSlack:  ini.Optional(fleet, "slack", defaultRepeatSlack, ini.Number),
		RepeatWindow: ini.Optional(fleet, "window", defaultRepeatWindow, ini.Duration),
		DrainTime:    ini.Optional(fleet, "drain", defaultDrainTime, ini.Duration),
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

	p.checkReferences(document)

	return p, document.Err()
}

// Defaults of a pattern.
const (
	defaultWarmUp         = 6 * time.Second
	defaultRepeatShare    = 0.2
	defaultRepeatSlack    = 60
	defaultRepeatWindow   = 10 * time.Second
	defaultDrainTime      = 2500 * time.Millisecond
	defaultQueue          = 24
	defaultMeanSlowPeriod = 500 * time.Millisecond
)

func parseService(s *ini.Section) Service {
	return Service{
		Name: s.Names[0], Servers: ini.Required(s, "servers", ini.Integer),
		Slots: ini.Required(s, "slots", ini.Integer), Queue: ini.Optional(s, "queue", defaultQueue, ini.Integer),
		SlowShare: ini.Optional(s, "spells", 0, ini.Number), SlowFactor: ini.Optional(s, "factor", 1, ini.Number),
		MeanSlowPeriod: ini.Optional(s, "mean", defaultMeanSlowPeriod, ini.Duration),
		AffectsRunning: ini.Optional(s, "follows", "no", ini.OneOf("yes", "no")) == "yes",
		NearFullFactor: ini.Optional(s, "full", 1, ini.Number), ColdTime: ini.Optional(s, "cold", 0, ini.Duration),
		Hedge: manifest.Hedge{
			Share: ini.Optional(s, "hedges", 1, ini.Number), Quantile: ini.Optional(s, "quantile", 0, ini.Number),
			Delayed: ini.Optional(s, "delayed", 0, ini.Number), Work: ini.Optional(s, "work", 0, ini.Number),
		},
	}
}

func parseKind(s *ini.Section) Kind {
	k := Kind{
		Name: s.Names[0], Service: ini.Required(s, "service", ini.Text),
		Idempotent: ini.Optional(s, "repeatable", "no", ini.OneOf("yes", "no")) == "yes",
		Priority:   ini.Optional(s, "priority", 0, ini.Integer),
		Work:       ini.Required(s, "work", ini.Duration), Spread: ini.Optional(s, "spread", 0, ini.Number),
		TailShare: ini.Optional(s, "tail", 0, ini.Range(ini.Number, 0, 1)), TailFactor: ini.Optional(s, "stretch", 1, ini.Number),
		Target: ini.Required(s, "target", ini.Duration), Deadline: ini.Required(s, "deadline", ini.Duration),
		Rate: ini.Optional(s, "rate", 0, ini.Number), Value: ini.Optional(s, "worth", 0, ini.Number),
		LateValue: ini.Optional(s, "late", 0, ini.Number), Retries: ini.Optional(s, "retries", 0, ini.Integer),
		CallKind: ini.Optional(s, "call", "", ini.Text), CallCount: ini.Optional(s, "calls", 1, ini.Integer),
		CallShare: ini.Optional(s, "share", 1, ini.Number),
	}
	k.Timeout = ini.Optional(s, "timeout", k.Deadline, ini.Duration)

	return k
}

func parseFault(s *ini.Section) Fault {
	return Fault{
		Name: s.Names[0],
		Kind: FaultKind(ini.Required(s, "what", ini.OneOf(
			string(Burst), string(Abuse), string(Slow), string(Crash), string(Shed), string(Fail), string(Lose), string(Leave),
			string(Kill), string(Freeze), string(Cut), string(Split), string(Drop), string(Outage), string(Return),
			string(Publish),
		))),
		At: ini.Required(s, "at", ini.Duration), Duration: ini.Optional(s, "for", 0, ini.Duration),
		Service: ini.Optional(s, "service", "", ini.Text),
		Share:   ini.Optional(s, "share", 1, ini.Range(ini.Number, 0, 1)),
		Factor:  ini.Optional(s, "factor", 1, ini.Number),
	}
}

// checkReferences reports references to services and kinds that do not exist.
func (p Pattern) checkReferences(document *ini.Document) {
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
		if kind.CallKind != "" && !kinds[kind.CallKind] {
			document.Fail("kind "+kind.Name, "call", "no such kind")
		}
	}

	for _, fault := range p.Faults {
		if fault.Service != "" && !services[fault.Service] {
			document.Fail("fault "+fault.Name, "service", "no such service")
		}
	}
}
