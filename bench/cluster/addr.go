package cluster

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

const (
	// firstPort and lastPort bound the ports of listeners. The range lies below the kernel's ephemeral ports, because an
	// outgoing connection could otherwise take the port of a process before the process listens on it.
	firstPort = 12000
	lastPort  = 32000
	// portsPerProcess times the process ID is the offset of the first port, so that concurrent runs use different ports.
	portsPerProcess = 512
)

var nextPort atomic.Int64

// freeAddr returns a loopback address that nothing listens on.
func freeAddr() string {
	start := int64(os.Getpid()) * portsPerProcess
	for range lastPort - firstPort {
		port := firstPort + (start+nextPort.Add(1))%(lastPort-firstPort)
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", addr)
		if err == nil {
			_ = l.Close()
			return addr
		}
	}
	panic("no free loopback port")
}
