package news
import ("testing";"fmt";"time")
func TestDbg(t *testing.T) {
		s := newSite(1, 600, "a", "b", "c", "d", "e", "f", "g", "h")
		s.startAll()
		for range 13 {
		for _, n := range s.nodes { n.sent = 0; n.calls=0 }
		s.run(1 * time.Second)
		most,total,c:=0,0,0
		for i, n := range s.nodes { total+=n.sent; c+=n.calls; if n.sent>s.nodes[most].sent {most=i} }
		m := s.nodes[most].engine
		pend:=0
		for _,x := range m.members.ordered { if x.heard.IsZero() {pend++} }
		fmt.Println(most, s.nodes[most].sent, total/600, "calls", c, "known", len(m.members.ordered), "pending", pend, "readers", s.readers())
		}
}
