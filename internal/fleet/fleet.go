// Package fleet starts entry hosts as real processes before stand-ins of a
// deployment. It belongs to the test side.
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

// WaitLimit bounds every wait for a condition. It is far above what any condition
// needs, since a machine can be busy, and ends a test that would hang.
const WaitLimit = 60 * time.Second

// pollEvery is the time between two looks at a condition.
const pollEvery = 20 * time.Millisecond

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

// Host is one entry host process.
type Host struct {
	ID     ident.HostID
	Domain ident.FailureDomain
	Slot   ident.Slot
	Caller string // address for callers
	Peer   string
	Admin  string

	listed string // address in the host list

	cmd     *exec.Cmd
	done    chan struct{}
	err     error // of the process, valid after done is closed
	mu      sync.Mutex
	log     []byte
	inForce map[ident.Revision]time.Time
}

// HostOptions set up one entry host.
type HostOptions struct {
	ID       ident.HostID
	Domain   ident.FailureDomain
	Slot     ident.Slot
	Platform string
	Listen   string   // address for peers; the kernel chooses the port if empty
	PeerAddr string   // address that peers use, when a proxy stands before the host
	Args     []string // further flags
}

// StartHost starts a process and waits until it has said its addresses. A process that is
// to listen where a former one did tries again while another process has the port: the
// kernel may give a port that is free for a moment to any outgoing connection.
func StartHost(o HostOptions) (*Host, error) {
	limit := time.Now().Add(WaitLimit)
	for {
		h, err := startOnce(o)
		if err == nil || !strings.Contains(err.Error(), "address already in use") || time.Now().After(limit) {
			return h, err
		}
		time.Sleep(portPause)
	}
}

// portPause is the time between two tries to listen at a port in use.
const portPause = 100 * time.Millisecond

func startOnce(o HostOptions) (*Host, error) {
	path, err := Binary("mulberrystream")
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
	go h.follow(stderr, serving)
	select {
	case <-serving:
		h.listed = h.Peer
		if o.PeerAddr != "" {
			h.listed = o.PeerAddr
		}
		return h, nil
	case <-h.done:
		return nil, fmt.Errorf("fleet: %s ended at start: %w: %s", o.ID, h.err, h.Log())
	case <-time.After(WaitLimit):
		h.Kill()
		return nil, fmt.Errorf("fleet: %s did not say its addresses", o.ID)
	}
}

// logLine has what the fleet reads from the log: the addresses, and the time at
// which a generation came into force.
type logLine struct {
	Message  string         `json:"msg"`
	Time     float64        `json:"ts"` // seconds since 1970
	Callers  string         `json:"callers"`
	Peers    string         `json:"peers"`
	Admin    string         `json:"admin"`
	Revision ident.Revision `json:"revision"`
}

func (h *Host) follow(r io.Reader, serving chan struct{}) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		h.note(lines.Bytes())
		var l logLine
		if json.Unmarshal(lines.Bytes(), &l) != nil {
			continue
		}
		switch l.Message {
		case "entryhost: serving":
			h.Caller, h.Peer, h.Admin = l.Callers, l.Peers, l.Admin
			close(serving)
		case "configuration: new generation in force":
			h.noteInForce(l)
		}
	}
	h.err = h.cmd.Wait()
	close(h.done)
}

func (h *Host) note(line []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.log = append(append(h.log, line...), '\n')
}

func (h *Host) noteInForce(l logLine) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.inForce[l.Revision]; !ok {
		h.inForce[l.Revision] = time.UnixMicro(int64(l.Time * 1e6))
	}
}

// InForce returns when a revision first came into force, by the process's log.
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

// Pause stops the process without its knowledge.
func (h *Host) Pause() { _ = h.cmd.Process.Signal(syscall.SIGSTOP) }

// Wake lets a paused process go on.
func (h *Host) Wake() { _ = h.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate asks for a graceful stop.
func (h *Host) Terminate() { _ = h.cmd.Process.Signal(syscall.SIGTERM) }

// Kill ends the process at once and waits for its end.
func (h *Host) Kill() {
	_ = h.cmd.Process.Kill()
	<-h.done
}

// Done is closed when the process has ended.
func (h *Host) Done() <-chan struct{} { return h.done }

// Err returns how the process ended. It must be called after Done is closed.
func (h *Host) Err() error { return h.err }

// Status asks the process for its status.
func (h *Host) Status() (status.Status, error) {
	var s status.Status
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Admin+status.Path, nil)
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

var errTimeout = errors.New("condition not met in time")

// Await waits for a condition.
func Await(what string, met func() bool) error {
	limit := time.Now().Add(WaitLimit)
	for !met() {
		if time.Now().After(limit) {
			return fmt.Errorf("fleet: waiting for %s: %w", what, errTimeout)
		}
		time.Sleep(pollEvery)
	}
	return nil
}
