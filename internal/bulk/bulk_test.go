package bulk

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/internal/bulk/bulkpb"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/lists"
	"github.com/fireflypin/fireflypin/internal/listsource"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

type fakeLogs []flow.Snapshot

func (f fakeLogs) Snapshots(all bool) []flow.Snapshot {
	if all {
		return f
	}
	return f[:1]
}

type fakeLists struct{ doc *listsource.Document }

func (f fakeLists) Digest() listsource.Digest {
	return listsource.Digest{lists.KindPlans: f.doc.Version}
}

func (f fakeLists) Document(kind lists.Kind) *listsource.Document {
	if kind != lists.KindPlans {
		return nil
	}
	return f.doc
}

func testSnapshot(owner model.MachineID, records int) flow.Snapshot {
	s := flow.Snapshot{Owner: owner, Incarnation: 7, NextSeq: 99, Generation: model.Generation{Plans: 3, Machines: 4}}
	for i := range records {
		s.Exceptions = append(s.Exceptions, wire.Record{Hash: model.FlowHash(i) << 32, Target: model.TargetID(i)})
	}
	return s
}

// authority is a certificate authority that issues certificates of daemons.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority() authority {
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, _ := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	cert, _ := x509.ParseCertificate(der)
	return authority{cert: cert, key: key}
}

func (a authority) config() *tls.Config {
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	template := &x509.Certificate{SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour)}
	der, _ := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return newTLSConfig(tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool)
}

// serve starts a server on loopback and returns an entry VM with its address.
func serve(t *testing.T, logs LogSource, source ListSource, config *tls.Config) *model.EntryVM {
	s := NewServer(logs, source, config)
	if err := s.Listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return &model.EntryVM{Name: "entry-a", Bulk: s.Addr()}
}

func TestCalls(t *testing.T) {
	logs := fakeLogs{testSnapshot(1, 3*maxChunkRecords+1), testSnapshot(2, 0)}
	body := []byte("kind: plans\nrevision: 5\n")
	source := fakeLists{&listsource.Document{Kind: lists.KindPlans, Version: listsource.VersionOf(5, body), Body: body}}
	a := newAuthority()
	for name, configs := range map[string][2]*tls.Config{
		"without TLS":                        {nil, nil},
		"with certificates of one authority": {a.config(), a.config()},
	} {
		Convey("Calls "+name+" return the peer's logs and lists", t, func() {
			peer := serve(t, logs, source, configs[0])
			c := NewClient(configs[1])
			ctx := context.Background()
			one, err := c.FetchSnapshots(ctx, peer, false)
			So(err, ShouldBeNil)
			So(one, ShouldResemble, []flow.Snapshot{logs[0]})
			all, err := c.FetchSnapshots(ctx, peer, true)
			So(err, ShouldBeNil)
			So(all, ShouldResemble, []flow.Snapshot(logs))
			digest, err := c.ListDigest(ctx, peer.Bulk)
			So(err, ShouldBeNil)
			So(digest, ShouldResemble, source.Digest())
			version, got, err := c.ListBody(ctx, peer.Bulk, lists.KindPlans)
			So(err, ShouldBeNil)
			So(version, ShouldResemble, source.doc.Version)
			So(got, ShouldResemble, body)
			_, _, err = c.ListBody(ctx, peer.Bulk, lists.KindMachines)
			So(err, ShouldNotBeNil)
		})
	}
}

func TestUnauthenticatedCallsAreRejected(t *testing.T) {
	trusted, untrusted := newAuthority(), newAuthority()
	for name, config := range map[string]*tls.Config{
		"of another authority":  untrusted.config(),
		"without a certificate": {InsecureSkipVerify: true},
		"without TLS":           nil,
	} {
		Convey("A client "+name+" is rejected", t, func() {
			peer := serve(t, fakeLogs{testSnapshot(1, 1)}, fakeLists{}, trusted.config())
			_, err := NewClient(config).FetchSnapshots(context.Background(), peer, false)
			So(err, ShouldNotBeNil)
		})
	}
	Convey("A client rejects a server with a certificate of another authority", t, func() {
		peer := serve(t, fakeLogs{testSnapshot(1, 1)}, fakeLists{}, untrusted.config())
		_, err := NewClient(trusted.config()).FetchSnapshots(context.Background(), peer, false)
		So(err, ShouldNotBeNil)
	})
}

func TestMalformedStreams(t *testing.T) {
	complete := splitSnapshot(testSnapshot(1, maxChunkRecords+1))
	cases := []struct {
		name   string
		chunks []*bulkpb.SnapshotChunk
		valid  bool
	}{
		{"complete", complete, true},
		{"ended early", complete[:1], false},
		{"mixed with another log", append(complete[:1:1], splitSnapshot(testSnapshot(2, 1))...), false},
		{"malformed, with more hashes than targets", []*bulkpb.SnapshotChunk{{Owner: 1, Hashes: []uint64{1}, Last: true}}, false},
	}
	for _, c := range cases {
		Convey("A stream that is "+c.name, t, func() {
			var a assembler
			var err error
			for _, chunk := range c.chunks {
				if err == nil {
					err = a.add(chunk)
				}
			}
			if err == nil {
				_, err = a.finish()
			}
			So(err == nil, ShouldEqual, c.valid)
		})
	}
}
