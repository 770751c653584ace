package simulation

import (
	"net/netip"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/backend"
	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/health"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/routing"
)

const (
	// restartTime is how long a killed daemon takes to start again.
	restartTime = 300 * time.Millisecond
	// probeResponseTime is the time from the start of a probe to the server's answer. ProbeTimeout, the time after which
	// an unanswered probe ends, is not used: the model has no such probes.
	probeResponseTime = 2 * time.Millisecond
	probeTimeout      = 400 * time.Millisecond
	// probeInterval and queuePerSlot are settings of the daemons.
	probeInterval = 100 * time.Millisecond
	queuePerSlot  = 2
	// datagramHeaderBytes is the size of the IP and UDP headers of a datagram.
	datagramHeaderBytes = 28
)

// daemon is an instance: a backend server and the daemon beside it.
type daemon struct {
	fleet  *Fleet
	id     instance.ID
	place  instance.Place
	peer   netip.AddrPort
	server *server
	starts int
	// process is nil while the daemon does not run.
	process *process
	// draining is set while the daemon shuts down, removed once its instance has left the fleet.
	draining, removed bool
}

// process is one run of a daemon, with the real reducer.
type process struct {
	daemon   *daemon
	state    *core.State
	requests map[request.ID]*entryRequest
	incoming map[admission.Attempt]*incomingAttempt
	// pendingEvents are the events that arrived while an earlier one was being applied.
	pendingEvents []core.Event
	applying      bool
	// timer is the next tick of the reducer.
	timer *event
	ended bool
	// freezeFaults counts the active faults that pause the process. Inbox holds the handlers of what arrives meanwhile.
	freezeFaults int
	inbox        []func()
	// version is the version of the configuration in use; zero for none.
	version uint64
}

func (d *daemon) start() {
	if d.process != nil || d.removed {
		return
	}

	d.starts++
	fleet := d.fleet
	p := &process{
		daemon: d, requests: make(map[request.ID]*entryRequest), incoming: make(map[admission.Attempt]*incomingAttempt),
		state: core.New(core.Options{
			Self: instance.Member{
				ID: d.id, Incarnation: instance.Incarnation(fleet.clock.now.UnixNano()), Service: d.server.service.Name,
				Place: d.place, Peer: d.peer, Started: fleet.clock.now,
			},
			QueuePerSlot: queuePerSlot, Announced: true, ProbeInterval: probeInterval,
			Repeats: routing.Repeats{
				Share: fleet.pattern.RepeatShare, Slack: fleet.pattern.RepeatSlack, Window: fleet.pattern.RepeatWindow,
			},
			Seed: fleet.random.Uint64(),
		}),
	}
	d.process = p
	p.apply(core.Started{})
	fleet.store.readManifest(p)
}

// kill ends the process and breaks its connections.
func (d *daemon) kill() {
	p := d.process
	if p == nil {
		return
	}

	d.process, p.ended = nil, true
	d.fleet.clock.cancel(p.timer)
	p.failRequests()
	p.failIncoming()
}

// deliverAnnouncement delivers an announcement of the server to the daemon.
func (d *daemon) deliverAnnouncement(a backend.Announcement) {
	if d.process == nil {
		return
	}

	p := d.process
	d.fleet.clock.scheduleAfter(sameInstanceDelay, func() {
		p.dispatch(func() {
			p.apply(health.Announced{Announcement: a})

			if a.Draining {
				d.fleet.guarantees.recordDrain(d.server, a.ID)
			}
		})
	})
}

// dispatch runs the handler of a message or timer. A frozen process runs it once it is thawed; a process that has ended
// drops it.
func (p *process) dispatch(handler func()) {
	switch {
	case p.ended:
	case p.freezeFaults > 0:
		p.inbox = append(p.inbox, handler)
	default:
		handler()
	}
}

func (p *process) freeze() { p.freezeFaults++ }

func (p *process) thaw() {
	if p.freezeFaults--; p.freezeFaults > 0 || p.ended {
		return
	}

	p.apply(core.Resumed{})

	inbox := p.inbox
	p.inbox = nil

	for _, handler := range inbox {
		p.dispatch(handler)
	}
}

// apply passes an event to the reducer and performs the resulting effects.
func (p *process) apply(e core.Event) {
	p.pendingEvents = append(p.pendingEvents, e)
	if p.applying || p.ended {
		return
	}

	p.applying = true

	for len(p.pendingEvents) > 0 {
		next := p.pendingEvents[0]
		p.pendingEvents = p.pendingEvents[1:]

		for _, effect := range p.state.Apply(p.daemon.fleet.clock.now, next) {
			p.perform(effect)
		}
	}

	p.applying = false
	p.setTimer()
}

// setTimer schedules the next tick at the time that the reducer asks for.
func (p *process) setTimer() {
	clock := &p.daemon.fleet.clock
	clock.cancel(p.timer)
	p.timer = nil

	if next := p.state.Next(); !next.IsZero() && !p.ended {
		p.timer = clock.schedule(next, func() { p.dispatch(func() { p.apply(core.Tick{}) }) })
	}
}

func (p *process) perform(effect core.Effect) {
	switch e := effect.(type) {
	case routing.Effect:
		p.performRouting(e)
	case admission.Effect:
		p.performAdmission(e)
	case membership.ReadEntries:
		p.daemon.fleet.store.readEntries(p)
	case membership.WriteEntry:
		p.daemon.fleet.store.writeEntry(p, e.Entry)
	case membership.SendBeat:
		p.sendBeat(e)
	case health.Probe:
		p.probe()
	case core.Refuse:
		p.refuse(e)
	case core.ManifestChanged:
		p.daemon.fleet.guarantees.checkVersion(p, e.Version)
		p.version = e.Version
	case core.RereadManifest, core.CheckStore, core.StoreReturned:
		p.daemon.fleet.store.readManifest(p)
	}
}

func (p *process) sendBeat(e membership.SendBeat) {
	fleet := p.daemon.fleet
	data := membership.EncodeBeat(e.Beat)
	fleet.result.beats++
	fleet.result.beatBytes += len(data) + datagramHeaderBytes

	to := fleet.byPeer[e.To]
	if to == nil {
		return
	}

	fleet.network.sendDatagram(p.daemon, to, func() {
		// The receiver decodes the beat, as a real daemon does.
		beat, err := membership.DecodeBeat(data)
		if peer := to.process; peer != nil && err == nil {
			peer.dispatch(func() { peer.apply(membership.BeatHeard{Beat: beat, Source: p.daemon.peer}) })
		}
	})
}

// probe sends a health probe to the server, whose answer also reports its load.
func (p *process) probe() {
	server := p.daemon.server
	p.daemon.fleet.result.probes++

	if !server.up {
		p.daemon.fleet.clock.scheduleAfter(sameInstanceDelay, func() {
			p.dispatch(func() {
				p.apply(health.Refused{})
				p.apply(health.Probed{})
			})
		})

		return
	}

	p.daemon.fleet.clock.scheduleAfter(probeResponseTime, func() {
		probed := health.Probed{
			Answered: true, Healthy: !server.draining, Draining: server.draining, ID: server.id, Load: server.load(),
			Loaded: true, ColdStated: true, ColdFor: max(0, server.coldUntil.Sub(p.daemon.fleet.clock.now)),
		}
		if !server.up {
			probed = health.Probed{}
		}

		p.dispatch(func() { p.apply(probed) })
	})
}
