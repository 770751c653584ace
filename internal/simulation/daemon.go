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
	probeTime    = 2 * time.Millisecond
	probeTimeout = 400 * time.Millisecond
	// probeInterval and queuePerSlot are the settings of the daemons.
	probeInterval = 100 * time.Millisecond
	queuePerSlot  = 2
	// datagramHead is the bytes that the network adds to a datagram.
	datagramHead = 28
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
	run *run
	// leaving is set after a SIGTERM, gone once the instance was removed.
	leaving, gone bool
}

// run is one process of a daemon with the real reducer.
type run struct {
	daemon  *daemon
	state   *core.State
	entries map[request.ID]*entry
	jobs    map[admission.Attempt]*job
	// pending are events that wait for the present one.
	pending  []core.Event
	applying bool
	timer    *event
	ended    bool
	// frozen counts the faults that let it stand still; inbox holds what arrives meanwhile.
	frozen  int
	inbox   []func()
	version uint64
}

func (d *daemon) start() {
	if d.run != nil || d.gone {
		return
	}

	d.starts++
	fleet := d.fleet
	r := &run{
		daemon: d, entries: make(map[request.ID]*entry), jobs: make(map[admission.Attempt]*job),
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
	d.run = r
	r.apply(core.Started{})
	fleet.store.readManifest(r)
}

// kill ends the process. Connections to it break.
func (d *daemon) kill() {
	r := d.run
	if r == nil {
		return
	}

	d.run, r.ended = nil, true
	d.fleet.clock.stop(r.timer)
	r.breakEntries()
	r.breakJobs()
}

// announced brings what the server says to the daemon.
func (d *daemon) announced(a backend.Announcement) {
	if d.run == nil {
		return
	}

	r := d.run
	d.fleet.clock.after(instanceDelay, func() {
		r.receive(func() {
			r.apply(health.Announced{Announcement: a})

			if a.Draining {
				d.fleet.promises.drains(d.server, a.ID)
			}
		})
	})
}

// receive performs what a message or a timer asks of a process, later if it stands still.
func (r *run) receive(do func()) {
	switch {
	case r.ended:
	case r.frozen > 0:
		r.inbox = append(r.inbox, do)
	default:
		do()
	}
}

func (r *run) freeze() { r.frozen++ }

func (r *run) thaw() {
	if r.frozen--; r.frozen > 0 || r.ended {
		return
	}

	r.apply(core.Resumed{})

	inbox := r.inbox
	r.inbox = nil

	for _, do := range inbox {
		r.receive(do)
	}
}

// apply feeds an event to the reducer and performs its effects.
func (r *run) apply(e core.Event) {
	r.pending = append(r.pending, e)
	if r.applying || r.ended {
		return
	}

	r.applying = true

	for len(r.pending) > 0 {
		next := r.pending[0]
		r.pending = r.pending[1:]

		for _, effect := range r.state.Apply(r.daemon.fleet.clock.now, next) {
			r.perform(effect)
		}
	}

	r.applying = false
	r.arm()
}

// arm sets the timer to when the reducer wants to know the time.
func (r *run) arm() {
	clock := &r.daemon.fleet.clock
	clock.stop(r.timer)
	r.timer = nil

	if next := r.state.Next(); !next.IsZero() && !r.ended {
		r.timer = clock.at(next, func() { r.receive(func() { r.apply(core.Tick{}) }) })
	}
}

func (r *run) perform(effect core.Effect) {
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
		r.daemon.fleet.promises.version(r, e.Version)
		r.version = e.Version
	case core.RereadManifest:
		r.daemon.fleet.store.readManifest(r)
	}
}

func (r *run) sendBeat(e membership.SendBeat) {
	fleet := r.daemon.fleet
	data := membership.EncodeBeat(e.Beat)
	fleet.result.beats++
	fleet.result.beatBytes += len(data) + datagramHead

	to := fleet.byPeer[e.To]
	if to == nil {
		return
	}

	fleet.network.datagram(r.daemon, to, func() {
		// Decoding is part of what a daemon does.
		beat, err := membership.DecodeBeat(data)
		if peer := to.run; peer != nil && err == nil {
			peer.receive(func() { peer.apply(membership.BeatHeard{Beat: beat, Source: r.daemon.peer}) })
		}
	})
}

// probe asks the server for its load.
func (r *run) probe() {
	server := r.daemon.server
	r.daemon.fleet.result.probes++

	if !server.up {
		r.daemon.fleet.clock.after(instanceDelay, func() {
			r.receive(func() {
				r.apply(health.Refused{})
				r.apply(health.Probed{})
			})
		})

		return
	}

	r.daemon.fleet.clock.after(probeTime, func() {
		probed := health.Probed{
			Answered: true, Healthy: !server.leaving, Draining: server.leaving, ID: server.id, Load: server.load(), Loaded: true,
		}
		if !server.up {
			probed = health.Probed{}
		}

		r.receive(func() { r.apply(probed) })
	})
}
