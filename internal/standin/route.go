package standin

import (
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/internal/udpio"
)

// TargetNetwork returns the network of a target behind the fabric. Packets that the target sends to
// gateway are routed by the fabric but sent from the target's own socket, so that they keep their outer
// source address, as in a routed network.
func TargetNetwork(network udpio.Network, fabric *Fabric, node *Node, gateway netip.AddrPort) udpio.Network {
	return &routedNetwork{network: network, fabric: fabric, node: node, gateway: gateway}
}

type routedNetwork struct {
	network udpio.Network
	fabric  *Fabric
	node    *Node
	gateway netip.AddrPort
}

// Listen opens a socket whose packets to the gateway are routed by the fabric.
func (n *routedNetwork) Listen(addr netip.AddrPort) (udpio.Conn, error) {
	c, err := n.network.Listen(addr)
	if err != nil {
		return nil, err
	}
	return &routedConn{Conn: c, net: n}, nil
}

type routedConn struct {
	udpio.Conn
	net *routedNetwork
}

// WriteBatch sends each message to the address that the fabric routes it to; lost ones count as written.
func (c *routedConn) WriteBatch(ms []udpio.Message) (int, error) {
	routed := make([]udpio.Message, 0, len(ms))
	c.net.node.Do(func(now time.Time) []Datagram {
		for _, m := range ms {
			if m.Addr != c.net.gateway {
				routed = append(routed, m)
				continue
			}
			d := Datagram{Addr: c.LocalAddr(), Data: m.Buf[:m.N]}
			for _, out := range c.net.fabric.HandleTarget(now, d) {
				routed = append(routed, udpio.Message{Buf: out.Data, N: len(out.Data), Addr: out.Addr})
			}
		}
		return nil
	})
	if len(routed) > 0 {
		if _, err := c.Conn.WriteBatch(routed); err != nil {
			return 0, err
		}
	}
	return len(ms), nil
}
