package ingresstest

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/platform"
	"github.com/mulberrystream/mulberrystream/platform/platformtest"
)

const (
	// memoryMB and maxFDs are the limits of the process's settings, and the bounds of the tests.
	memoryMB = 64
	maxFDs   = 500
	// callers is the number of misbehaving callers of one test.
	callers = 600
	// holdTime is how long the callers stay connected while the process is sampled.
	holdTime = 2 * time.Second
	// answerTimeout limits how long a test waits for the ordinary request. It is not a limit
	// under test.
	answerTimeout = 30 * time.Second
)

var relayProgram string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "ingresstest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	relayProgram = filepath.Join(dir, "mulberryrelay")
	build := exec.Command("go", "build", "-o", relayProgram, "github.com/mulberrystream/mulberrystream/cmd/mulberryrelay")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n%v\n", out, err)
		return 1
	}
	return m.Run()
}

// process is a running mulberryrelay with a store and two backend servers of the test process.
type process struct {
	host   *platformtest.Host
	pid    int
	exited chan struct{}

	mu     sync.Mutex
	peakKB int64 // resident memory
	fds    int   // most open descriptors
}

// startProcess starts the process and waits until it is ready. more are backend servers beside
// the two that answer.
func startProcess(t *testing.T, more ...*platformtest.RawServer) *process {
	g := gomega.NewWithT(t)
	store, err := platformtest.NewStore()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(store.Close)
	for _, id := range []string{"s1", "s2"} {
		s, err := platformtest.NewServer(id, "app", "")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(s.Close)
		g.Expect(store.Put("servers/"+id, s.Entry("a", "ready"))).To(gomega.Succeed())
	}
	for _, s := range more {
		g.Expect(store.Put("servers/"+s.ID, s.Entry("a", "ready"))).To(gomega.Succeed())
	}
	g.Expect(store.Put("op/config", platformtest.Config(1, platformtest.Key))).To(gomega.Succeed())
	h, err := platformtest.NewHost(t.TempDir(), "h1", "a", 170, store.Addr())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	h.MemoryMB, h.MaxFDs = memoryMB, maxFDs
	g.Expect(h.WriteSettings()).To(gomega.Succeed())

	var log bytes.Buffer
	cmd := exec.Command(relayProgram)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+h.SettingsPath, "MULBERRYSTREAM_LOG_LEVEL=error")
	cmd.Stdout, cmd.Stderr = &log, &log
	g.Expect(cmd.Start()).To(gomega.Succeed())
	p := &process{host: h, pid: cmd.Process.Pid, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGKILL)
		<-p.exited
		if t.Failed() {
			t.Logf("output of the process:\n%s", log.String())
		}
	})
	g.Eventually(p.ordinaryRequest, answerTimeout, 20*time.Millisecond).Should(gomega.Succeed())
	return p
}

// newRequest returns a request with an API key and a deadline.
func (p *process) newRequest(ctx context.Context, path, id, body string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.host.Front+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Host = "x.example"
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", "4000")
	req.Header.Set("Authorization", "Bearer "+platformtest.Key)
	return req, nil
}

// ordinaryRequest sends a request of a well-behaved caller.
func (p *process) ordinaryRequest() error {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	req, err := p.newRequest(context.Background(), "/post/ordinary", "ordinary", strings.Repeat("b", 4096))
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// alive reports whether the process has not ended.
func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// sample records the resident memory and the open descriptors until stop is closed.
func (p *process) sample(stop <-chan struct{}) {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		p.measure()
		select {
		case <-stop:
			p.measure()
			return
		case <-tick.C:
		}
	}
}

func (p *process) measure() {
	kb := max(p.statusKB("VmRSS:"), p.statusKB("VmHWM:"))
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peakKB, p.fds = max(p.peakKB, kb), max(p.fds, len(entries))
}

// statusKB returns a field of the process's status in kB, or 0 if the process has ended.
func (p *process) statusKB(field string) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		return 0
	}
	for s := bufio.NewScanner(bytes.NewReader(data)); s.Scan(); {
		if rest, ok := strings.CutPrefix(s.Text(), field); ok {
			n, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return n
		}
	}
	return 0
}
