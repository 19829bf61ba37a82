package edge_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// oddEntryOf returns one of oddEntryTexts with its usual fields filled in.
func oddEntryOf(text string) string {
	return strings.NewReplacer("SERVICE", `"service":"booking"`, "ADDRESS", `"address":"10.1.64.1:8080"`,
		"REST", `"zone":"a","version":"v1","state":"ready","sequence":1`).Replace(text)
}

// oddEntryTexts are entries of another writer: nested deeply, with numbers too large, addresses that no target can have, or
// without some fields. Where they can, they name the address at which target 1 listens.
var oddEntryTexts = []string{
	strings.Repeat("[", 6000) + strings.Repeat("]", 6000),
	strings.Repeat(`{"a":`, 3000) + "1" + strings.Repeat("}", 3000),
	strings.Repeat("[", 100_000),
	`{SERVICE,ADDRESS,REST,"slots":4294967295,"warmup_remaining_ms":0,"born":1}`,
	`{SERVICE,ADDRESS,REST,"slots":1` + strings.Repeat("0", 500) + `,"warmup_remaining_ms":0,"born":1}`,
	`{SERVICE,ADDRESS,REST,"slots":3,"warmup_remaining_ms":1e308,"born":1}`,
	`{SERVICE,ADDRESS,REST,"slots":3,"warmup_remaining_ms":-1e308,"born":1}`,
	`{SERVICE,ADDRESS,REST,"slots":3,"warmup_remaining_ms":0,"born":9223372036854775807}`,
	`{SERVICE,"address":"10.1.64.1:70000",REST,"slots":3,"warmup_remaining_ms":0,"born":1}`,
	`{SERVICE,"address":"10.1.64.1:0",REST,"slots":3,"warmup_remaining_ms":0,"born":1}`,
	`{SERVICE,"address":"[::1]:80",REST,"slots":3,"warmup_remaining_ms":0,"born":1}`,
	`{SERVICE,"address":"255.255.255.255:80",REST,"slots":3,"warmup_remaining_ms":0,"born":1}`,
	`{SERVICE,ADDRESS,"zone":"a","slots":3,"state":"ready"}`,
}

// putOddEntries publishes all odd entries under ids that begin with a letter.
func (f *fleet) putOddEntries(letter string) {
	for i, text := range oddEntryTexts {
		f.store.put(fmt.Sprintf("servers/%s-%02x", letter, i+1), oddEntryOf(text))
	}
}

// TestOddEntries guards against daemons that end, stop to follow changes or send flows to nowhere since another writer has
// left odd entries among those of the targets: at the first read, in a watch, and as a peer passes them on.
func TestOddEntries(t *testing.T) {
	run(t, func(ctx context.Context, f *fleet) {
		sound := f.target(1)
		defer sound.conn.Close()
		c := f.client()
		defer c.conn.Close()
		f.putOddEntries("a")
		reader := f.start(ctx, 1)
		time.Sleep(3 * time.Second)
		follower := f.start(ctx, 2)
		time.Sleep(3 * time.Second)
		f.store.set(false, true) // the third daemon gets everything from the others
		late := f.start(ctx, 3)
		time.Sleep(3 * time.Second)
		f.store.set(false, false)
		time.Sleep(3 * time.Second)
		f.putOddEntries("b")
		time.Sleep(3 * time.Second)

		port := uint16(3000)
		servesAll := func(dst byte) {
			for _, n := range []*node{reader, follower, late} {
				So(n.daemon.Ready(), ShouldBeNil)
				for range 20 {
					port++
					c.send(n, c.packetOf(port, dst, wireSYN, 100, 0, 0, 0))
				}
				time.Sleep(50 * time.Millisecond)
				got := sound.take()
				So(got, ShouldHaveLength, 20)
				for _, frame := range got {
					So(binary.BigEndian.Uint64(frame), ShouldEqual, 1) // the guard of target 1
				}
			}
		}
		servesAll(1)
		for _, n := range []*node{reader, follower, late} {
			So(n.counter("unusable_items_total"), ShouldEqual, fmt.Sprint(2*len(oddEntryTexts)))
			So(n.counter("contained_panics_total"), ShouldEqual, "0")
		}

		// Changes are followed: a new route, and a target whose entry an odd one replaces.
		f.store.put("op/config", configText(2, "198.18.0.2"))
		time.Sleep(2 * time.Second)
		servesAll(2)
		second := f.target(2)
		defer second.conn.Close()
		f.store.put("servers/"+sound.name, oddEntryOf(oddEntryTexts[3]))
		time.Sleep(4 * time.Second) // past the grace for registrations that end without notice
		for _, n := range []*node{reader, follower, late} {
			for range 20 {
				port++
				c.send(n, c.packetOf(port, 1, wireSYN, 100, 0, 0, 0))
			}
		}
		time.Sleep(50 * time.Millisecond)
		So(second.take(), ShouldHaveLength, 60)
		So(sound.take(), ShouldBeEmpty)
	})
}
