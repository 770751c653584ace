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
)

// Defaults and bounds of settings.
const (
	defaultConnections = 200
	defaultInterval    = time.Second
	defaultLevel       = "info"
	defaultLimit       = 64 << 20 // bytes
	defaultBacklog     = 2
	defaultShare       = 0.1
	defaultSlack       = 10
	defaultWindow      = 10 * time.Second
	// defaultGrace is what supervisors commonly leave a process before they kill it.
	defaultGrace = 30 * time.Second

	maxSlots       = 10_000
	maxBacklog     = 100
	maxSlack       = 1_000_000
	minWindow      = time.Second
	maxWindow      = 10 * time.Minute
	minGrace       = time.Second
	maxGrace       = time.Hour
	maxQueue       = 100_000
	maxConnections = 100_000
	minInterval    = 50 * time.Millisecond
	maxInterval    = time.Minute
	minLimit       = 4 << 10 // bytes
	maxLimit       = 16 << 30
	// minKey is 16 characters: a random key of 16 base64 characters has 96 bits.
	minKey = 16
)

// Values of Settings.Fields.
const (
	OwnFields      = "own"
	PlatformFields = "platform"
)

// Load reads and checks the settings in a file. Errors about the content are *ini.Error values,
// joined; others come from reading the file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}

	return Parse(path, data)
}

// Parse reads and checks settings; name is used in errors.
func Parse(name string, data []byte) (Settings, error) {
	document := ini.Parse(name, data)
	s := decode(document)

	if !document.Faulty() {
		checkAddresses(document, s)
	}
	if err := document.Err(); err != nil {
		return Settings{}, err
	}

	return s, nil
}

func decode(document *ini.Document) Settings {
	var (
		self    = document.Section("instance")
		listen  = document.Section("listen")
		peer    = document.Section("peer")
		backend = document.Section("backend")
		log     = document.Section("log")
		trace   = document.Section("trace")
		logging = document.Section("logging")
		repeat  = document.Section("repeat")
	)

	return Settings{
		ID:      instance.ID(ini.Required(self, "id", ini.Name)),
		Service: ini.Required(self, "service", ini.Name),
		Place: instance.Place{
			Region: ini.Required(self, "region", ini.Name),
			Domain: ini.Required(self, "domain", ini.Name),
		},
		Listen: Listen{
			Caller: ini.Required(listen, "caller", ini.Address),
			Peer:   ini.Required(listen, "peer", ini.Address),
			Admin:  ini.Required(listen, "admin", ini.Address),

			Ready:    ini.Optional(listen, "ready", netip.AddrPort{}, ini.Address),
			Announce: ini.Optional(listen, "announce", netip.AddrPort{}, ini.Address),
		},
		Advertise: ini.Required(peer, "advertise", reachable),
		Seeds:     ini.Optional(peer, "seeds", nil, ini.List(reachable)),
		Key:       fleetKey(peer),
		Backend: Backend{
			Address:     ini.Required(backend, "address", reachable),
			Slots:       slots(listen, backend),
			Queue:       queue(listen, backend),
			Backlog:     ini.Optional(backend, "backlog", defaultBacklog, ini.Range(ini.Integer, 0, maxBacklog)),
			Connections: ini.Optional(backend, "connections", defaultConnections, ini.Range(ini.Integer, 1, maxConnections)),
			Health:      ini.Optional(backend, "health", "", path),
			Interval:    ini.Optional(backend, "interval", defaultInterval, ini.Range(ini.Duration, minInterval, maxInterval)),
		},
		Store: storeAddress(log),
		Trace: Trace{
			File:  ini.Optional(trace, "file", "", ini.Text),
			Limit: ini.Optional(trace, "limit", defaultLimit, ini.Range(ini.Size, minLimit, maxLimit)),
		},
		Level:  ini.Optional(logging, "level", defaultLevel, ini.OneOf("trace", "debug", "info", "warn", "error")),
		Fields: ini.Optional(document.Section("callers"), "fields", OwnFields, ini.OneOf(OwnFields, PlatformFields)),
		Repeat: Repeat{
			Share:  ini.Optional(repeat, "share", defaultShare, ini.Range(ini.Number, 0, 1)),
			Slack:  ini.Optional(repeat, "slack", defaultSlack, ini.Range(ini.Number, 0, maxSlack)),
			Window: ini.Optional(repeat, "window", defaultWindow, ini.Range(ini.Duration, minWindow, maxWindow)),
		},
		Grace: ini.Optional(document.Section("stop"), "grace", defaultGrace, ini.Range(ini.Duration, minGrace, maxGrace)),
	}
}

// Values of the key "trust": whether other daemons have to present the fleet's key, or the network that they
// are reached on is private to the fleet.
const (
	trustKey     = "key"
	trustNetwork = "network"
)

// slots reads the number of slots. A server that announces itself states it.
func slots(listen, backend *ini.Section) int {
	within := ini.Range(ini.Integer, 1, maxSlots)

	if ini.Optional(listen, "announce", netip.AddrPort{}, ini.Address).IsValid() {
		return ini.Optional(backend, "slots", 0, within)
	}

	return ini.Required(backend, "slots", within)
}

// queue reads how many requests may wait. For a server that announces its slots, the backlog says it.
func queue(listen, backend *ini.Section) int {
	within := ini.Range(ini.Integer, 0, maxQueue)

	if ini.Optional(listen, "announce", netip.AddrPort{}, ini.Address).IsValid() {
		return ini.Optional(backend, "queue", 0, within)
	}

	return ini.Required(backend, "queue", within)
}

// storeAddress reads where the platform's log service is: its address, or its base URL.
func storeAddress(log *ini.Section) netip.AddrPort {
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

// StoreAddress returns the address that a base URL names.
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

// fleetKey reads the fleet's key. A missing key is a fault unless the network itself is trusted.
func fleetKey(peer *ini.Section) string {
	if ini.Optional(peer, "trust", trustKey, ini.OneOf(trustKey, trustNetwork)) == trustNetwork {
		return ini.Optional(peer, "key", "", secret)
	}

	return ini.Required(peer, "key", secret)
}

func reachable(text string) (netip.AddrPort, error) {
	address, err := ini.Address(text)
	if err != nil {
		return address, err
	}
	if address.Addr().IsUnspecified() || address.Port() == 0 {
		return address, errors.Newf("%q is not an address that can be connected to", text)
	}

	return address, nil
}

func path(text string) (string, error) {
	if !strings.HasPrefix(text, "/") || strings.ContainsAny(text, " ?#") {
		return "", errors.Newf("%q is not a path such as /health", text)
	}

	return text, nil
}

func secret(text string) (string, error) {
	if len(text) < minKey {
		return "", errors.Newf("key is shorter than %d characters", minKey)
	}

	return text, nil
}

// checkAddresses checks what concerns several keys.
func checkAddresses(document *ini.Document, s Settings) {
	taken := map[netip.AddrPort]string{}

	for _, use := range []struct {
		key     string
		address netip.AddrPort
	}{{"caller", s.Listen.Caller}, {"peer", s.Listen.Peer}, {"admin", s.Listen.Admin}} {
		if other, found := taken[use.address]; found && use.address.Port() != 0 {
			document.Fail("listen", use.key, "address is the same as "+other)
		}

		taken[use.address] = use.key
	}

	if other, found := taken[s.Backend.Address]; found {
		document.Fail("backend", "address", "address is the same as "+other+" in [listen]")
	}
	if s.Backend.Connections < s.Backend.Slots {
		document.Fail("backend", "connections", "fewer connections than slots")
	}
}
