package edge_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/edge"
	"github.com/fireflypin/fireflypin/internal/flowtag"
	"github.com/fireflypin/fireflypin/internal/news"
	"github.com/fireflypin/fireflypin/packet"
	"github.com/fireflypin/fireflypin/platform"
)

// badPort is the source port of packets whose decoding panics.
const badPort = 6666

// panickingTransport panics on packets from badPort.
type panickingTransport struct{ edge.Transport }

func (t panickingTransport) Decode(raw []byte, m *packet.Meta) (flowtag.Tag, errkind.Kind) {
	tag, kind := t.Transport.Decode(raw, m)
	if m.Src.Port() == badPort {
		panic("injected decoder panic")
	}
	return tag, kind
}

// panickingInterpreter panics on items that contain badWord.
type panickingInterpreter struct{ platform.ItemInterpreter }

const badWord = "panicking"

func (i panickingInterpreter) Interpret(it news.Item) (edge.ParsedItem, error) {
	if bytes.Contains(it.Value, []byte(badWord)) {
		panic("injected interpreter panic")
	}
	return i.ItemInterpreter.Interpret(it)
}

// counter returns the value of a daemon's counter as its metrics page shows it.
func (n *node) counter(name string) string {
	var page bytes.Buffer
	n.metrics.WriteText(&page)
	for _, line := range strings.Split(page.String(), "\n") {
		if value, ok := strings.CutPrefix(line, "fireflypin_"+name+" "); ok {
			return value
		}
	}
	return ""
}

func TestPanicAffectsOnlyItsInput(t *testing.T) {
	run(t, func(ctx context.Context, f *fleet) {
		f.transport = func(t edge.Transport) edge.Transport { return panickingTransport{t} }
		f.interpreter = panickingInterpreter{}
		f.store.put("servers/i-77", badWord)
		served := f.target(1)
		defer served.conn.Close()
		c := f.client()
		defer c.conn.Close()
		n := f.start(ctx, 1)
		time.Sleep(2 * time.Second)
		So(n.daemon.Ready(), ShouldBeNil)
		So(n.counter("unusable_items_total"), ShouldEqual, "1")

		// The packets before and after the one that panics are served, also in the same batch.
		bad := c.packetOf(badPort, 1, wireSYN, 100, 0, 0, 0)
		for i := range 20 {
			c.send(n, c.packetOf(uint16(2000+i), 1, wireSYN, 100, 0, 0, 0))
			c.send(n, bad)
		}
		time.Sleep(100 * time.Millisecond)
		So(served.take(), ShouldHaveLength, 20)
		So(n.counter("contained_panics_total"), ShouldEqual, "21")

		// A configuration whose parsing panics leaves the previous one in use, and the next one is applied.
		f.store.put("op/config", strings.Replace(configText(2, ""), "booking", badWord, 1))
		time.Sleep(2 * time.Second)
		c.send(n, c.packetOf(3000, 1, wireSYN, 100, 0, 0, 0))
		time.Sleep(100 * time.Millisecond)
		So(served.take(), ShouldHaveLength, 1)
		f.store.put("op/config", configText(3, "198.18.0.9"))
		time.Sleep(2 * time.Second)
		c.send(n, c.packetOf(3001, 9, wireSYN, 100, 0, 0, 0))
		time.Sleep(100 * time.Millisecond)
		So(served.take(), ShouldHaveLength, 1)
		select {
		case err := <-n.done:
			So(err, ShouldEqual, "the daemon keeps running")
		default:
		}
	})
}
