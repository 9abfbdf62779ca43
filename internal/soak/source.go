package soak

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/mulberrystream/mulberrystream/internal/fleet"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// sources finds the entry host that opened a loopback connection. Proxies need it to
// simulate a partition, because all processes share one IP address.
type sources struct {
	searchesStarted atomic.Uint64 // scans of the hosts' sockets started so far
	mu              sync.Mutex
	hosts           []*fleet.Host
	owners          map[uint32]ident.HostID // by socket inode
}

func (s *sources) set(hosts []*fleet.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = append([]*fleet.Host(nil), hosts...)
	s.owners = nil
}

// find returns the id of the entry host whose socket is the client end of a
// connection, or an empty string.
func (s *sources) find(client net.Conn) string {
	from, ok := client.RemoteAddr().(*net.TCPAddr)
	to, ok2 := client.LocalAddr().(*net.TCPAddr)
	if !ok || !ok2 {
		return ""
	}
	inode, err := socketInode(from, to)
	if err != nil || inode == 0 {
		return "" // the client has closed the connection
	}
	return string(s.owner(inode, s.searchesStarted.Load()))
}

// owner returns the entry host that owns a socket. before is the number of searches that
// had started when the socket was known to exist. A search that started later would
// have found the socket, so lookups that waited for one do not search again. Otherwise,
// during a partition on a busy machine, each connection would wait for the searches of
// all earlier ones.
func (s *sources) owner(inode uint32, before uint64) ident.HostID {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id, ok := s.owners[inode]; ok || s.owners != nil && s.searchesStarted.Load() > before {
		return id
	}
	s.searchesStarted.Add(1)
	s.owners = map[uint32]ident.HostID{}
	for _, h := range s.hosts {
		for _, n := range inodes(h.PID()) {
			s.owners[n] = h.ID
		}
	}
	return s.owners[inode]
}

// Constants and message layout of the kernel interface linux/inet_diag.h.
const (
	sockDiagFamily = 4  // NETLINK_SOCK_DIAG
	sockDiagByName = 20 // SOCK_DIAG_BY_FAMILY
	requestSize    = syscall.NLMSG_HDRLEN + 56
	inodeOffset    = syscall.NLMSG_HDRLEN + 68
)

var errDiag = errors.New("soak: unexpected sock_diag response")

// socketInode asks the kernel for the inode of one connected socket. Reading
// /proc/net/tcp would list all sockets of the machine for each connection, and a proxy
// could not keep up with the connections opened during a partition.
func socketInode(local, remote *net.TCPAddr) (uint32, error) {
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW|syscall.SOCK_CLOEXEC, sockDiagFamily)
	if err != nil {
		return 0, fmt.Errorf("soak: netlink: %w", err)
	}
	defer func() { _ = syscall.Close(fd) }()
	q := make([]byte, requestSize)
	binary.NativeEndian.PutUint32(q[0:], requestSize)
	binary.NativeEndian.PutUint16(q[4:], sockDiagByName)
	binary.NativeEndian.PutUint16(q[6:], syscall.NLM_F_REQUEST)
	q[16], q[17] = syscall.AF_INET, syscall.IPPROTO_TCP
	binary.NativeEndian.PutUint32(q[20:], ^uint32(0)) // all states
	binary.BigEndian.PutUint16(q[24:], uint16(local.Port))
	binary.BigEndian.PutUint16(q[26:], uint16(remote.Port))
	copy(q[28:], local.IP.To4())
	copy(q[44:], remote.IP.To4())
	for i := 64; i < 72; i++ {
		q[i] = 0xff // no cookie
	}
	if err := syscall.Sendto(fd, q, 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return 0, fmt.Errorf("soak: netlink: %w", err)
	}
	answer := make([]byte, 4096)
	n, _, err := syscall.Recvfrom(fd, answer, 0)
	if err != nil {
		return 0, fmt.Errorf("soak: netlink: %w", err)
	}
	if n < inodeOffset+4 || binary.NativeEndian.Uint16(answer[4:]) != sockDiagByName {
		return 0, errDiag
	}
	return binary.NativeEndian.Uint32(answer[inodeOffset:]), nil
}

// inodes lists the sockets that a process has open.
func inodes(pid int) []uint32 {
	dir := "/proc/" + strconv.Itoa(pid) + "/fd"
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil
	}
	var out []uint32
	for _, e := range entries {
		name, err := os.Readlink(dir + "/" + e.Name())
		inode, ok := strings.CutPrefix(name, "socket:[")
		if err != nil || !ok {
			continue
		}
		if n, err := strconv.ParseUint(strings.TrimSuffix(inode, "]"), 10, 32); err == nil {
			out = append(out, uint32(n))
		}
	}
	return out
}
