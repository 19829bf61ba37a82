//go:build review

package main

import (
	"fmt"
	"net/netip"
	"time"
)

// rollbackSlack is rollback_slack_ms.
const rollbackSlack = 250 * time.Millisecond

// duplicateSYN: a route moves from service north to service south while the target of north is full. Through one daemon a
// flow reaches south, and over rollback_slack_ms later a copy of another caller's SYN reaches north, which has room again.
func duplicateSYN(w *world) {
	const capacity = 20
	address := netip.AddrPortFrom(w.ip(200, 1), 443)
	filler := netip.AddrPortFrom(w.ip(200, 2), 443)
	r := func(service string) []route {
		return []route{
			{"r-hold", address.Addr().String(), "443", "unsafe", service},
			{"r-feed", filler.Addr().String(), "443", "safe", "north"},
		}
	}
	w.store.put("op/config", manifest(7, capacity, r("north"), "north", "south"))
	north := w.newTarget("i-7f3a91c2", 0x7f3a91c2, "north", "zone-a", netip.AddrPortFrom(w.ip(100, 1), 8080), capacity)
	south := w.newTarget("i-51b0c7d4", 0x51b0c7d4, "south", "zone-a", netip.AddrPortFrom(w.ip(100, 2), 8080), capacity)
	d1 := w.addDaemon("entry-a-1", "zone-a", w.ip(2, 10))
	d2 := w.addDaemon("entry-a-2", "zone-a", w.ip(2, 11))
	w.startAll()
	time.Sleep(3 * time.Second)

	c := w.newCaller(w.ip(50, 1))
	var fill []*attempt
	for i := 0; w.trouble && i < capacity; i++ {
		d := d1
		if i%2 == 1 {
			d = d2
		}
		a := c.open(filler, fixed(d))
		if a.outcome != "open" || a.request(time.Second) != "north" {
			couldNotRun("flow %d to north: %s", i, a.outcome)
		}
		fill = append(fill, a)
	}
	w.note("north holds %d of %d flows", len(fill), capacity)
	time.Sleep(time.Second)

	done := make(chan *attempt)
	go func() { done <- c.open(address, fixed(d1)) }()
	time.Sleep(50 * time.Millisecond)
	acked := w.store.put("op/config", manifest(9, capacity, r("south"), "north", "south"))
	w.note("the store acknowledged version 9: %v is sent to south", address)

	// Other callers' flows on the same route through the same daemon, until south has taken one.
	var seen time.Time
	for i := 0; i < 12 && seen.IsZero(); i++ {
		go func() { a := c.open(address, fixed(d1)); a.request(time.Second); a.close() }()
		time.Sleep(20 * time.Millisecond)
		if south.takenCount() > 0 {
			seen = time.Now()
		}
	}
	if seen.IsZero() {
		couldNotRun("south saw no flow soon after the change")
	}
	w.note("south has seen the effect of version 9 through daemon %v, %.0f ms after its acknowledgement", d1.ip, seen.Sub(acked).Seconds()*1000)
	time.Sleep(250 * time.Millisecond)
	for _, a := range fill {
		a.close() // callers of north end their flows: it has room again
	}
	a := <-done
	body := a.request(2 * time.Second)
	for i, at := range a.sent {
		w.note("%v sent its SYN (copy %d) %.0f ms after south saw version 9", a.self, i, at.Sub(seen).Seconds()*1000)
	}
	w.note("%v: %s, its request was run by %q", a.self, a.outcome, body)
	a.close()

	north.mu.Lock()
	defer north.mu.Unlock()
	for _, k := range north.taken {
		if k.Caller != a.self {
			continue
		}
		sent := a.sent[k.SYNCopy]
		if late := sent.Sub(seen); late > rollbackSlack {
			w.finish(true, "CONFIG broken: daemon %v had sent a flow of the route to south (version 9); a SYN sent %.0f ms later was given to north (version 7)", k.From.Addr(), late.Seconds()*1000)
		}
	}
	w.finish(false, "CONFIG held: %s", fmt.Sprintf("attempt %s, run by %q", a.outcome, body))
}
