// Command mulberryfake runs a fake deployment on loopback: engines, plain services,
// the configuration service and the host list. It prints their addresses as one
// line of JSON and serves an admin API (see fake.Deployment.Admin).
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/mulberrystream/mulberrystream/internal/fake"
	"github.com/mulberrystream/mulberrystream/internal/load"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/platform"
)

type settings struct {
	Deployment  string        `arg:"--deployment,env:MULBERRYFAKE_DEPLOYMENT" default:"bagmati" help:"bagmati or adwenpa"`
	Rules       string        `arg:"--rules,env:MULBERRYFAKE_RULES" help:"file published as revision 1"`
	EntryHosts  string        `arg:"--entry-hosts,env:MULBERRYFAKE_ENTRY_HOSTS" help:"id=addr:domain:slot,..."`
	TimeScale   float64       `arg:"--time-scale,env:MULBERRYFAKE_TIME_SCALE" default:"1" help:"factor on all simulated times"`
	Listen      string        `arg:"--listen,env:MULBERRYFAKE_LISTEN" default:"127.0.0.1:0" help:"admin address"`
	Seed        uint64        `arg:"--seed,env:MULBERRYFAKE_SEED" default:"1"`
	HostListLag time.Duration `arg:"--host-list-lag,env:MULBERRYFAKE_HOST_LIST_LAG" default:"1s"`
	RateScale   float64       `arg:"--rate-scale" default:"1" help:"factor on the rates and bursts of the rules"`
	IgnoreFence bool          `arg:"--ignore-fence" help:"engines accept stale fencing tokens"`
}

func (settings) Description() string {
	return "mulberryfake runs fake engines, plain services and a fake platform on loopback."
}

func main() {
	var s settings
	arg.MustParse(&s)
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, "mulberryfake:", err)
		os.Exit(1)
	}
}

func run(s settings) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	d, err := startDeployment(s)
	if err != nil {
		return err
	}
	defer d.Close()
	ln, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("admin address: %w", err)
	}
	srv := &http.Server{Handler: d.Admin(), ReadHeaderTimeout: 10 * time.Second}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(ln) }()
	st := d.Status()
	st.Admin = ln.Addr().String()
	if err := json.NewEncoder(os.Stdout).Encode(st); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return srv.Close()
	case err := <-failed:
		return err
	}
}

func startDeployment(s settings) (*fake.Deployment, error) {
	timing := fake.DefaultTiming()
	timing.Scale = s.TimeScale
	opt := fake.Options{Timing: &timing, Seed: s.Seed, HostListLag: s.HostListLag, IgnoreFence: s.IgnoreFence}
	var err error
	if opt.EntryHosts, err = parseEntryHosts(s.EntryHosts); err != nil {
		return nil, err
	}
	if s.Rules != "" {
		text, err := os.ReadFile(s.Rules)
		if err != nil {
			return nil, err
		}
		if opt.Rules, err = load.ScaleRates(string(text), s.RateScale); err != nil {
			return nil, err
		}
	}
	plan, err := fake.PlanOf(s.Deployment)
	if err != nil {
		return nil, err
	}
	return fake.Start(plan, opt)
}

var errEntryHost = errors.New("want id=ip:port:domain:slot")

// parseEntryHosts parses a list such as "teku-0=127.0.0.1:9000:teku:0,...".
func parseEntryHosts(list string) ([]platform.EntryHost, error) {
	var out []platform.EntryHost
	if list == "" {
		return nil, nil
	}
	for item := range strings.SplitSeq(list, ",") {
		id, rest, ok := strings.Cut(item, "=")
		parts := strings.Split(rest, ":")
		if !ok || len(parts) != 4 {
			return nil, fmt.Errorf("entry host %q: %w", item, errEntryHost)
		}
		slot, err := strconv.Atoi(parts[3])
		if err != nil {
			return nil, fmt.Errorf("entry host %q: slot: %w", item, err)
		}
		out = append(out, platform.EntryHost{
			ID:     ident.HostID(id),
			Addr:   parts[0] + ":" + parts[1],
			Domain: ident.FailureDomain(parts[2]),
			Slot:   ident.Slot(slot),
		})
	}
	return out, nil
}
