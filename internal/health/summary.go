package health

import (
	"encoding/binary"
	"time"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/model"
)

// Summary is what a daemon reports to others about one target.
type Summary struct {
	Target model.TargetID
	// Probed is true if the sender probes the target; ProbeDown is then the result of its probes.
	Probed, ProbeDown bool
	// Misses is the number of the sender's latest connection attempts in a row without a response, at
	// most 255.
	Misses uint8
	// Reported is true if the fields below it hold a load report.
	Reported          bool
	Shedding, Warming bool
	Connections       uint32
	BusySlots         uint8
	// Age is the time since the report was read, in multiples of SummaryAgeStep, at most maxSummaryAge.
	Age time.Duration
}

// SummaryAgeStep is the resolution of Summary.Age.
const SummaryAgeStep = 50 * time.Millisecond

// maxSummaryAge is the largest Summary.Age that can be encoded.
const maxSummaryAge = 255 * SummaryAgeStep

// maxSummaryBytes is the length of the longest encoded Summary.
const maxSummaryBytes = 4 + 1 + 1 + binary.MaxVarintLen32 + 2

const (
	bitProbed = 1 << iota
	bitProbeDown
	bitMissed
	bitReported
	bitShedding
	bitWarming
)

func (s Summary) flags() byte {
	return flag(s.Probed, bitProbed) |
		flag(s.ProbeDown, bitProbeDown) |
		flag(s.Misses > 0, bitMissed) |
		flag(s.Reported, bitReported) |
		flag(s.Shedding, bitShedding) |
		flag(s.Warming, bitWarming)
}

func flag(set bool, bit byte) byte {
	if set {
		return bit
	}
	return 0
}

// AppendTo appends the encoded summary to dst: 5 bytes, one more if there are misses, and 3 to 7 more if
// there is a report.
func (s Summary) AppendTo(dst []byte) []byte {
	dst = binary.BigEndian.AppendUint32(dst, uint32(s.Target))
	dst = append(dst, s.flags())
	if s.Misses > 0 {
		dst = append(dst, s.Misses)
	}
	if !s.Reported {
		return dst
	}
	dst = binary.AppendUvarint(dst, uint64(s.Connections))
	age := min(max(s.Age, 0), maxSummaryAge)
	return append(dst, s.BusySlots, byte(age/SummaryAgeStep))
}

// DecodeSummaries appends the summaries of a heartbeat section to dst and returns it. For a malformed
// section it returns errkind.PeerMalformed and the summaries before the malformed one.
func DecodeSummaries(dst []Summary, b []byte) ([]Summary, errkind.Kind) {
	for len(b) > 0 {
		s, n := decodeSummary(b)
		if n == 0 {
			return dst, errkind.PeerMalformed
		}
		dst = append(dst, s)
		b = b[n:]
	}
	return dst, errkind.None
}

// decodeSummary returns the first summary of b and its encoded length, which is 0 if it is malformed.
func decodeSummary(b []byte) (Summary, int) {
	if len(b) < 5 {
		return Summary{}, 0
	}
	f := b[4]
	s := Summary{
		Target:    model.TargetID(binary.BigEndian.Uint32(b)),
		Probed:    f&bitProbed != 0,
		ProbeDown: f&bitProbeDown != 0,
		Reported:  f&bitReported != 0,
		Shedding:  f&bitShedding != 0,
		Warming:   f&bitWarming != 0,
	}
	if s.Target == 0 || f >= bitWarming<<1 {
		return Summary{}, 0
	}
	at := 5
	if f&bitMissed != 0 {
		if len(b) == at || b[at] == 0 {
			return Summary{}, 0
		}
		s.Misses = b[at]
		at++
	}
	if !s.Reported {
		return s, at
	}
	connections, n := binary.Uvarint(b[at:])
	end := at + n + 2
	if n <= 0 || connections > 1<<32-1 || len(b) < end {
		return Summary{}, 0
	}
	s.Connections = uint32(connections)
	s.BusySlots = b[end-2]
	s.Age = time.Duration(b[end-1]) * SummaryAgeStep
	return s, end
}
