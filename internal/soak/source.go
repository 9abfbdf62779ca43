package soak

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mulberrystream/mulberrystream/internal/fleet"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// sources finds the entry host behind a loopback connection, which proxies need
// for a partition: all processes have the same IP address.
type sources struct {
	mu      sync.Mutex
	hosts   []*fleet.Host
	sockets map[string]ident.HostID // by local and remote port
	read    time.Time
}

// socketsAge is how long the sockets of the hosts are kept. A cut asks for many
// connections at once, and one look at all sockets of the machine is slow.
const socketsAge = time.Second

func (s *sources) set(hosts []*fleet.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = append([]*fleet.Host(nil), hosts...)
	s.sockets = nil
}

// find returns the id of the entry host whose socket is the client end of a
// connection, or an empty string.
func (s *sources) find(client net.Conn) string {
	from, ok := client.RemoteAddr().(*net.TCPAddr)
	to, ok2 := client.LocalAddr().(*net.TCPAddr)
	if !ok || !ok2 {
		return ""
	}
	key := fmt.Sprintf("0100007F:%04X 0100007F:%04X", from.Port, to.Port)
	s.mu.Lock()
	defer s.mu.Unlock()
	if id, ok := s.sockets[key]; ok && time.Since(s.read) < socketsAge {
		return string(id)
	}
	s.sockets = hostSockets(s.hosts)
	s.read = time.Now()
	return string(s.sockets[key])
}

// hostSockets lists the connections of the hosts.
func hostSockets(hosts []*fleet.Host) map[string]ident.HostID {
	owners := map[string]ident.HostID{}
	for _, h := range hosts {
		for _, inode := range inodes(h.PID()) {
			owners[inode] = h.ID
		}
	}
	out := map[string]ident.HostID{}
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return out
	}
	defer func() { _ = f.Close() }()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 10 {
			continue
		}
		// A closed connection of the same port has no inode and thus no owner.
		if id, ok := owners[fields[9]]; ok {
			out[fields[1]+" "+fields[2]] = id
		}
	}
	return out
}

// inodes lists the sockets that a process has open.
func inodes(pid int) []string {
	dir := "/proc/" + strconv.Itoa(pid) + "/fd"
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil
	}
	var out []string
	for _, e := range entries {
		name, err := os.Readlink(dir + "/" + e.Name())
		if inode, ok := strings.CutPrefix(name, "socket:["); ok && err == nil {
			out = append(out, strings.TrimSuffix(inode, "]"))
		}
	}
	return out
}
