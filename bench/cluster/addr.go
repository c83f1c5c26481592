package cluster

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

const (
	// firstPort and lastPort bound the listeners' ports. They lie below the range from which the kernel takes ports
	// for outgoing connections, which otherwise took the port of a process before it listened.
	firstPort = 12000
	lastPort  = 32000
	// portsPerProcess spreads concurrent runs over the range.
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
