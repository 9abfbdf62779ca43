package soak

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"

	"github.com/mulberrystream/mulberrystream/internal/fleet"
)

// sources finds the entry host behind a loopback connection, which proxies need
// for a partition: all processes have the same IP address.
type sources struct {
	mu    sync.Mutex
	hosts []*fleet.Host
}

func (s *sources) set(hosts []*fleet.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = append([]*fleet.Host(nil), hosts...)
}

// find returns the domain and the id of the entry host whose socket is the client
// end of a connection, or an empty string.
func (s *sources) find(client net.Conn) string {
	addr, ok := client.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return ""
	}
	inode := socketInode(addr.Port)
	if inode == "" {
		return ""
	}
	s.mu.Lock()
	hosts := s.hosts
	s.mu.Unlock()
	for _, h := range hosts {
		if holds(h.PID(), inode) {
			return string(h.ID)
		}
	}
	return ""
}

// socketInode returns the inode of the socket that is bound to a local port and
// connected.
func socketInode(port int) string {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer func() { _ = f.Close() }()
	local := fmt.Sprintf("0100007F:%04X", port)
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) > 9 && fields[1] == local {
			return fields[9]
		}
	}
	return ""
}

// holds says whether a process has a socket open.
func holds(pid int, inode string) bool {
	dir := "/proc/" + strconv.Itoa(pid) + "/fd"
	entries, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	want := "socket:[" + inode + "]"
	for _, e := range entries {
		if name, err := os.Readlink(dir + "/" + e.Name()); err == nil && name == want {
			return true
		}
	}
	return false
}
