package main

import (
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/platform"
	"github.com/mulberrystream/mulberrystream/platform/platformtest"
)

// Guards against a SIGHUP during the start terminating the process, because signals were
// handled only after the settings had been read and the sockets opened. A named pipe as the
// settings file keeps the process at the first step of its start.
func TestReloadSignalDuringStart(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	program := filepath.Join(dir, "mulberryrelay")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	g.Expect(err).NotTo(gomega.HaveOccurred(), string(out))
	h, err := platformtest.NewHost(dir, "h1", "a", 160, "127.0.0.1:1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(h.WriteSettings()).To(gomega.Succeed())
	settings, err := os.ReadFile(h.SettingsPath)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	fifo := filepath.Join(dir, "settings")
	g.Expect(syscall.Mkfifo(fifo, 0o600)).To(gomega.Succeed())

	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+fifo)
	g.Expect(cmd.Start()).To(gomega.Succeed())
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	t.Cleanup(func() { _ = cmd.Process.Kill() })

	// Opening fails until the process reads its settings.
	var w *os.File
	g.Eventually(func() error {
		w, err = os.OpenFile(fifo, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		return err
	}, 20*time.Second, time.Millisecond).Should(gomega.Succeed())
	g.Expect(cmd.Process.Signal(syscall.SIGHUP)).To(gomega.Succeed())
	// The reload must not read the pipe.
	g.Expect(os.Rename(h.SettingsPath, fifo)).To(gomega.Succeed())
	_, err = w.Write(settings)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(w.Close()).To(gomega.Succeed())

	g.Eventually(func() error {
		resp, err := http.Get("http://" + h.Ready + "/v1/ready")
		if err == nil {
			_ = resp.Body.Close()
		}
		return err
	}, 20*time.Second, 20*time.Millisecond).Should(gomega.Succeed())
	g.Expect(exited).NotTo(gomega.Receive())
	g.Expect(cmd.Process.Signal(syscall.SIGTERM)).To(gomega.Succeed())
	g.Eventually(exited, 20*time.Second).Should(gomega.Receive(gomega.BeNil()))
}
