package entryhost

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"go.uber.org/zap/zapcore"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/ingress"
	"github.com/mulberrystream/mulberrystream/pkg/limits"
)

// Settings holds the flags and environment variables of an entry host.
type Settings struct {
	Host        string `arg:"--host,env:MULBERRYSTREAM_HOST,required" help:"name of this entry host, unique in the fleet"`
	Domain      string `arg:"--domain,env:MULBERRYSTREAM_DOMAIN,required" help:"failure domain of this entry host, as in the rules"`
	Slot        int    `arg:"--slot,env:MULBERRYSTREAM_SLOT" default:"0" help:"slot in the failure domain, 0 to slots-1 of the domain's rule; each slot mints an equal part of every rate"`
	Listen      string `arg:"--listen,env:MULBERRYSTREAM_LISTEN" default:"127.0.0.1:8080" help:"IP:port for callers"`
	PeerListen  string `arg:"--peer-listen,env:MULBERRYSTREAM_PEER_LISTEN" default:"127.0.0.1:8081" help:"IP:port for other entry hosts"`
	PeerAddr    string `arg:"--peer-addr,env:MULBERRYSTREAM_PEER_ADDR" help:"IP:port that other entry hosts use; default: the address listened on"`
	AdminListen string `arg:"--admin-listen,env:MULBERRYSTREAM_ADMIN_LISTEN" default:"127.0.0.1:8082" help:"IP:port for operators: /status /slo /metrics /loglevel /healthz /readyz"`
	Platform    string `arg:"--platform,env:MULBERRYSTREAM_PLATFORM,required" help:"IP:port of the platform's configuration service and host list"`

	CallerCert string `arg:"--caller-cert,env:MULBERRYSTREAM_CALLER_CERT" help:"PEM file with the certificate presented to callers; reloaded when it changes"`
	CallerKey  string `arg:"--caller-key,env:MULBERRYSTREAM_CALLER_KEY" help:"PEM file with its private key"`
	PeerCert   string `arg:"--peer-cert,env:MULBERRYSTREAM_PEER_CERT" help:"PEM file with this host's certificate for connections to peers; reloaded when it changes"`
	PeerKey    string `arg:"--peer-key,env:MULBERRYSTREAM_PEER_KEY" help:"PEM file with its private key"`
	PeerCA     string `arg:"--peer-ca,env:MULBERRYSTREAM_PEER_CA" help:"PEM file with the CA certificate that signs the fleet's certificates"`
	Plaintext  bool   `arg:"--plaintext,env:MULBERRYSTREAM_PLAINTEXT" help:"serve callers and peers without TLS where no certificate is set"`

	FirstTokenTarget time.Duration `arg:"--first-token-target,env:MULBERRYSTREAM_FIRST_TOKEN_TARGET" default:"950ms" help:"target time from arrival to the first token, used for admission"`
	SlotQuarantine   time.Duration `arg:"--slot-quarantine,env:MULBERRYSTREAM_SLOT_QUARANTINE" default:"5s" help:"wait before a new process mints tokens for its slot; must be at least 4.25s, after which an isolated predecessor and its loans have ended"`
	RoleOrders       bool          `arg:"--role-orders,env:MULBERRYSTREAM_ROLE_ORDERS" help:"let pool owners switch engines between prefill and decode according to demand"`
	DrainLinger      time.Duration `arg:"--drain-linger,env:MULBERRYSTREAM_DRAIN_LINGER" default:"1s" help:"time during which a stopping host still accepts requests after it reports not ready"`
	DrainLimit       time.Duration `arg:"--drain-limit,env:MULBERRYSTREAM_DRAIN_LIMIT" default:"10m" help:"maximum duration of a graceful shutdown; requests still running then are aborted"`
	LogLevel         string        `arg:"--log-level,env:MULBERRYSTREAM_LOG_LEVEL" default:"info" help:"debug, info, warn or error; can be changed at run time on /loglevel"`

	MemoryMB int `arg:"--memory-mb,env:MULBERRYSTREAM_MEMORY_MB" default:"0" help:"memory limit of the process in MiB, from which the limits of connections and bodies are derived; 0: none"`
	MaxFDs   int `arg:"--max-fds,env:MULBERRYSTREAM_MAX_FDS" default:"0" help:"limit of open descriptors of the process, of which 200 are for files; 0: none"`
	ingress.Settings
}

// ingress returns the limits of callers, which are the defaults if none are set.
func (s Settings) ingress() ingress.Settings {
	if s.Settings == (ingress.Settings{}) {
		return ingress.DefaultSettings()
	}
	return s.Settings
}

// Description returns the first paragraph of the help text.
func (Settings) Description() string {
	return "mulberrystream routes requests to pools of prefill and decode engines and to plain services.\n" +
		"Durations are written with a unit, as in 950ms or 5s."
}

// maxSlot is the highest slot number: heartbeats encode slots as one byte.
const maxSlot = 255

// Validate validates the settings and returns all errors, each with the name, the
// value and the allowed values.
func (s Settings) Validate() error {
	var errs []error
	invalid := func(name string, value any, allowed string) {
		errs = append(errs, fmt.Errorf("setting --%s is %q: %s", name, fmt.Sprint(value), allowed))
	}
	if s.Host == "" {
		invalid("host", s.Host, "want a name that is unique in the fleet")
	}
	if s.Domain == "" {
		invalid("domain", s.Domain, "want the name of a failure domain")
	}
	if s.Slot < 0 || s.Slot > maxSlot {
		invalid("slot", s.Slot, fmt.Sprintf("want 0 to %d", maxSlot))
	}
	s.checkAddresses(invalid)
	s.checkFiles(invalid)
	if s.FirstTokenTarget <= 0 {
		invalid("first-token-target", s.FirstTokenTarget, "want a duration above 0")
	}
	tokens := limits.DefaultConfig(ident.Process{}, "")
	tokens.Quarantine = s.SlotQuarantine
	if err := tokens.Validate(); err != nil {
		invalid("slot-quarantine", s.SlotQuarantine, err.Error())
	}
	if s.DrainLinger < 0 {
		invalid("drain-linger", s.DrainLinger, "want 0 or more")
	}
	if s.DrainLimit <= s.DrainLinger {
		invalid("drain-limit", s.DrainLimit, "want more than --drain-linger")
	}
	if s.MemoryMB < 0 {
		invalid("memory-mb", s.MemoryMB, "want 0 or more")
	}
	if s.MaxFDs < 0 {
		invalid("max-fds", s.MaxFDs, "want 0 or more")
	}
	errs = append(errs, s.ingress().Validate())
	if _, err := zapcore.ParseLevel(s.LogLevel); err != nil {
		invalid("log-level", s.LogLevel, "want debug, info, warn or error")
	}
	return errors.Join(errs...)
}

func (s Settings) checkAddresses(invalid func(string, any, string)) {
	listen := []struct{ name, value string }{
		{"listen", s.Listen}, {"peer-listen", s.PeerListen}, {"admin-listen", s.AdminListen}, {"platform", s.Platform},
	}
	for _, l := range listen {
		if err := checkAddr(l.value); err != nil {
			invalid(l.name, l.value, err.Error())
		}
	}
	if s.PeerAddr == "" {
		return
	}
	if err := checkAddr(s.PeerAddr); err != nil {
		invalid("peer-addr", s.PeerAddr, err.Error())
	}
}

var errAddr = errors.New("want IP:port, as in 10.0.0.7:8080 or [::1]:8080")

func checkAddr(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || net.ParseIP(host) == nil {
		return errAddr
	}
	n, err := strconv.Atoi(port)
	if err != nil || n < 0 || n > 65535 {
		return errAddr
	}
	return nil
}

func (s Settings) checkFiles(invalid func(string, any, string)) {
	if (s.CallerCert == "") != (s.CallerKey == "") {
		invalid("caller-cert", s.CallerCert, "--caller-cert and --caller-key must be set together")
	}
	if (s.PeerCert == "") != (s.PeerKey == "") || (s.PeerCert == "") != (s.PeerCA == "") {
		invalid("peer-cert", s.PeerCert, "--peer-cert, --peer-key and --peer-ca must be set together")
	}
	if s.Plaintext {
		return
	}
	if s.CallerCert == "" {
		invalid("caller-cert", s.CallerCert, "want a certificate, or --plaintext")
	}
	if s.PeerCert == "" {
		invalid("peer-cert", s.PeerCert, "want a certificate, or --plaintext")
	}
}

func (s Settings) process(start time.Time) ident.Process {
	return ident.Process{Host: ident.HostID(s.Host), Incarnation: ident.Incarnation(start.UnixMilli())}
}
