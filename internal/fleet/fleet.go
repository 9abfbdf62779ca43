// Package fleet starts entry hosts as real processes in front of a simulated
// deployment. Only tests and experiments use it.
package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/status"
)

// WaitLimit is the timeout of every wait for a condition. It is far above what any
// condition needs, even on a busy machine, and ends a test that would hang.
const WaitLimit = 60 * time.Second

// pollInterval is the time between two checks of a condition.
const pollInterval = 20 * time.Millisecond

var (
	buildOnce sync.Once
	buildDir  string
	buildErr  error
)

// Binary builds a command of this module once per test process and returns its
// path.
func Binary(name string) (string, error) {
	buildOnce.Do(func() { buildDir, buildErr = os.MkdirTemp("", "mulberrystream-bin-") })
	if buildErr != nil {
		return "", fmt.Errorf("fleet: build directory: %w", buildErr)
	}
	path := filepath.Join(buildDir, name)
	if _, err := os.Stat(path); err == nil {
		return path, nil
	}
	args := []string{"build", "-o", path, "github.com/mulberrystream/mulberrystream/cmd/" + name}
	out, err := exec.Command("go", args...).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("fleet: build %s: %w: %s", name, err, out)
	}
	return path, nil
}

// oldProgramsVariable names a directory with programs of an earlier build. If it is set,
// every second host runs one of them, to test that both builds work in one fleet.
const oldProgramsVariable = "OLD_PROGRAMS"

// HostBinary returns the path of a host's program. n is the number of the host in its
// domain, by which a mixed fleet alternates between both builds.
func HostBinary(name string, n int) (string, error) {
	if RunsEarlier(n) {
		return filepath.Join(os.Getenv(oldProgramsVariable), name), nil
	}
	return Binary(name)
}

// RunsEarlier reports whether a host runs a program of an earlier build. n is as for
// HostBinary.
func RunsEarlier(n int) bool { return os.Getenv(oldProgramsVariable) != "" && n%2 == 1 }

// Host is one entry host process.
type Host struct {
	ID         ident.HostID
	Domain     ident.FailureDomain
	Slot       ident.Slot
	CallerAddr string // listen address for callers
	PeerAddr   string // listen address for peers
	AdminAddr  string // listen address of the admin interface

	advertisedAddr string // peer address in the host list

	cmd     *exec.Cmd
	done    chan struct{}
	err     error // exit error of the process, valid after done is closed
	mu      sync.Mutex
	log     []byte
	inForce map[ident.Revision]time.Time // when each revision first came into force
}

// HostOptions configure one entry host.
type HostOptions struct {
	ID       ident.HostID
	Domain   ident.FailureDomain
	Slot     ident.Slot
	Platform string
	Listen   string   // listen address for peers; the kernel chooses the port if empty
	PeerAddr string   // address that peers use, if a proxy is in front of the host
	Args     []string // additional flags
}

// StartHost starts a process and waits until it has logged its addresses. It retries
// while the listen port is in use: when a process reuses the port of a former one, the
// kernel may have assigned the port to an outgoing connection in between.
func StartHost(o HostOptions) (*Host, error) {
	limit := time.Now().Add(WaitLimit)
	for {
		h, err := tryStartHost(o)
		if err == nil || !strings.Contains(err.Error(), "address already in use") || time.Now().After(limit) {
			return h, err
		}
		time.Sleep(portRetryInterval)
	}
}

// portRetryInterval is the time between two attempts to listen on a port in use.
const portRetryInterval = 100 * time.Millisecond

func tryStartHost(o HostOptions) (*Host, error) {
	path, err := HostBinary("mulberrystream", int(o.Slot))
	if err != nil {
		return nil, err
	}
	listen := o.Listen
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	args := []string{
		"--host", string(o.ID), "--domain", string(o.Domain), "--slot", fmt.Sprint(o.Slot),
		"--listen", "127.0.0.1:0", "--peer-listen", listen, "--admin-listen", "127.0.0.1:0",
		"--platform", o.Platform, "--plaintext",
	}
	if o.PeerAddr != "" {
		args = append(args, "--peer-addr", o.PeerAddr)
	}
	h := &Host{ID: o.ID, Domain: o.Domain, Slot: o.Slot, done: make(chan struct{}), inForce: map[ident.Revision]time.Time{}}
	h.cmd = exec.Command(path, append(args, o.Args...)...)
	stderr, err := h.cmd.StderrPipe()
	if err != nil {
		return nil, fmt.Errorf("fleet: start %s: %w", o.ID, err)
	}
	if err := h.cmd.Start(); err != nil {
		return nil, fmt.Errorf("fleet: start %s: %w", o.ID, err)
	}
	serving := make(chan struct{})
	go h.readLog(stderr, serving)
	select {
	case <-serving:
		h.advertisedAddr = h.PeerAddr
		if o.PeerAddr != "" {
			h.advertisedAddr = o.PeerAddr
		}
		return h, nil
	case <-h.done:
		return nil, fmt.Errorf("fleet: %s exited during startup: %w: %s", o.ID, h.err, h.Log())
	case <-time.After(WaitLimit):
		h.Kill()
		return nil, fmt.Errorf("fleet: %s did not log its addresses in time", o.ID)
	}
}

// logLine holds the fields that the fleet reads from the log: the addresses, and the
// time at which a generation came into force.
type logLine struct {
	Message  string         `json:"msg"`
	Time     float64        `json:"ts"` // seconds since 1970
	Callers  string         `json:"callers"`
	Peers    string         `json:"peers"`
	Admin    string         `json:"admin"`
	Revision ident.Revision `json:"revision"`
}

func (h *Host) readLog(r io.Reader, serving chan struct{}) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		h.appendLog(lines.Bytes())
		var l logLine
		if json.Unmarshal(lines.Bytes(), &l) != nil {
			continue
		}
		switch l.Message {
		case "entryhost: serving":
			h.CallerAddr, h.PeerAddr, h.AdminAddr = l.Callers, l.Peers, l.Admin
			close(serving)
		case "configuration: new generation in force":
			h.recordInForce(l)
		}
	}
	h.err = h.cmd.Wait()
	close(h.done)
}

func (h *Host) appendLog(line []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.log = append(append(h.log, line...), '\n')
}

func (h *Host) recordInForce(l logLine) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.inForce[l.Revision]; !ok {
		h.inForce[l.Revision] = time.UnixMicro(int64(l.Time * 1e6))
	}
}

// InForce returns when a revision first came into force according to the process's log.
func (h *Host) InForce(r ident.Revision) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t, ok := h.inForce[r]
	return t, ok
}

// Log returns what the process has logged.
func (h *Host) Log() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return string(h.log)
}

// PID returns the process id.
func (h *Host) PID() int { return h.cmd.Process.Pid }

// Pause suspends the process with SIGSTOP, which it cannot notice.
func (h *Host) Pause() { _ = h.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (h *Host) Resume() { _ = h.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate requests a graceful stop with SIGTERM.
func (h *Host) Terminate() { _ = h.cmd.Process.Signal(syscall.SIGTERM) }

// Kill ends the process with SIGKILL and waits until it has exited.
func (h *Host) Kill() {
	_ = h.cmd.Process.Kill()
	<-h.done
}

// Done returns a channel that is closed when the process has exited.
func (h *Host) Done() <-chan struct{} { return h.done }

// Err returns the exit error of the process. It must be called after Done is closed.
func (h *Host) Err() error { return h.err }

// Status fetches the status of the process from its admin interface.
func (h *Host) Status() (status.Status, error) {
	var s status.Status
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.AdminAddr+status.Path, nil)
	if err != nil {
		return s, fmt.Errorf("fleet: status of %s: %w", h.ID, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, fmt.Errorf("fleet: status of %s: %w", h.ID, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return s, fmt.Errorf("fleet: status of %s: %w", h.ID, err)
	}
	return s, nil
}

var errTimeout = errors.New("condition not met within the time limit")

// Await polls a condition until it is met, for at most WaitLimit.
func Await(what string, met func() bool) error {
	limit := time.Now().Add(WaitLimit)
	for !met() {
		if time.Now().After(limit) {
			return fmt.Errorf("fleet: waiting for %s: %w", what, errTimeout)
		}
		time.Sleep(pollInterval)
	}
	return nil
}
