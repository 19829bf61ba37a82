package capacity

import (
	"net/netip"

	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

func flowExperiments() []experiment {
	sizes := []int{10_000, 20_000, 50_000, 100_000, 200_000}
	return []experiment{
		{FlowMemory, Bytes, sizes, func(n int) float64 { return heapBytes(func() any { return flowTable(n) }) }},
		{FlowTouch, Nanoseconds, sizes, flowTouch},
		{CacheMemory, Bytes, sizes, func(n int) float64 { return heapBytes(func() any { return flowCache(n) }) }},
		{GenerationSwitch, Nanoseconds, sizes, generationSwitch},
	}
}

func flowTable(n int) *flow.Table {
	t := flow.NewTable(flow.Config{}, epoch)
	service := flow.PackAddrPort(netip.MustParseAddrPort("192.0.2.1:443"))
	for i := range n {
		t.Insert(epoch, flowHash(i), flow.Entry{
			Caller:  flow.PackAddrPort(netip.AddrPortFrom(address(i), 40000)),
			Service: service,
			Target:  model.TargetID(i%targetsPerService + 1),
			State:   flow.StateOpen,
		})
	}
	return t
}

func flowTouch(n int) float64 {
	t := flowTable(n)
	return nanoseconds(func(i int) { t.Touch(epoch, flowHash(i%n), flow.StateOpen) })
}

func flowCache(n int) *flow.Cache {
	c := flow.NewCache(flow.CacheConfig{MaxFlows: 4 * n}, epoch)
	for i := range n {
		c.AllowsDirect(epoch, flowHash(i), flow.Position{Owner: 1}, 1)
	}
	return c
}

// generationSwitch measures the cost of a list change for an owner, which computes the default target of
// every flow again.
func generationSwitch(n int) float64 {
	t := flowTable(n)
	st := serviceTable(targetsPerService)
	return nanoseconds(func(int) {
		t.Each(func(h model.FlowHash, _ flow.Entry) { st.Default(h) })
	})
}

func logExperiments() []experiment {
	records := []int{1, 10, 30, 100}
	live := []int{1000, 3000, 10_000, 30_000}
	return []experiment{
		{LogBytes, Bytes, records, func(n int) float64 { return float64(len(logDatagramBody(n))) }},
		{LogMemory, Bytes, live, func(n int) float64 { return heapBytes(func() any { return exceptionLog(n) }) }},
		{ReplicaMemory, Bytes, live, func(n int) float64 { return heapBytes(func() any { return logReplica(n) }) }},
		{ReplicaApply, Nanoseconds, records, replicaApply},
	}
}

// batch returns a log batch of n records, which alternately add and remove an exception (a flow whose
// target is not its default target). The exceptions have different targets.
func batch(first, n int) wire.LogBatch {
	b := wire.LogBatch{
		OwnerIncarnation: wire.NewIncarnation(epoch), FirstSeq: uint64(first), NextSeq: uint64(first + n),
		Generation: model.Generation{Plans: 1000, Machines: 100_000}, EchoedMark: 1 << 20, Complete: true,
	}
	for i := range n {
		r := wire.Record{Hash: flowHash(first + i), Target: model.TargetIDOf(string(rune('a' + i)))}
		if i%2 == 1 {
			r = wire.Record{Hash: flowHash(first + i - 1), Remove: true}
		}
		b.Records = append(b.Records, r)
	}
	return b
}

// logDatagramBody returns the body of a datagram with one log batch of n records and one acknowledgement.
func logDatagramBody(n int) []byte {
	b := batch(1<<20, n)
	ack := wire.LogAck{OwnerIncarnation: wire.NewIncarnation(epoch), Seq: 1 << 20, Mark: 1 << 20}
	body := wire.AppendBundled(nil, wire.KindLogBatch, b.AppendTo(nil))
	return wire.AppendBundled(body, wire.KindLogAck, ack.AppendTo(nil))
}

func exceptionLog(n int) *flow.Log {
	l := flow.NewLog(flow.LogConfig{}, model.Generation{})
	for i := range n {
		l.Add(flowHash(i), model.TargetID(i%targetsPerService+1))
	}
	return l
}

func logReplica(n int) *flow.Replicas {
	replicas := flow.NewReplicas(flow.Config{}.Defaults().IdleTimeout)
	s := flow.Snapshot{Owner: 1, Incarnation: 1, NextSeq: uint64(n)}
	for i := range n {
		s.Exceptions = append(s.Exceptions, wire.Record{Hash: flowHash(i), Target: model.TargetID(i%targetsPerService + 1)})
	}
	replicas.Restore(epoch, s, true)
	return replicas
}

func replicaApply(n int) float64 {
	replicas := flow.NewReplicas(flow.Config{}.Defaults().IdleTimeout)
	replicas.Restore(epoch, flow.Snapshot{Owner: 1, Incarnation: 1, NextSeq: 1}, true)
	replica := replicas.Live(1)
	next := 1
	return nanoseconds(func(int) {
		b := batch(next, n)
		b.OwnerIncarnation = 1
		replica.Apply(epoch, b)
		next += n
	})
}
