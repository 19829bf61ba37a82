package capacity

import (
	"math/rand/v2"
	"time"

	"github.com/fireflypin/fireflypin/internal/membership"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

func membershipExperiments() []experiment {
	members := []int{8, 25, 50, 75, 100}
	datagrams := []int{100, 200, 400, 800}
	return []experiment{
		{HeartbeatFanout, Messages, members, heartbeatFanout},
		{HeartbeatBytes, Bytes, []int{0, 4, 8, 16}, heartbeatBytes},
		{HeartbeatHandle, Nanoseconds, members, heartbeatHandle},
		{MembershipTick, Nanoseconds, members, membershipTick},
		{MembershipMemory, Bytes, members, func(n int) float64 { return heapBytes(func() any { return newFirstMember(n) }) }},
		{OwnerChoice, Nanoseconds, members, ownerChoice},
		{Seal, Nanoseconds, datagrams, seal},
		{Open, Nanoseconds, datagrams, open},
	}
}

// firstMember is the membership state of the first member of a fleet with the given number of members in each of
// eight zones. All members are reachable and ready.
type firstMember struct {
	list    *membership.List
	entries []*model.EntryVM
	now     time.Time
}

func newFirstMember(members int) *firstMember {
	m := &firstMember{now: epoch}
	for i := range members * regions * zonesPerRegion {
		name := "entry-" + address(i).String()
		m.entries = append(m.entries, &model.EntryVM{
			ID:   model.MachineIDOf(name),
			Name: name,
			Zone: model.Zone{Region: regionName(i / zonesPerRegion), Name: zoneName(i)},
		})
	}
	m.list = membership.New(membership.Config{
		Self: m.entries[0].ID, Zone: m.entries[0].Zone, Incarnation: 1, Rand: rand.New(rand.NewPCG(1, 2)),
	})
	m.list.SetPublished(m.now, m.entries)
	m.receiveHeartbeats()
	m.list.SetReady(m.now, true)
	return m
}

// receiveHeartbeats handles a heartbeat from every other member.
func (m *firstMember) receiveHeartbeats() {
	for _, e := range m.entries[1:] {
		m.list.HandleHeartbeat(m.now, m.heartbeat(e))
	}
}

func (m *firstMember) heartbeat(from *model.EntryVM) membership.Heartbeat {
	return membership.Heartbeat{
		From: from.ID, Incarnation: 1, Message: &wire.Heartbeat{Ready: true, Epoch: 1},
	}
}

// heartbeatFanout returns the number of periodic heartbeats per second that a daemon sends while the
// membership does not change.
func heartbeatFanout(members int) float64 {
	m := newFirstMember(members)
	const seconds = 5
	m.runIdle(1)
	return float64(m.runIdle(seconds)) / seconds
}

// runIdle advances the time while heartbeats arrive from every member, and returns the number of periodic
// heartbeats sent.
func (m *firstMember) runIdle(seconds int) int {
	const ticks = 10
	sent := 0
	for range seconds * ticks {
		m.now = m.now.Add(time.Second / ticks)
		m.receiveHeartbeats()
		for _, a := range m.list.Tick(m.now) {
			if hb, ok := a.(membership.SendHeartbeat); ok && hb.Periodic {
				sent += len(hb.To)
			}
		}
	}
	return sent
}

func heartbeatBytes(gossipUpdates int) float64 {
	hb := wire.Heartbeat{
		Ready: true, Epoch: 3, ViewDigest: 1,
		Revisions: model.Revisions{Customers: 100_000, Plans: 100_000, Machines: 1_000_000},
	}
	for i := range gossipUpdates {
		hb.GossipUpdates = append(hb.GossipUpdates, wire.GossipUpdate{
			Machine: model.MachineID(i + 1), Incarnation: wire.NewIncarnation(epoch), Epoch: 3, State: wire.GossipReady,
		})
	}
	return float64(len(hb.AppendTo(nil)))
}

func heartbeatHandle(members int) float64 {
	m := newFirstMember(members)
	neighbours := m.neighbours()
	return nanoseconds(func(i int) {
		m.list.HandleHeartbeat(m.now, m.heartbeat(neighbours[i%len(neighbours)]))
	})
}

// neighbours returns the other members of the first member's zone.
func (m *firstMember) neighbours() []*model.EntryVM {
	var found []*model.EntryVM
	for _, e := range m.entries[1:] {
		if e.Zone == m.entries[0].Zone {
			found = append(found, e)
		}
	}
	return found
}

func membershipTick(members int) float64 {
	m := newFirstMember(members)
	return nanoseconds(func(int) { m.list.Tick(m.now) })
}

func ownerChoice(members int) float64 {
	m := newFirstMember(members)
	view := m.list.View()
	zones := []model.Zone{m.entries[0].Zone}
	return nanoseconds(func(i int) { view.Owner(flowHash(i), zones) })
}

func keyring() wire.KeyringProvider {
	ring, err := wire.NewKeyring(1, wire.Key{ID: 1, Secret: make([]byte, 32)})
	if err != nil {
		panic("capacity: generated key is invalid: " + err.Error())
	}
	return wire.NewKeyStore(ring)
}

func seal(size int) float64 {
	sealer := wire.NewSealer(keyring(), 1, 1, new(wire.Counter))
	body := make([]byte, size-wire.Overhead)
	var buf []byte
	return nanoseconds(func(int) { buf = sealer.AppendSealed(buf[:0], 2, wire.KindHeartbeat, body) })
}

func open(size int) float64 {
	keys := keyring()
	sealer := wire.NewSealer(keys, 1, wire.NewIncarnation(epoch), new(wire.Counter))
	datagram := sealer.AppendSealed(nil, 2, wire.KindHeartbeat, make([]byte, size-wire.Overhead))
	opener := wire.NewOpener(keys, 2, wire.NewReplayFilter(wire.ReplayFilterConfig{}))
	return nanoseconds(func(int) { _, _ = opener.Open(datagram) })
}
