package logrelay

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/logservice"
)

// Limits of the tail that a daemon keeps per stream.
const (
	// defaultBytes holds about 15 publish records of 120 services, so that a neighbour that missed a
	// few changes gets them as records.
	defaultBytes   = 1 << 20
	defaultRecords = 4096
	// slack is by how much the tail may exceed its limits while the stream's reducer cannot give
	// its state.
	slack = 4
	// saveInterval limits how often the stream's reducer is asked for its state.
	saveInterval = time.Second
)

// stream is what is known of one stream. The tail is the records in [first, next).
type stream struct {
	name     string
	baseless bool
	// poll is the longest time between two reads by a relay; the shortest is half of it.
	poll time.Duration
	// maxBytes and maxRecords limit the tail.
	maxBytes   int
	maxRecords int

	// started is set once first and next are known.
	started     bool
	first, next uint64
	records     []logservice.Record
	size        int
	// base is the state of the stream's reducer before first; nil if unknown.
	base []byte
	// saved is a base at a later offset, to which the tail is cut when it is full.
	saved        []byte
	savedThrough uint64
	// saveDue is when a base may be asked for again; the reducer may have had none to give.
	saveDue time.Time
	// logFirst is the first offset that the log still has, as far as known.
	logFirst uint64

	// reset is when this daemon last began to look for the stream.
	reset time.Time
	// confirmed is the latest time at which the log held nothing after next, or at which a daemon
	// that is as far or further said so.
	confirmed time.Time
	// heard is when a daemon that is as far or further was heard.
	heard time.Time
	// behind is since when a record is known to exist that was not read; zero if none is.
	behind  time.Time
	target  uint64
	readDue time.Time
	reading bool
	// readStarted is when the read in progress started.
	readStarted time.Time
	failures    int

	// peers are the daemons that were heard, in order of ID.
	peers      []peer
	pulling    instance.ID
	pullEnds   time.Time
	missingDue time.Time
}

func (st *stream) through(now time.Time) Through {
	return Through{Stream: st.name, Offset: st.next, Age: max(0, now.Sub(st.confirmed))}
}

// expect notes that records before an offset exist.
func (st *stream) expect(now time.Time, offset uint64) {
	st.target = max(st.target, offset)
	if st.target > st.next && st.behind.IsZero() {
		st.behind = now
	}
}

// restart forgets the tail.
func (st *stream) restart(at uint64, base []byte) {
	st.started = true
	st.first, st.next = at, at
	st.records, st.size = nil, 0
	st.base, st.saved, st.saveDue = base, nil, time.Time{}
}

// ingest takes records from any source, delivers the new ones and announces them. A gap is accepted
// only from the log itself: what it no longer has cannot be had.
func (s *State) ingest(now time.Time, st *stream, p page, changed bool, effects []Effect) []Effect {
	if !st.started || p.start > st.next {
		if st.started {
			s.counts.Gaps++
		}

		effects = s.orphan(st, p.start, effects)
		st.restart(p.start, nil)

		changed = true
	}

	from := st.next

	for _, record := range p.records {
		if record.Offset != st.next {
			continue
		}

		st.records = append(st.records, record)
		st.size += len(record.Data)
		st.next++
	}

	fresh := st.records[len(st.records)-int(st.next-from):]
	if len(fresh) > 0 || changed {
		effects = append(effects, Deliver{
			Stream: st.name, First: st.logFirst, Records: fresh, Next: st.next,
		})
	}

	if st.next >= st.target {
		st.behind = time.Time{}
	}

	effects = s.resolve(st, fresh, effects)
	effects = s.trim(now, st, effects)

	if len(fresh) > 0 {
		effects = s.announce(now, st, effects)
	}

	return effects
}

// trim keeps the tail within its limits.
func (s *State) trim(now time.Time, st *stream, effects []Effect) []Effect {
	if st.baseless {
		st.shrink(1)

		return effects
	}

	if st.over(1) && st.saved != nil {
		st.cut(st.savedThrough)
		st.base, st.saved = st.saved, nil
	}

	st.shrink(slack)

	// The next base is asked for at half of the limits, so that half of the tail follows it. Without
	// a base, no daemon could start from this one.
	half := st.size > st.maxBytes/2 || len(st.records) > st.maxRecords/2
	if half || st.baseMissing() {
		return s.askBase(now, st, effects)
	}

	return effects
}

// askBase asks the stream's reducer for its state. It may have none yet, and is asked again then.
func (s *State) askBase(now time.Time, st *stream, effects []Effect) []Effect {
	if st.saved == nil && !now.Before(st.saveDue) {
		st.saveDue = now.Add(saveInterval)

		return append(effects, SaveBase{Stream: st.name})
	}

	return effects
}

func (st *stream) over(factor int) bool {
	return st.size > st.maxBytes*factor || len(st.records) > st.maxRecords*factor
}

func (st *stream) baseMissing() bool {
	return st.started && !st.baseless && st.base == nil && st.first > 0
}

// shrink drops the oldest records, and with them the base, until the limits hold.
func (st *stream) shrink(factor int) {
	drop, size := 0, st.size
	for drop < len(st.records)-1 && (size > st.maxBytes*factor || len(st.records)-drop > st.maxRecords*factor) {
		size -= len(st.records[drop].Data)
		drop++
	}

	if drop > 0 {
		st.cut(st.first + uint64(drop))
		st.base = nil
	}
}

// cut drops the records before an offset.
func (st *stream) cut(before uint64) {
	drop := min(int(before-st.first), len(st.records))
	for _, record := range st.records[:drop] {
		st.size -= len(record.Data)
	}

	// The rest is copied, because pages that were answered share the old array.
	st.records = append([]logservice.Record(nil), st.records[drop:]...)
	st.first = before
}

func (s *State) saveBase(e BaseSaved) []Effect {
	st := s.stream(e.Stream)
	if st == nil {
		return nil
	}

	if e.Data != nil && st.started && e.Through >= st.first && e.Through <= st.next {
		st.saved, st.savedThrough = e.Data, e.Through
	}

	if st.saved != nil && st.baseMissing() {
		st.cut(st.savedThrough)
		st.base, st.saved = st.saved, nil
	}

	return nil
}
