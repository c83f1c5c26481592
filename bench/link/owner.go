package link

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
)

// tcpTable lists the IPv4 TCP sockets of the machine.
const tcpTable = "/proc/net/tcp"

// ClientPID returns which of the processes pids has the client socket of conn, an accepted loopback connection.
func ClientPID(conn net.Conn, pids []int) (int, bool) {
	inode, ok := clientInode(conn)
	if !ok {
		return 0, false
	}
	socket := "socket:[" + inode + "]"
	for _, pid := range pids {
		if holdsSocket(pid, socket) {
			return pid, true
		}
	}
	return 0, false
}

// clientInode returns the inode of the socket whose local address is the remote address of conn.
func clientInode(conn net.Conn) (string, bool) {
	const local, remote, inode = 1, 2, 9
	client, server := hexAddr(conn.RemoteAddr()), hexAddr(conn.LocalAddr())
	table, err := os.ReadFile(tcpTable)
	if err != nil {
		return "", false
	}
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) > inode && fields[local] == client && fields[remote] == server {
			return fields[inode], true
		}
	}
	return "", false
}

// hexAddr formats an address as in tcpTable: the IPv4 address in (little-endian) host byte order and the port.
func hexAddr(addr net.Addr) string {
	tcp, ok := addr.(*net.TCPAddr)
	if !ok || tcp.IP.To4() == nil {
		return ""
	}
	ip := tcp.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
}

func holdsSocket(pid int, socket string) bool {
	dir := "/proc/" + strconv.Itoa(pid) + "/fd/"
	entries, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, entry := range entries {
		if target, err := os.Readlink(dir + entry.Name()); err == nil && target == socket {
			return true
		}
	}
	return false
}
