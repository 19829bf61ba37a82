package capacity

import (
	"fmt"
	"io"
	"net"
	"net/http"
)

func networkExperiments() []experiment {
	return []experiment{
		{DatagramIO, Nanoseconds, []int{50, 100, 200, 400}, datagramIO},
		{ProbeIO, Nanoseconds, []int{5, 10, 20, 40}, probeIO},
	}
}

// datagramIO measures sending and receiving n datagrams of 200 bytes over loopback, with one system call
// per operation.
func datagramIO(n int) float64 {
	const size = 200
	from, to := mustListen(), mustListen()
	defer from.Close()
	defer to.Close()
	buf := make([]byte, size)
	return nanoseconds(func(int) {
		for range n {
			_, err := from.WriteToUDPAddrPort(buf, to.LocalAddr().(*net.UDPAddr).AddrPort())
			panicOnError(err)
			_, _, err = to.ReadFromUDPAddrPort(buf)
			panicOnError(err)
		}
	})
}

func mustListen() *net.UDPConn {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	panicOnError(err)
	return conn
}

// probeIO measures reading n load reports over keep-alive HTTP connections on loopback. Client and server
// both run in this process, so the result is an upper bound for the daemon.
func probeIO(n int) float64 {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	panicOnError(err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"connections":1500,"busy_slots":2,"shedding":false,"warming":false}`)
	})}
	defer server.Close()
	go func() { _ = server.Serve(listener) }()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	url := "http://" + listener.Addr().String() + "/"
	return nanoseconds(func(int) {
		for range n {
			resp, err := client.Get(url)
			panicOnError(err)
			_, err = io.Copy(io.Discard, resp.Body)
			panicOnError(err)
			panicOnError(resp.Body.Close())
		}
	})
}

func panicOnError(err error) {
	if err != nil {
		panic(fmt.Sprintf("capacity: operation failed: %v", err))
	}
}
