package wire

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"hash"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/model"
)

// authenticator computes message authentication codes with one key. It is not safe for concurrent use.
type authenticator struct {
	keyID     uint8
	hash      hash.Hash
	receiver  [4]byte
	macBuffer [sha256.Size]byte
}

func newAuthenticator(k Key) *authenticator {
	return &authenticator{keyID: k.ID, hash: hmac.New(sha256.New, k.Secret)}
}

// mac returns the MAC of a header and body for the receiver to. The slice is valid until the next call.
func (a *authenticator) mac(to model.MachineID, headerAndBody []byte) []byte {
	a.hash.Reset()
	if to != AnyReceiver {
		binary.BigEndian.PutUint32(a.receiver[:], uint32(to))
		a.hash.Write(a.receiver[:])
	}
	a.hash.Write(headerAndBody)
	return a.hash.Sum(a.macBuffer[:0])[:MACBytes]
}

// Sealer builds authenticated datagrams. Each goroutine needs its own Sealer; all Sealers of a process share
// one Counter.
type Sealer struct {
	keys        KeyringProvider
	self        model.MachineID
	incarnation uint64
	counter     *Counter

	ring *Keyring
	auth *authenticator
}

// NewSealer returns a Sealer for datagrams sent by self.
func NewSealer(keys KeyringProvider, self model.MachineID, incarnation uint64, counter *Counter) *Sealer {
	return &Sealer{keys: keys, self: self, incarnation: incarnation, counter: counter}
}

// AppendSealed appends a datagram to dst. The receiver to may be AnyReceiver for the kinds that are sent to several daemons
// at once; Open rejects all other kinds unless they were sealed for their receiver. The body must not overlap the unused
// capacity of dst.
func (s *Sealer) AppendSealed(dst []byte, to model.MachineID, kind Kind, body []byte) []byte {
	s.updateKeyring()
	kindByte := byte(kind)
	if to != AnyReceiver {
		kindByte |= directedBit
	}
	start := len(dst)
	dst = appendHeader(dst, s.auth.keyID, kindByte, s.self, s.incarnation, s.counter.Next())
	dst = append(dst, body...)
	return append(dst, s.auth.mac(to, dst[start:])...)
}

func (s *Sealer) updateKeyring() {
	ring := s.keys.Keyring()
	if ring == s.ring {
		return
	}
	s.ring = ring
	s.auth = newAuthenticator(ring.keys[ring.active])
}

// Opener authenticates and decodes datagrams. Each goroutine needs its own Opener; all Openers of a process
// share one ReplayFilter.
type Opener struct {
	keys   KeyringProvider
	self   model.MachineID
	replay *ReplayFilter

	ring  *Keyring
	auths []*authenticator
}

// NewOpener returns an Opener for datagrams received by self.
func NewOpener(keys KeyringProvider, self model.MachineID, replay *ReplayFilter) *Opener {
	return &Opener{keys: keys, self: self, replay: replay}
}

// Open authenticates a datagram. It returns errkind.None, or
//   - PeerMalformed: not a datagram of this version, or a kind that must be sealed for one receiver
//     and was not;
//   - PeerForged: its MAC was not made with a valid key, it was sealed for another receiver, or it claims
//     this daemon as its sender;
//   - PeerReplayed: received before, older than the replay window, or of an older incarnation; the
//     returned envelope is complete and authentic;
//   - PeerUnknown: from a new sender while ReplayFilterConfig.MaxSenders replay windows are in use.
//
// The envelope's body is a subslice of the datagram.
func (o *Opener) Open(datagram []byte) (Envelope, errkind.Kind) {
	if len(datagram) < Overhead || datagram[0] != version {
		return Envelope{}, errkind.PeerMalformed
	}
	env := decodeHeader(datagram)
	to := AnyReceiver
	if datagram[kindOffset]&directedBit != 0 {
		to = o.self
	}
	if env.Kind == 0 || env.Kind >= kindEnd || (to == AnyReceiver && env.Kind.mustBeDirected()) {
		return Envelope{}, errkind.PeerMalformed
	}
	if env.Sender == o.self || !o.authentic(datagram, to) {
		return Envelope{}, errkind.PeerForged
	}
	return env, o.replay.Admit(env.Sender, env.Incarnation, env.Counter)
}

func (o *Opener) authentic(datagram []byte, to model.MachineID) bool {
	o.updateKeyring()
	signed := datagram[:len(datagram)-MACBytes]
	mac := datagram[len(datagram)-MACBytes:]
	for _, a := range o.auths {
		if a.keyID == datagram[keyIDOffset] {
			return subtle.ConstantTimeCompare(a.mac(to, signed), mac) == 1
		}
	}
	return false
}

func (o *Opener) updateKeyring() {
	ring := o.keys.Keyring()
	if ring == o.ring {
		return
	}
	o.ring = ring
	o.auths = o.auths[:0]
	for _, k := range ring.keys {
		o.auths = append(o.auths, newAuthenticator(k))
	}
}
