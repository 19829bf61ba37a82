//go:build review

package main

import (
	"fmt"
	"net/netip"
	"time"
)

// loneSurvivor: the store is silent for some seconds and is back. Then all entry VMs but one are lost. The operator moves
// a route to another service. The survivor has had no impairment and reaches the store all the while.
func loneSurvivor(w *world) {
	// Figures of the large sheet: 295 machines in five zones, config_apply_ms and stability_window_ms 6,000.
	const (
		number    = 43
		apply     = 6 * time.Second
		stability = 6 * time.Second
		outage    = 5200 * time.Millisecond
	)
	address := netip.AddrPortFrom(w.ip(200, 1), 443)
	r := func(service string) []route {
		return []route{{"r-hold", address.Addr().String(), "443", "unsafe", service}}
	}
	w.store.put("op/config", manifest(7, 2000, r("north"), "north", "south"))
	w.newTarget("i-7f3a91c2", 0x7f3a91c2, "north", "zone-a", netip.AddrPortFrom(w.ip(100, 1), 8080), 2000)
	w.newTarget("i-51b0c7d4", 0x51b0c7d4, "south", "zone-a", netip.AddrPortFrom(w.ip(100, 2), 8080), 2000)
	for i := range number {
		d := w.addDaemon(fmt.Sprintf("entry-a-%d", i+1), "zone-a", w.ip(2, 10+i))
		d.store = netip.AddrPortFrom(w.ip(3, 10+i), storePort)
		w.store.listen(d.store.String(), d.name)
	}
	w.startAll()
	time.Sleep(8 * time.Second)

	byOrder := order(w.daemons)
	survivor := byOrder[len(byOrder)-1]
	c := w.newCaller(w.ip(50, 1))
	if a := c.open(address, fixed(survivor)); a.request(time.Second) != "north" {
		couldNotRun("no service before the outage")
	}
	down := time.Now()
	if w.trouble {
		w.note("the store is silent from now on")
		w.store.setDown(true)
		time.Sleep(outage)
		w.store.setDown(false)
		w.note("the store serves again")
	}
	back := time.Now()
	time.Sleep(200 * time.Millisecond)
	if w.trouble {
		// Any of the machines that called the store in vain could be the one that is left; it is the last of these in the
		// order of the zone, which is mostly the last of all.
		inVain := w.store.swallowedSince(down)
		for survivor = nil; survivor == nil && len(byOrder) > 0; byOrder = byOrder[:len(byOrder)-1] {
			if last := byOrder[len(byOrder)-1]; inVain[last.name] {
				survivor = last
			}
		}
		if survivor == nil {
			couldNotRun("no machine called the store during the outage")
		}
		w.note("%d machines called the store in vain", len(inVain))
		for _, d := range w.daemons {
			if d != survivor {
				d.kill()
			}
		}
		w.note("all machines but %s (%v) are lost", survivor.name, survivor.ip)
	}
	calls := w.store.callsOf(survivor.name)
	time.Sleep(100 * time.Millisecond)
	acked := w.store.put("op/config", manifest(9, 2000, r("south"), "north", "south"))
	w.note("the store acknowledged version 9: %v is sent to south", address)

	from := acked.Add(apply)
	if inTouch := back.Add(stability); inTouch.After(from) {
		from = inTouch
	}
	stale, now := 0, 0
	var last time.Duration
	for end := acked.Add(32 * time.Second); time.Now().Before(end) && now < 5; time.Sleep(400 * time.Millisecond) {
		sent := time.Now()
		a := c.open(address, fixed(survivor))
		body := a.request(time.Second)
		a.close()
		w.note("a flow sent %.1f s after the acknowledgement: %s, run by %q; calls of the machine to the store since the loss: %d",
			sent.Sub(acked).Seconds(), a.outcome, body, w.store.callsOf(survivor.name)-calls)
		if !sent.After(from.Add(200 * time.Millisecond)) {
			continue
		}
		switch body {
		case "north":
			stale++
			last = sent.Sub(acked)
		case "south":
			now++
		}
	}
	if stale > 0 {
		w.finish(true, "CONFIG broken: %d flows sent later than %v after the acknowledgement of version 9 were run by north, the last %.1f s after it", stale, apply, last.Seconds())
	}
	w.finish(now == 0, "CONFIG %s: %d flows after the bound were run by south", map[bool]string{true: "not shown", false: "held"}[now == 0], now)
}
