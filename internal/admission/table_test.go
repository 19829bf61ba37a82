package admission

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/model"
)

var (
	bookingAddress  = netip.MustParseAddrPort("198.51.100.10:443")
	booking6Address = netip.MustParseAddrPort("[2001:db8::10]:443")
	brochureAddress = netip.MustParseAddrPort("198.51.100.11:443")
)

type fixture struct {
	booking, brochures *model.Service
	gold, silver       *model.Plan
	customers          []*model.Customer
}

func newFixture() *fixture {
	f := &fixture{
		booking:   &model.Service{Name: "booking", Addresses: []netip.AddrPort{bookingAddress, booking6Address}},
		brochures: &model.Service{Name: "brochures", Addresses: []netip.AddrPort{brochureAddress}},
	}
	f.gold = &model.Plan{Name: "gold", Services: []*model.Service{f.booking, f.brochures}}
	f.silver = &model.Plan{Name: "silver", Services: []*model.Service{f.booking}}
	f.customers = []*model.Customer{
		{Name: "quinta", Plan: f.gold, Prefixes: parsePrefixes("192.0.2.0/24", "2001:db8:1::/48")},
		{Name: "desk", Plan: f.silver, Prefixes: parsePrefixes("192.0.2.128/25", "2001:db8:1:2::/64")},
	}
	return f
}

func (f *fixture) table() *Table {
	return NewTable(model.NewSnapshot(model.Revisions{}, f.customers, []*model.Plan{f.gold, f.silver},
		[]*model.Service{f.booking, f.brochures}, nil, nil))
}

func parsePrefixes(texts ...string) []netip.Prefix {
	all := make([]netip.Prefix, len(texts))
	for i, text := range texts {
		all[i] = netip.MustParsePrefix(text)
	}
	return all
}

func TestAdmit(t *testing.T) {
	cases := []struct {
		from              string
		to                netip.AddrPort
		customer, service string
		kind              errkind.Kind
	}{
		{"192.0.2.1", bookingAddress, "quinta", "booking", errkind.None},
		{"192.0.2.1", brochureAddress, "quinta", "brochures", errkind.None},
		{"192.0.2.129", bookingAddress, "desk", "booking", errkind.None},
		{"192.0.2.129", brochureAddress, "desk", "brochures", errkind.PlanForbids},
		{"2001:db8:1::7", booking6Address, "quinta", "booking", errkind.None},
		{"2001:db8:1:2::7", brochureAddress, "desk", "brochures", errkind.PlanForbids},
		{"203.0.113.1", bookingAddress, "", "booking", errkind.UnknownCustomer},
		{"::ffff:192.0.2.1", bookingAddress, "", "booking", errkind.UnknownCustomer},
		{"192.0.2.1", netip.MustParseAddrPort("198.51.100.10:80"), "quinta", "", errkind.NoSuchService},
		{"203.0.113.1", netip.MustParseAddrPort("198.51.100.10:80"), "", "", errkind.NoSuchService},
	}
	Convey("The longest prefix selects the customer, its plan decides, and everything else is refused", t, func() {
		table := newFixture().table()
		for _, c := range cases {
			customer, service, kind := table.Admit(netip.MustParseAddr(c.from), c.to)
			So(kind, ShouldEqual, c.kind)
			So(customerName(customer), ShouldEqual, c.customer)
			So(serviceName(service), ShouldEqual, c.service)
		}
	})
	Convey("Nothing is admitted without lists or with empty lists", t, func() {
		_, _, kind := (*Table)(nil).Admit(netip.MustParseAddr("192.0.2.1"), bookingAddress)
		So(kind, ShouldEqual, errkind.NotReady)
		_, _, kind = NewTable(model.NewSnapshot(model.Revisions{}, nil, nil, nil, nil, nil)).Admit(netip.MustParseAddr("192.0.2.1"), bookingAddress)
		So(kind, ShouldEqual, errkind.NoSuchService)
	})
	Convey("Admit does not allocate", t, func() {
		table, from := newFixture().table(), netip.MustParseAddr("192.0.2.1")
		So(testing.AllocsPerRun(100, func() { table.Admit(from, bookingAddress) }), ShouldEqual, 0)
	})
}

func customerName(c *model.Customer) string {
	if c == nil {
		return ""
	}
	return c.Name
}

func serviceName(s *model.Service) string {
	if s == nil {
		return ""
	}
	return s.Name
}

func TestRevoked(t *testing.T) {
	caller := netip.MustParseAddr("192.0.2.1")
	Convey("A flow that is still allowed is not revoked", t, func() {
		_, revoked := newFixture().table().Revoked(newFixture().table(), caller, brochureAddress)
		So(revoked, ShouldBeFalse)
	})
	Convey("The current plan decides how a flow is treated that it no longer allows", t, func() {
		f := newFixture()
		f.gold.Services = []*model.Service{f.booking}
		f.gold.OnRevoke, f.gold.RevokeGrace = model.RevokeReset, 3*time.Second
		r, revoked := f.table().Revoked(newFixture().table(), caller, brochureAddress)
		So(revoked, ShouldBeTrue)
		So(r, ShouldResemble, Revocation{Reason: errkind.PlanForbids, Action: model.RevokeReset, Grace: 3 * time.Second})
	})
	Convey("The previous plan decides when the customer was removed", t, func() {
		previous, f := newFixture(), newFixture()
		previous.gold.OnRevoke = model.RevokeReset
		f.customers = f.customers[1:]
		r, revoked := f.table().Revoked(previous.table(), caller, bookingAddress)
		So(revoked, ShouldBeTrue)
		So(r, ShouldResemble, Revocation{Reason: errkind.UnknownCustomer, Action: model.RevokeReset})
	})
	Convey("A flow that was not allowed before is not revoked", t, func() {
		_, revoked := newFixture().table().Revoked(newFixture().table(), netip.MustParseAddr("192.0.2.200"), brochureAddress)
		So(revoked, ShouldBeFalse)
	})
	Convey("Moving an address to another allowed service revokes the flows of the previous service", t, func() {
		f := newFixture()
		f.booking.Addresses, f.brochures.Addresses = f.brochures.Addresses, f.booking.Addresses
		previous, current := newFixture().table(), f.table()
		r, revoked := current.Revoked(previous, caller, bookingAddress)
		So(revoked, ShouldBeTrue)
		So(r.Reason, ShouldEqual, errkind.PermissionRevoked)
		So(current.ServiceChanged(previous, bookingAddress), ShouldBeTrue)
		So(previous.ServiceChanged(previous, bookingAddress), ShouldBeFalse)
		So(current.ServiceChanged(nil, bookingAddress), ShouldBeFalse)
	})
}

// largeTable returns a table with n prefixes, a quarter of them IPv6, and 680 services that are all allowed by one
// plan. It also returns up to 4096 callers and all service addresses.
func largeTable(n int) (*Table, []netip.Addr, []netip.AddrPort) {
	rng := rand.New(rand.NewPCG(1, 2))
	plan := &model.Plan{Name: "all"}
	destinations := make([]netip.AddrPort, 680)
	for i := range destinations {
		destinations[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, byte(i >> 8), byte(i)}), 443)
		plan.Services = append(plan.Services, &model.Service{Name: fmt.Sprint("s", i), Addresses: destinations[i : i+1]})
	}
	callers := make([]netip.Addr, 4096)
	customers := make([]*model.Customer, 1000)
	for i := range customers {
		customers[i] = &model.Customer{Name: fmt.Sprint("c", i), Plan: plan}
	}
	for i := range n {
		p := randomPrefix(rng, i%4 == 0)
		callers[i%len(callers)] = p.Addr()
		c := customers[i%len(customers)]
		c.Prefixes = append(c.Prefixes, p)
	}
	s := model.NewSnapshot(model.Revisions{}, customers, []*model.Plan{plan}, plan.Services, nil, nil)
	return NewTable(s), callers, destinations
}

func randomPrefix(rng *rand.Rand, v6 bool) netip.Prefix {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], rng.Uint64())
	if v6 {
		b[0], b[1] = 0x20, 0x01
		return netip.PrefixFrom(netip.AddrFrom16(b), 32+rng.IntN(32)).Masked()
	}
	return netip.PrefixFrom(netip.AddrFrom4([4]byte(b[:4])), 16+rng.IntN(14)).Masked()
}

func BenchmarkAdmit100000Prefixes(b *testing.B) {
	table, callers, destinations := largeTable(100_000)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		_, _, kind := table.Admit(callers[i%len(callers)], destinations[i%len(destinations)])
		if kind != errkind.None {
			b.Fatal(kind)
		}
		i++
	}
}

func BenchmarkNewTable100000Prefixes(b *testing.B) {
	table, _, _ := largeTable(100_000)
	b.ReportAllocs()
	for b.Loop() {
		NewTable(table.snapshot)
	}
}
