package keys

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// requiredReturnTransitions are the transitions that TestModelOfReturns has to reach.
var requiredReturnTransitions = []string{
	"log came back", "ledger restarted", "restart appended late", "restart not known", "grant carried over",
	"uncertain grant carried over", "admit by a held grant", "admit by a daemon that has not noticed",
	"claim after the barrier", "old answer read", "recovered by a base", "admit", "replay",
}

// TestModelOfReturns guards against a second run of a key and a false "not run" after the log has come back from an older
// copy, once and several times, beside the failures of TestModel: late appends, delayed answers of earlier epochs, daemons
// that notice late or never, and daemons that start afterwards. The clocks differ by less than the margin of a barrier,
// which is an assumption.
func TestModelOfReturns(t *testing.T) {
	seen := map[string]int{}

	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, seen, "a", "b", "c")
		sim.rounds(draw(t, 6))

		actions := sim.actions()
		actions["crash"] = func(t *rapid.T) {
			if draw(t, 4) == 0 {
				sim.restart(pick(t, sim.daemons...), pick(t, 0, 30*time.Millisecond, 4*time.Second, -4*time.Second))
			}
		}
		actions["come back"] = sim.comeBack
		actions["come back and settle"] = func(t *rapid.T) {
			sim.comeBack(t)
			sim.rounds(1 + draw(t, 8))
			sim.arrive(t)
		}
		actions["read an old answer"] = func(t *rapid.T) {
			if d := pick(t, sim.daemons...); d.state != nil {
				if e, ok := sim.readEarlierLog(d); ok {
					sim.applyOrDelay(t, "read", d, e)
					sim.reached["old answer read"]++
				}
			}
		}
		actions["notice elsewhere"] = func(t *rapid.T) { sim.apply(pick(t, sim.daemons...), EpochChanged{Epoch: sim.epoch}) }
		actions["wait for the barrier"] = func(t *rapid.T) {
			if draw(t, 6) == 0 {
				sim.now = sim.now.Add(policy.Grant)
				sim.rounds(15)
			}
		}

		t.Repeat(actions)

		for _, d := range sim.daemons {
			sim.finishTrace(d)
		}
	})

	requireTransitions(t, seen, requiredReturnTransitions)
}

// comeBack makes the log come back, mostly with the loss of few records.
func (sim *simulation) comeBack(t *rapid.T) {
	if draw(t, 3) > 0 {
		return
	}

	lost := min(len(sim.log), pick(t, 0, 1, 1, 2, 3, 5, len(sim.log)))
	sim.returnFromCopy(len(sim.log) - lost)
}

// returned returns a simulation whose log has come back without any record after orders with keys were answered.
func returned(t *testing.T) (*simulation, []*keyState) {
	t.Helper()

	sim := newSimulation(t, map[string]int{}, "a", "b", "c")
	sim.rounds(5)

	// An owner stores the responses of few keys.
	const partitions = 4

	answered := make([]*keyState, 0, partitions)

	for p := range partitions {
		k := sim.addKey(sim.now.UnixMilli(), p)
		sim.sendToOwner(k)
		answered = append(answered, k)
	}

	for _, d := range sim.daemons {
		for _, id := range slices.Clone(d.running) {
			sim.finish(d, id, verdict.Answered, 10)
		}
	}

	sim.returnFromCopy(0)

	return sim, answered
}

// sendToOwner sends a request with a key to the daemon that the first daemon considers its owner.
func (sim *simulation) sendToOwner(k *keyState) {
	id, _, ok := sim.daemons[0].state.Owner(service, k.key.UUID.String())
	if !ok {
		id = sim.daemons[0].id
	}

	d := sim.daemon(id)
	sim.apply(d, sim.newCall(d, k, 1))
}

// Guards against owners that refuse the keys of their grants after the log has lost these grants, and against a daemon
// that starts then and does not learn who the owners are.
func TestOwnersKeepTheirGrants(t *testing.T) {
	sim, answered := returned(t)
	added := &daemon{id: "d"}
	sim.daemons = append(sim.daemons, added)
	sim.members = append(sim.members, alive("d", 0))
	sim.restart(added, 0)
	sim.rounds(12)

	sim.daemons[0], sim.daemons[3] = sim.daemons[3], sim.daemons[0]
	replays := sim.reached["replay"]

	for _, k := range answered {
		sim.sendToOwner(k)
	}

	require.Equal(t, replays+len(answered), sim.reached["replay"])

	// New keys are accepted meanwhile and after the old grants have ended.
	for range 4 {
		admitted := sim.reached["admit"]

		for p := range 4 {
			sim.sendToOwner(sim.addKey(sim.now.UnixMilli(), p))
		}

		require.Equal(t, admitted+4, sim.reached["admit"])
		sim.rounds(30)
	}
}

// Guards against keys that nobody can admit for longer than the barrier after all owners were lost together with their
// grants.
func TestLostOwnersEndAtBarrier(t *testing.T) {
	sim, answered := returned(t)

	for _, d := range sim.daemons {
		sim.restart(d, 0)
	}

	barrier := policy.Grant + policy.Grant/extensionsPerGrant + 2*policy.Tolerance
	end := sim.now.Add(barrier)

	for sim.now.Before(end) {
		sim.rounds(1)

		for _, k := range answered {
			sim.sendToOwner(k)
		}

		require.Equal(t, len(answered), sim.reached["admit"], "second run")
	}

	sim.rounds(15)

	for p := range Partitions {
		sim.sendToOwner(sim.addKey(sim.now.UnixMilli(), p))
	}

	require.Equal(t, len(answered)+Partitions, sim.reached["admit"])
}

// Guards against a restart that takes effect after others have made grants, because it was appended late.
func TestLateRestart(t *testing.T) {
	l := newLedger(service, daemonRun{"a", 1})
	l.changeEpoch(2)

	restart := func(through uint64) Record {
		return Record{Restart: &Restart{Epoch: 2, Through: through, Barrier: 100}}
	}
	claim := Record{Ledger: LedgerID{2, 0}, Claims: []Claim{{
		Service: service, Partitions: []int{0}, Owner: "b", Incarnation: 1, From: 100, Until: 200,
	}}}

	l.addRecords(0, []Entry{{0, restart(0)}, {1, claim}, {2, restart(0)}, {3, restart(1)}}, 4)
	require.Equal(t, LedgerID{2, 0}, l.id)
	require.Len(t, l.partition(service, 0), 1)

	l.addRecords(0, []Entry{{4, restart(4)}}, 5)
	require.Equal(t, LedgerID{2, 4}, l.id)
	require.Empty(t, l.partition(service, 0))
}

// Guards against a claim of an earlier epoch that is appended after the log has come back and then counts.
func TestLateClaimOfEarlierEpoch(t *testing.T) {
	sim := newSimulation(t, map[string]int{}, "a")
	sim.apply(sim.daemons[0], RecordsRead{Epoch: 1})

	for sim.reached["claim accepted"] == 0 && len(sim.network) == 0 {
		sim.now = sim.now.Add(time.Second)
		sim.apply(sim.daemons[0], Tick{})
	}

	sim.returnFromCopy(0)
	sim.rounds(3)

	k := sim.addKey(sim.now.UnixMilli(), 0)
	sim.sendToOwner(k)
	require.Zero(t, sim.reached["admit"])
}

// Guards against a record that takes effect in another ledger than the one for which it was decided: in a later epoch, and
// after another restart in the same epoch.
func TestRecordOfAnotherLedger(t *testing.T) {
	grant := Claim{Service: service, Partitions: []int{0}, Owner: "b", Incarnation: 1, From: 10, Until: 20}
	later := Claim{Service: service, Partitions: []int{1}, Owner: "b", Incarnation: 1, From: 100, Until: 200}
	l := newLedger(service, daemonRun{"a", 1})
	l.changeEpoch(3)

	l.addRecords(0, []Entry{{0, Record{Restart: &Restart{Epoch: 3, Through: 0, Barrier: 100}}}}, 1)

	for _, id := range []LedgerID{{}, {Epoch: 2, Start: 0}, {Epoch: 3, Start: 7}, {Epoch: 4, Start: 0}} {
		record := Record{Ledger: id, Carried: []Claim{grant}, Claims: []Claim{later}}
		l.addRecords(0, []Entry{{l.through, record}}, l.through+1)
	}

	require.Empty(t, l.services)

	l.addRecords(0, []Entry{{l.through, Record{Ledger: l.id, Carried: []Claim{grant}, Claims: []Claim{later}}}}, l.through+1)
	require.Len(t, l.partition(service, 0), 1)
	require.Len(t, l.partition(service, 1), 1)
}

// Guards against a base of an earlier epoch that is adopted because its end is an offset that the log has again.
func TestBaseOfEarlierEpoch(t *testing.T) {
	s := New(WithSelf("a", 1, service))
	s.Apply(start, EpochChanged{Epoch: 2})

	claims := []Claim{{Service: service, Partitions: []int{0}, Owner: "b", Incarnation: 1, From: 10, Until: 20}}
	s.Apply(start, BaseOffered{Base{Through: 5, Grants: claims}})
	s.Apply(start, BaseOffered{Base{Through: 6, Ledger: LedgerID{Epoch: 1, Start: 2}, Grants: claims}})
	require.Empty(t, s.ledger.services)

	s.Apply(start, BaseOffered{Base{Through: 7, Ledger: LedgerID{Epoch: 2, Start: 2}, Barrier: 9, Grants: claims}})
	require.Len(t, s.ledger.partition(service, 0), 1)
	require.EqualValues(t, 9, s.ledger.barrier)
}

// Guards against a grant that is carried over as the last one of its partition, and extended or followed by others,
// although the log may have lost one that follows it: it was not the last one, a claim may have followed it already, or its
// owner was leaving.
func TestUncertainGrants(t *testing.T) {
	owner := func(claims ...Claim) *State {
		s := New(WithSelf("a", 1, service))
		s.Apply(start, EpochChanged{Epoch: 1})
		s.Apply(start, PolicyChanged{Keys: policy})
		s.Apply(start, RecordsRead{Epoch: 1, Records: []Entry{{0, Record{Claims: claims}}}, Next: 1})

		return s
	}
	claim := func(owner instance.ID, from, until time.Duration) Claim {
		return Claim{
			Service: service, Partitions: []int{0}, Owner: owner, Incarnation: 1,
			From: start.Add(from).UnixMilli(), Until: start.Add(until).UnixMilli(),
		}
	}
	carried := func(s *State, after time.Duration) Claim {
		s.Apply(start.Add(after), EpochChanged{Epoch: 2})
		s.Apply(start.Add(after), RecordsRead{
			Epoch: 2, Records: []Entry{{0, Record{Restart: &Restart{Epoch: 2, Barrier: 1}}}}, Next: 1,
		})

		claims := s.missingGrants()
		require.Len(t, claims, 1)

		return claims[0]
	}

	own := claim("a", 0, time.Minute)
	certain := carried(owner(own), 0)
	require.False(t, certain.Uncertain)
	require.Equal(t, own.Until, certain.Until)

	require.True(t, carried(owner(own, claim("b", time.Minute, 2*time.Minute)), 0).Uncertain, "not the last one")
	require.True(t, carried(owner(own), 50*time.Second).Uncertain, "a claim may have followed")

	leaving := owner(own)
	leaving.Apply(start.Add(time.Second), DrainStarted{})
	left := carried(leaving, time.Second)
	require.True(t, left.Uncertain, "leaving")
	require.Equal(t, start.Add(time.Second).UnixMilli()+1, left.Until)
}

// Guards against records of an earlier epoch that are applied because they were read late.
func TestLateRecordsOfEarlierEpoch(t *testing.T) {
	s := New(WithSelf("a", 1, service))
	s.Apply(start, EpochChanged{Epoch: 2})
	s.Apply(start, RecordsRead{Epoch: 1, Records: []Entry{{0, Record{}}}, Next: 5})
	require.Zero(t, s.NextOffset())
	require.Zero(t, s.ledger.next)
}

// Guards against refusals of more keys, or for longer, than those of the owners that were lost together with their grants:
// one of three owners ends when the log comes back without any grant.
func TestShareOfRefusedKeys(t *testing.T) {
	sim, _ := returned(t)
	lost := sim.daemons[2]
	ledger := sim.daemons[0].state.ledger
	owned := 0

	for p := range Partitions {
		if last, ok := ledger.partition(service, p).last(); ok && last.Owner == lost.id {
			owned++
		}
	}

	require.Positive(t, owned)
	sim.restart(lost, 0)
	sim.rounds(3)

	barrier := policy.Grant + policy.Grant/extensionsPerGrant + 2*policy.Tolerance
	end := sim.now.Add(barrier + 20*time.Second)
	refusedSeconds := make(map[int]int)

	for sim.now.Before(end) {
		sim.rounds(1)

		for p := range Partitions {
			admitted := sim.reached["admit"]
			sim.sendToOwner(sim.addKey(sim.now.UnixMilli(), p))

			for _, d := range sim.daemons {
				for _, id := range slices.Clone(d.running) {
					sim.finish(d, id, verdict.NotRun, 0)
				}
			}

			if sim.reached["admit"] == admitted && !sim.tableFull() {
				refusedSeconds[p]++
			}
		}
	}

	require.Len(t, refusedSeconds, owned)

	for p, seconds := range refusedSeconds {
		t.Logf("keys of partition %d are refused for %d s", p, seconds)
		require.LessOrEqual(t, time.Duration(seconds)*time.Second, barrier+15*time.Second)
	}
}

// tableFull reports whether the last refusal was for a full table, which is small in the model.
func (sim *simulation) tableFull() bool {
	last := sim.output[len(sim.output)-1]

	return strings.Contains(last, string(TableFull))
}
