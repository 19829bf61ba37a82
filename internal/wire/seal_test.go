package wire

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/model"
)

const (
	alice model.MachineID = 11
	bob   model.MachineID = 12
	carol model.MachineID = 13
)

func testKey(id uint8) Key {
	return Key{ID: id, Secret: bytes.Repeat([]byte{id}, MinSecretBytes)}
}

func testRing(tb testing.TB, active uint8, keys ...Key) *Keyring {
	tb.Helper()
	ring, err := NewKeyring(active, keys...)
	if err != nil {
		tb.Fatal(err)
	}
	return ring
}

func testPair(tb testing.TB) (*Sealer, *Opener) {
	tb.Helper()
	keys := NewKeyStore(testRing(tb, 1, testKey(1)))
	return NewSealer(keys, alice, 100, new(Counter)), NewOpener(keys, bob, NewReplayFilter(ReplayFilterConfig{}))
}

func TestOpenReturnsWhatWasSealed(t *testing.T) {
	Convey("A datagram is accepted once by its receiver", t, func() {
		sealer, opener := testPair(t)
		d := sealer.AppendSealed([]byte("prefix"), bob, KindForward, []byte("packet"))[len("prefix"):]
		So(len(d), ShouldEqual, Overhead+len("packet"))
		env, kind := opener.Open(d)
		So(kind, ShouldEqual, errkind.None)
		So(env, ShouldResemble, Envelope{Kind: KindForward, Sender: alice, Incarnation: 100, Counter: 1, Body: []byte("packet")})

		_, kind = opener.Open(d)
		So(kind, ShouldEqual, errkind.PeerReplayed)
	})
}

func TestOpenRejectsModifiedDatagrams(t *testing.T) {
	Convey("A datagram with a flipped bit or another length is rejected", t, func() {
		sealer, opener := testPair(t)
		d := sealer.AppendSealed(nil, bob, KindLogAck, []byte("body"))
		for i := range d {
			for bit := range 8 {
				changed := bytes.Clone(d)
				changed[i] ^= 1 << bit
				_, kind := opener.Open(changed)
				So(kind, ShouldBeIn, errkind.PeerForged, errkind.PeerMalformed)
			}
		}
		for n := range d {
			_, kind := opener.Open(d[:n])
			So(kind, ShouldBeIn, errkind.PeerForged, errkind.PeerMalformed)
		}
		_, kind := opener.Open(append(bytes.Clone(d), 0))
		So(kind, ShouldEqual, errkind.PeerForged)
		_, kind = opener.Open(d)
		So(kind, ShouldEqual, errkind.None)
	})
}

func TestOpenChecksReceiver(t *testing.T) {
	Convey("Open accepts only datagrams sealed for the receiver or for any receiver", t, func() {
		cases := []struct {
			name   string
			to     model.MachineID
			kind   Kind
			opener model.MachineID
			want   errkind.Kind
		}{
			{"a forwarded packet at its receiver", bob, KindForward, bob, errkind.None},
			{"a forwarded packet at another receiver", bob, KindForward, carol, errkind.PeerForged},
			{"a forwarded packet for any receiver", AnyReceiver, KindForward, bob, errkind.PeerMalformed},
			{"a log batch for any receiver", AnyReceiver, KindLogBatch, bob, errkind.PeerMalformed},
			{"a bundle for any receiver", AnyReceiver, KindBundle, bob, errkind.PeerMalformed},
			{"a heartbeat for any receiver", AnyReceiver, KindHeartbeat, carol, errkind.None},
			{"a heartbeat for another receiver", bob, KindHeartbeat, carol, errkind.PeerForged},
			{"the receiver's own heartbeat, reflected", AnyReceiver, KindHeartbeat, alice, errkind.PeerForged},
			{"an unknown kind", bob, kindEnd, bob, errkind.PeerMalformed},
			{"kind zero", bob, 0, bob, errkind.PeerMalformed},
		}
		for _, c := range cases {
			Convey(c.name, func() {
				keys := NewKeyStore(testRing(t, 1, testKey(1)))
				d := NewSealer(keys, alice, 1, new(Counter)).AppendSealed(nil, c.to, c.kind, []byte("x"))
				_, kind := NewOpener(keys, c.opener, NewReplayFilter(ReplayFilterConfig{})).Open(d)
				So(kind, ShouldEqual, c.want)
			})
		}
	})
}

func TestKeyRotationWithoutInterruption(t *testing.T) {
	Convey("Machines that are rotated one by one accept each other's datagrams after every step", t, func() {
		steps := []*Keyring{
			testRing(t, 1, testKey(1)),
			testRing(t, 1, testKey(1), testKey(2)),
			testRing(t, 2, testKey(1), testKey(2)),
			testRing(t, 2, testKey(2)),
		}
		stores := []*KeyStore{NewKeyStore(steps[0]), NewKeyStore(steps[0])}
		sealers := []*Sealer{NewSealer(stores[0], alice, 1, new(Counter)), NewSealer(stores[1], bob, 1, new(Counter))}
		openers := []*Opener{
			NewOpener(stores[0], alice, NewReplayFilter(ReplayFilterConfig{})),
			NewOpener(stores[1], bob, NewReplayFilter(ReplayFilterConfig{})),
		}
		checkBothDirections := func() {
			_, kind := openers[1].Open(sealers[0].AppendSealed(nil, bob, KindForward, nil))
			So(kind, ShouldEqual, errkind.None)
			_, kind = openers[0].Open(sealers[1].AppendSealed(nil, alice, KindForward, nil))
			So(kind, ShouldEqual, errkind.None)
		}
		checkBothDirections()
		for _, ring := range steps[1:] {
			for _, store := range stores {
				store.Replace(ring)
				checkBothDirections()
			}
		}
	})

	Convey("Datagrams are rejected after a skipped rotation step", t, func() {
		oldKeys, newKeys := NewKeyStore(testRing(t, 1, testKey(1))), NewKeyStore(testRing(t, 2, testKey(1), testKey(2)))
		d := NewSealer(newKeys, alice, 1, new(Counter)).AppendSealed(nil, bob, KindForward, nil)
		_, kind := NewOpener(oldKeys, bob, NewReplayFilter(ReplayFilterConfig{})).Open(d)
		So(kind, ShouldEqual, errkind.PeerForged)
	})
}

func TestKeyFiles(t *testing.T) {
	secret := func(b byte, n int) string {
		return base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{b}, n))
	}
	Convey("A valid key file is accepted; the error for an invalid one lists all faults", t, func() {
		cases := []struct {
			name, file string
			want       []string
		}{
			{"one key", fmt.Sprintf("active: 7\nkeys: [{id: 7, secret: %s}]", secret(1, 32)), nil},
			{"two keys", fmt.Sprintf("active: 8\nkeys: [{id: 7, secret: %s}, {id: 8, secret: %s}]", secret(1, 32), secret(2, 40)), nil},
			{"no key", "active: 1\nkeys: []", []string{"0 keys", "active key 1"}},
			{"a short secret", fmt.Sprintf("active: 1\nkeys: [{id: 1, secret: %s}]", secret(1, 31)), []string{"31 bytes"}},
			{"invalid base64", "active: 1\nkeys: [{id: 1, secret: \"???\"}]", []string{"not standard base64"}},
			{"a duplicate id", fmt.Sprintf("active: 1\nkeys: [{id: 1, secret: %s}, {id: 1, secret: %s}]", secret(1, 32), secret(2, 32)), []string{"two keys have the id 1"}},
			{"a duplicate secret", fmt.Sprintf("active: 1\nkeys: [{id: 1, secret: %s}, {id: 2, secret: %s}]", secret(1, 32), secret(1, 32)), []string{"same secret"}},
			{"an unknown field", fmt.Sprintf("active: 1\nvalid: 3\nkeys: [{id: 1, secret: %s}]", secret(1, 32)), []string{"valid"}},
			{"an id out of range", fmt.Sprintf("active: 1\nkeys: [{id: 300, secret: %s}]", secret(1, 32)), []string{"parse keys"}},
		}
		for _, c := range cases {
			Convey(c.name, func() {
				path := filepath.Join(t.TempDir(), "keys.yaml")
				So(os.WriteFile(path, []byte(c.file), 0o600), ShouldBeNil)
				ring, err := LoadKeyring(path)
				if c.want == nil {
					So(err, ShouldBeNil)
					So(ring, ShouldNotBeNil)
					return
				}
				So(err, ShouldNotBeNil)
				for _, text := range c.want {
					So(err.Error(), ShouldContainSubstring, text)
				}
				So(err.Error(), ShouldNotContainSubstring, secret(1, 32))
			})
		}
	})
	Convey("With two files, the keyring has the keys of both, and the first file determines the active key", t, func() {
		dir := t.TempDir()
		oldFile, newFile := filepath.Join(dir, "old.yaml"), filepath.Join(dir, "new.yaml")
		So(os.WriteFile(oldFile, []byte(fmt.Sprintf("active: 7\nkeys: [{id: 7, secret: %s}]", secret(1, 32))), 0o600), ShouldBeNil)
		So(os.WriteFile(newFile, []byte(fmt.Sprintf("active: 8\nkeys: [{id: 8, secret: %s}]", secret(2, 32))), 0o600), ShouldBeNil)
		ring, err := LoadKeyring(oldFile, newFile)
		So(err, ShouldBeNil)
		So(ring.Active(), ShouldEqual, 7)
		ring, err = LoadKeyring(newFile, oldFile)
		So(err, ShouldBeNil)
		So(ring.Active(), ShouldEqual, 8)
		_, err = LoadKeyring(oldFile, oldFile)
		So(err, ShouldNotBeNil)
	})
	Convey("The error for a missing file contains its path", t, func() {
		_, err := LoadKeyring("/nowhere/keys.yaml")
		So(err.Error(), ShouldContainSubstring, "/nowhere/keys.yaml")
	})
}

func TestSealAndOpenDoNotAllocate(t *testing.T) {
	Convey("Sealing and opening a datagram does not allocate", t, func() {
		sealer, opener := testPair(t)
		body, buf := make([]byte, 1400), make([]byte, 0, 2000)
		So(testing.AllocsPerRun(100, func() {
			buf = sealer.AppendSealed(buf[:0], bob, KindForward, body)
			_, _ = opener.Open(buf)
		}), ShouldEqual, 0)
	})
}

func BenchmarkSealOpen(b *testing.B) {
	for _, size := range []int{64, 1400} {
		body, buf := make([]byte, size), make([]byte, 0, 2000)
		b.Run(fmt.Sprintf("seal/%d", size), func(b *testing.B) {
			sealer, _ := testPair(b)
			b.ReportAllocs()
			b.SetBytes(int64(size))
			for b.Loop() {
				buf = sealer.AppendSealed(buf[:0], bob, KindForward, body)
			}
		})
		b.Run(fmt.Sprintf("seal+open/%d", size), func(b *testing.B) {
			sealer, opener := testPair(b)
			b.ReportAllocs()
			b.SetBytes(int64(size))
			for b.Loop() {
				buf = sealer.AppendSealed(buf[:0], bob, KindForward, body)
				if _, kind := opener.Open(buf); kind != errkind.None {
					b.Fatal(kind)
				}
			}
		})
	}
}
