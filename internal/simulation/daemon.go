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
	// restartTime is how long a process takes to start again.
	restartTime = 300 * time.Millisecond
	// probeTime is how long a server takes to answer a probe, probeTimeout when a probe without an answer ends.
	probeResponseTime = 2 * time.Millisecond
	probeTimeout      = 400 * time.Millisecond
	// probeInterval and queuePerSlot are the settings of the daemons.
	probeInterval = 100 * time.Millisecond
	queuePerSlot  = 2
	// datagramHead is the bytes that the network adds to a datagram.
	datagramHeaderBytes = 28
)

// daemon is the place of a daemon: an instance with its server.
type daemon struct {
	fleet  *Fleet
	id     instance.ID
	place  instance.Place
	peer   netip.AddrPort
	server *server
	starts int
	// run is nil while there is no process.
	process *process
	// leaving is set after a SIGTERM, gone once the instance was removed.
	draining, removed bool
}

// run is one process of a daemon with the real reducer.
type process struct {
	daemon   *daemon
	state    *core.State
	requests map[request.ID]*entryRequest
	incoming map[admission.Attempt]*incomingAttempt
	// pending are events that wait for the present one.
	pendingEvents []core.Event
	applying      bool
	timer         *event
	ended         bool
	// frozen counts the faults that let it stand still; inbox holds what arrives meanwhile.
	freezeFaults int
	inbox        []func()
	version      uint64
}

func (d *daemon) start() {
	if d.process != nil || d.removed {
		return
	}

	d.starts++
	fleet := d.fleet
	r := &process{
		daemon: d, requests: make(map[request.ID]*entryRequest), incoming: make(map[admission.Attempt]*incomingAttempt),
		state: core.New(core.Options{
			Self: instance.Member{
				ID: d.id, Incarnation: instance.Incarnation(fleet.clock.now.UnixNano()), Service: d.server.service.Name,
				Place: d.place, Peer: d.peer, Started: fleet.clock.now,
			},
			QueuePerSlot: queuePerSlot, Announced: true, ProbeInterval: probeInterval,
			Repeats: routing.Repeats{Share: fleet.pattern.RepeatShare, Slack: fleet.pattern.RepeatSlack, Window: fleet.pattern.RepeatWindow},
			Seed:    fleet.random.Uint64(),
		}),
	}
	d.process = r
	r.apply(core.Started{})
	fleet.store.readManifest(r)
}

// kill ends the process. Connections to it break.
func (d *daemon) kill() {
	r := d.process
	if r == nil {
		return
	}

	d.process, r.ended = nil, true
	d.fleet.clock.cancel(r.timer)
	r.failRequests()
	r.failIncoming()
}

// announced brings what the server says to the daemon.
func (d *daemon) deliverAnnouncement(a backend.Announcement) {
	if d.process == nil {
		return
	}

	r := d.process
	d.fleet.clock.scheduleAfter(sameInstanceDelay, func() {
		r.dispatch(func() {
			r.apply(health.Announced{Announcement: a})

			if a.Draining {
				d.fleet.guarantees.recordDrain(d.server, a.ID)
			}
		})
	})
}

// receive performs what a message or a timer asks of a process, later if it stands still.
func (r *process) dispatch(do func()) {
	switch {
	case r.ended:
	case r.freezeFaults > 0:
		r.inbox = append(r.inbox, do)
	default:
		do()
	}
}

func (r *process) freeze() { r.freezeFaults++ }

func (r *process) thaw() {
	if r.freezeFaults--; r.freezeFaults > 0 || r.ended {
		return
	}

	r.apply(core.Resumed{})

	inbox := r.inbox
	r.inbox = nil

	for _, do := range inbox {
		r.dispatch(do)
	}
}

// apply feeds an event to the reducer and performs its effects.
func (r *process) apply(e core.Event) {
	r.pendingEvents = append(r.pendingEvents, e)
	if r.applying || r.ended {
		return
	}

	r.applying = true

	for len(r.pendingEvents) > 0 {
		next := r.pendingEvents[0]
		r.pendingEvents = r.pendingEvents[1:]

		for _, effect := range r.state.Apply(r.daemon.fleet.clock.now, next) {
			r.perform(effect)
		}
	}

	r.applying = false
	r.setTimer()
}

// arm sets the timer to when the reducer wants to know the time.
func (r *process) setTimer() {
	clock := &r.daemon.fleet.clock
	clock.cancel(r.timer)
	r.timer = nil

	if next := r.state.Next(); !next.IsZero() && !r.ended {
		r.timer = clock.schedule(next, func() { r.dispatch(func() { r.apply(core.Tick{}) }) })
	}
}

func (r *process) perform(effect core.Effect) {
	switch e := effect.(type) {
	case routing.Effect:
		r.performRouting(e)
	case admission.Effect:
		r.performAdmission(e)
	case membership.ReadEntries:
		r.daemon.fleet.store.readEntries(r)
	case membership.WriteEntry:
		r.daemon.fleet.store.writeEntry(r, e.Entry)
	case membership.SendBeat:
		r.sendBeat(e)
	case health.Probe:
		r.probe()
	case core.Refuse:
		r.refuse(e)
	case core.ManifestChanged:
		r.daemon.fleet.guarantees.checkVersion(r, e.Version)
		r.version = e.Version
	case core.RereadManifest:
		r.daemon.fleet.store.readManifest(r)
	}
}

func (r *process) sendBeat(e membership.SendBeat) {
	fleet := r.daemon.fleet
	data := membership.EncodeBeat(e.Beat)
	fleet.result.beats++
	fleet.result.beatBytes += len(data) + datagramHeaderBytes

	to := fleet.byPeer[e.To]
	if to == nil {
		return
	}

	fleet.network.sendDatagram(r.daemon, to, func() {
		// Decoding is part of what a daemon does.
		beat, err := membership.DecodeBeat(data)
		if peer := to.process; peer != nil && err == nil {
			peer.dispatch(func() { peer.apply(membership.BeatHeard{Beat: beat, Source: r.daemon.peer}) })
		}
	})
}

// probe asks the server for its load.
func (r *process) probe() {
	server := r.daemon.server
	r.daemon.fleet.result.probes++

	if !server.up {
		r.daemon.fleet.clock.scheduleAfter(sameInstanceDelay, func() {
			r.dispatch(func() {
				r.apply(health.Refused{})
				r.apply(health.Probed{})
			})
		})

		return
	}

	r.daemon.fleet.clock.scheduleAfter(probeResponseTime, func() {
		probed := health.Probed{
			Answered: true, Healthy: !server.leaving, Draining: server.leaving, ID: server.id, Load: server.load(), Loaded: true,
		}
		if !server.up {
			probed = health.Probed{}
		}

		r.dispatch(func() { r.apply(probed) })
	})
}
