package settings

import (
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/ini"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// Defaults and bounds of settings, the bounds inclusive.
const (
	defaultConnections    = 200
	defaultHealthInterval = time.Second
	defaultLogLevel       = "info"
	defaultTraceLimit     = 64 << 20 // bytes
	defaultBacklog        = 2        // waiting requests per slot
	defaultRepeatShare    = 0.1      // repeats per request
	defaultRepeatSlack    = 10       // repeats per window
	defaultRepeatWindow   = 10 * time.Second
	defaultHedgeQuantile  = 0.95 // of the response times of a route
	// defaultGrace is the time that supervisors commonly wait between SIGTERM and SIGKILL.
	defaultGrace = 30 * time.Second

	maxSlots          = 10_000
	maxBacklog        = 100       // waiting requests per slot
	maxRepeatSlack    = 1_000_000 // repeats per window
	minRepeatWindow   = time.Second
	maxRepeatWindow   = 10 * time.Minute
	minGrace          = time.Second
	maxGrace          = time.Hour
	maxQueue          = 100_000 // waiting requests
	maxConnections    = 100_000
	minHealthInterval = 50 * time.Millisecond
	maxHealthInterval = time.Minute
	minTraceLimit     = 4 << 10  // bytes
	maxTraceLimit     = 16 << 30 // bytes
	// minKeyLength is the minimum length of the fleet's key in bytes. A random key of 16 base64 characters has 96 bits.
	minKeyLength = 16
)

// Values of Settings.Fields.
const (
	// OwnFields selects the header fields defined by this project.
	OwnFields = "own"
	// PlatformFields selects the header fields of the platform.
	PlatformFields = "platform"
)

// Load reads and checks a settings file. It returns errors in the content as joined *ini.Error values. Other errors
// come from reading the file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}

	return Parse(path, data)
}

// Parse parses and checks settings. Errors are joined *ini.Error values, which give name as the file name.
func Parse(name string, data []byte) (Settings, error) {
	document := ini.Parse(name, data)
	s := decode(document)

	if !document.Faulty() {
		checkCombinations(document, s)
	}
	if err := document.Err(); err != nil {
		return Settings{}, err
	}

	return s, nil
}

func decode(document *ini.Document) Settings {
	var (
		instanceSection = document.Section("instance")
		listen          = document.Section("listen")
		peer            = document.Section("peer")
		backend         = document.Section("backend")
		log             = document.Section("log")
		trace           = document.Section("trace")
		logging         = document.Section("logging")
		repeat          = document.Section("repeat")
	)

	return Settings{
		ID:      instance.ID(ini.Required(instanceSection, "id", ini.Name)),
		Service: ini.Required(instanceSection, "service", ini.Name),
		Place: instance.Place{
			Region: ini.Required(instanceSection, "region", ini.Name),
			Domain: ini.Required(instanceSection, "domain", ini.Name),
		},
		Listen: Listen{
			Caller: ini.Required(listen, "caller", ini.Address),
			Peer:   ini.Required(listen, "peer", ini.Address),
			Admin:  ini.Required(listen, "admin", ini.Address),

			Ready:    ini.Optional(listen, "ready", netip.AddrPort{}, ini.Address),
			Announce: ini.Optional(listen, "announce", netip.AddrPort{}, ini.Address),
		},
		Advertise: ini.Required(peer, "advertise", parseReachableAddress),
		Seeds:     ini.Optional(peer, "seeds", nil, ini.List(parseReachableAddress)),
		Key:       decodeKey(peer),
		Backend: Backend{
			Address:     ini.Required(backend, "address", parseReachableAddress),
			Slots:       decodeSlots(listen, backend),
			Queue:       decodeQueue(listen, backend),
			Backlog:     ini.Optional(backend, "backlog", defaultBacklog, ini.Range(ini.Integer, 0, maxBacklog)),
			Connections: ini.Optional(backend, "connections", defaultConnections, ini.Range(ini.Integer, 1, maxConnections)),
			Health:      ini.Optional(backend, "health", "", parsePath),
			Interval:    ini.Optional(backend, "interval", defaultHealthInterval, ini.Range(ini.Duration, minHealthInterval, maxHealthInterval)),
		},
		Store: decodeStoreAddress(log),
		Trace: Trace{
			File:  ini.Optional(trace, "file", "", ini.Text),
			Limit: ini.Optional(trace, "limit", defaultTraceLimit, ini.Range(ini.Size, minTraceLimit, maxTraceLimit)),
		},
		Level:  ini.Optional(logging, "level", defaultLogLevel, ini.OneOf("trace", "debug", "info", "warn", "error")),
		Fields: ini.Optional(document.Section("callers"), "fields", OwnFields, ini.OneOf(OwnFields, PlatformFields)),
		Repeat: Repeat{
			Share:  ini.Optional(repeat, "share", defaultRepeatShare, ini.Range(ini.Number, 0, 1)),
			Slack:  ini.Optional(repeat, "slack", defaultRepeatSlack, ini.Range(ini.Number, 0, maxRepeatSlack)),
			Window: ini.Optional(repeat, "window", defaultRepeatWindow, ini.Range(ini.Duration, minRepeatWindow, maxRepeatWindow)),
		},
		Hedge:  decodeHedge(document.Section(hedgeSection)),
		Limits: decodeLimits(document.Section("limits")),
		Grace:  ini.Optional(document.Section("stop"), "grace", defaultGrace, ini.Range(ini.Duration, minGrace, maxGrace)),
	}
}

// Bounds of the section "limits", inclusive.
const (
	minMemory           = 64 << 20 // bytes
	maxMemory           = 1 << 40  // bytes
	minConnectionsLimit = 16
	maxConnectionsLimit = 1_000_000
	minFields           = 64
	maxFields           = 1 << 20
	maxRate             = 1 << 30 // bytes per second
)

func decodeLimits(section *ini.Section) Limits {
	return Limits{
		Memory: ini.Optional(section, "memory", 0, ini.Range(ini.Size, minMemory, maxMemory)),
		Connections: ini.Optional(section, "connections", 0,
			ini.Range(ini.Integer, minConnectionsLimit, maxConnectionsLimit)),
		Fields: ini.Optional(section, "fields", 0, ini.Range(ini.Integer, minFields, maxFields)),
		Rate:   ini.Optional(section, "rate", 0, ini.Range(ini.Size, 1, maxRate)),
	}
}

const hedgeSection = "hedge"

// decodeHedge reads the limits on hedged attempts; zero if the section is missing.
func decodeHedge(s *ini.Section) Hedge {
	h := Hedge{
		Share: ini.Optional(s, "share", 0, ini.Range(ini.Number, 0, manifest.MaxDelayed)),
		Quantile: ini.Optional(s, "quantile", defaultHedgeQuantile,
			ini.Range(ini.Number, manifest.MinQuantile, manifest.MaxQuantile)),
		Work: ini.Optional(s, "work", 0, ini.Range(ini.Number, 0, manifest.MaxHedgeWork)),
	}

	if h.Share == 0 && h.Work == 0 {
		return Hedge{}
	}

	return h
}

// checkHedge reports limits that would have no effect.
func checkHedge(document *ini.Document, s Settings) {
	switch {
	case s.Hedge == Hedge{}:
	case s.Fields != PlatformFields:
		document.Fail(hedgeSection, "", "with fields = own, the manifest sets these limits")
	case s.Hedge.Share == 0:
		document.Fail(hedgeSection, "work", "nothing is hedged without the key share")
	case s.Hedge.Work == 0:
		document.Fail(hedgeSection, "share", "nothing is hedged without the key work")
	}
}

// Values of the key "trust".
const (
	// trustKey means that other daemons have to present the fleet's key.
	trustKey = "key"
	// trustNetwork means that no key is needed, because the peer network is private to the fleet.
	trustNetwork = "network"
)

// decodeSlots reads the number of slots. It is optional if the backend server announces itself, because the
// announcement states the slots.
func decodeSlots(listen, backend *ini.Section) int {
	parse := ini.Range(ini.Integer, 1, maxSlots)

	if ini.Optional(listen, "announce", netip.AddrPort{}, ini.Address).IsValid() {
		return ini.Optional(backend, "slots", 0, parse)
	}

	return ini.Required(backend, "slots", parse)
}

// decodeQueue reads the number of requests that may wait. It is optional if the backend server announces its slots,
// because the backlog applies then.
func decodeQueue(listen, backend *ini.Section) int {
	parse := ini.Range(ini.Integer, 0, maxQueue)

	if ini.Optional(listen, "announce", netip.AddrPort{}, ini.Address).IsValid() {
		return ini.Optional(backend, "queue", 0, parse)
	}

	return ini.Required(backend, "queue", parse)
}

// decodeStoreAddress reads the address of the platform's log service from the key address or, without it, from the
// base URL in the key url.
func decodeStoreAddress(log *ini.Section) netip.AddrPort {
	if address := ini.Optional(log, "address", netip.AddrPort{}, ini.Address); address.IsValid() {
		return address
	}

	return ini.Required(log, "url", func(text string) (netip.AddrPort, error) {
		base, err := ini.URL(text)
		if err != nil {
			return netip.AddrPort{}, err
		}

		return StoreAddress(base)
	})
}

// StoreAddress returns the address in a base URL. It returns an error if the URL has no IP address with a port.
func StoreAddress(base string) (netip.AddrPort, error) {
	location, err := url.Parse(base)
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "base URL")
	}

	if location.Scheme == "" || location.Host == "" {
		return netip.AddrPort{}, errors.Newf("base URL %q: scheme or host is missing", base)
	}

	address, err := netip.ParseAddrPort(location.Host)

	return address, errors.Wrapf(err, "%q is not a base URL with an IP address and a port", base)
}

// decodeKey reads the fleet's key, which is optional only if the network is trusted.
func decodeKey(peer *ini.Section) string {
	if ini.Optional(peer, "trust", trustKey, ini.OneOf(trustKey, trustNetwork)) == trustNetwork {
		return ini.Optional(peer, "key", "", parseKey)
	}

	return ini.Required(peer, "key", parseKey)
}

func parseReachableAddress(text string) (netip.AddrPort, error) {
	address, err := ini.Address(text)
	if err != nil {
		return address, err
	}
	if address.Addr().IsUnspecified() || address.Port() == 0 {
		return address, errors.Newf("%q is not an address that can be connected to", text)
	}

	return address, nil
}

func parsePath(text string) (string, error) {
	if !strings.HasPrefix(text, "/") || strings.ContainsAny(text, " ?#") {
		return "", errors.Newf("%q is not a path such as /health", text)
	}

	return text, nil
}

func parseKey(text string) (string, error) {
	if len(text) < minKeyLength {
		return "", errors.Newf("key is shorter than %d characters", minKeyLength)
	}

	return text, nil
}

// checkCombinations checks conditions that concern more than one key.
func checkCombinations(document *ini.Document, s Settings) {
	usedBy := map[netip.AddrPort]string{}

	for _, endpoint := range []struct {
		key     string
		address netip.AddrPort
	}{{"caller", s.Listen.Caller}, {"peer", s.Listen.Peer}, {"admin", s.Listen.Admin}} {
		if other, found := usedBy[endpoint.address]; found && endpoint.address.Port() != 0 {
			document.Fail("listen", endpoint.key, "address is the same as "+other)
		}

		usedBy[endpoint.address] = endpoint.key
	}

	if other, found := usedBy[s.Backend.Address]; found {
		document.Fail("backend", "address", "address is the same as "+other+" in [listen]")
	}

	checkHedge(document, s)

	if s.Backend.Connections < s.Backend.Slots {
		document.Fail("backend", "connections", "fewer connections than slots")
	}
}
