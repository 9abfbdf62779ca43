package ingress

import (
	"errors"
	"fmt"
	"time"
)

// Settings are the limits that operators can set by flag or environment variable. The defaults
// are above what well-behaved callers need: heads of 16 KiB that arrive within 3 s, bodies of
// 4 MiB within a deadline of 14 s, connections that are reused after 12 s.
type Settings struct {
	HeaderBytes   int           `arg:"--max-header-bytes,env:MULBERRYSTREAM_MAX_HEADER_BYTES" default:"24576" help:"most bytes of a request's head"`
	HeaderFields  int           `arg:"--max-header-fields,env:MULBERRYSTREAM_MAX_HEADER_FIELDS" default:"256" help:"most header fields of a request"`
	HeaderTimeout time.Duration `arg:"--header-timeout,env:MULBERRYSTREAM_HEADER_TIMEOUT" default:"8s" help:"longest time from the first to the last byte of a request's head"`
	BodyTimeout   time.Duration `arg:"--body-timeout,env:MULBERRYSTREAM_BODY_TIMEOUT" default:"15s" help:"longest time in which a request's body arrives"`
	RateGrace     time.Duration `arg:"--rate-grace,env:MULBERRYSTREAM_RATE_GRACE" default:"5s" help:"time of a body after which --min-body-rate applies"`
	BodyRate      int           `arg:"--min-body-rate,env:MULBERRYSTREAM_MIN_BODY_RATE" default:"1024" help:"bytes per second that a caller must send of a body on average after --rate-grace"`
	WriteStall    time.Duration `arg:"--write-stall,env:MULBERRYSTREAM_WRITE_STALL" default:"10s" help:"longest time in which a caller takes 16 KiB of a response"`
	MaxCallers    int           `arg:"--max-caller-connections,env:MULBERRYSTREAM_MAX_CALLER_CONNECTIONS" default:"0" help:"most connections of callers; 0: derived from the limits of memory and descriptors"`
	SocketBuffer  int           `arg:"--socket-buffer,env:MULBERRYSTREAM_SOCKET_BUFFER" default:"65536" help:"bytes of each of the kernel's two buffers of a connection; 0: chosen by the kernel"`
}

// DefaultSettings returns the defaults of the flags.
func DefaultSettings() Settings {
	return Settings{
		HeaderBytes:   24 << 10,
		HeaderFields:  256,
		HeaderTimeout: 8 * time.Second,
		BodyTimeout:   15 * time.Second,
		RateGrace:     5 * time.Second,
		BodyRate:      1 << 10,
		WriteStall:    10 * time.Second,
		SocketBuffer:  64 << 10,
	}
}

// Validate returns an error for each invalid setting, with the name of its flag.
func (s Settings) Validate() error {
	var errs []error
	atLeast := func(flag string, value, least int) {
		if value < least {
			errs = append(errs, fmt.Errorf("setting --%s is %d: want %d or more", flag, value, least))
		}
	}
	positive := func(flag string, d time.Duration) {
		if d <= 0 {
			errs = append(errs, fmt.Errorf("setting --%s is %s: want a duration above 0", flag, d))
		}
	}
	atLeast("max-header-bytes", s.HeaderBytes, bufferBytes)
	atLeast("max-header-fields", s.HeaderFields, 1)
	atLeast("min-body-rate", s.BodyRate, 0)
	atLeast("max-caller-connections", s.MaxCallers, 0)
	atLeast("socket-buffer", s.SocketBuffer, 0)
	positive("header-timeout", s.HeaderTimeout)
	positive("body-timeout", s.BodyTimeout)
	positive("rate-grace", s.RateGrace)
	positive("write-stall", s.WriteStall)
	return errors.Join(errs...)
}

// bufferBytes is the size of the read buffers of net/http.
const bufferBytes = 4 << 10

// Shares of the memory limit. The rest is for the program itself, which needs about 20 MB, for
// answers of servers that are being received (an eighth), and for memory that the garbage
// collector has not freed yet.
const (
	connShare = 0.25
	bodyShare = 0.30 // request bodies and heads
	// largeShare is the part of the memory limit that bodies above SmallBody may use. Heads and
	// small bodies have the rest of bodyShare: 300 streams with prompts of 25 KB at 112 MB.
	largeShare = 0.22
	// minLarge lets at least one body of the largest common size be read.
	minLarge = 4 << 20
)

// SmallBody is the size in bytes up to which a body is small.
const SmallBody = 64 << 10

const (
	// connBytes is the memory of a connection with its goroutine, buffers and a usual head.
	connBytes = 24 << 10
	// fileFDs are the descriptors that the platform reserves for files.
	fileFDs = 200
	// inboundFDShare is the share of the other descriptors for inbound connections. The rest is
	// for servers, peers and the store.
	inboundFDShare = 0.5
	// closingShare is how many connections that are being closed may exist for each open one.
	closingShare = 0.25
	// minClosing lets listeners with few connections replace them while the goroutines of
	// closed ones end.
	minClosing = 8
	// unlimitedConns bounds the connections of processes without limits.
	unlimitedConns = 64 << 10
)

// Role is what a listener is for.
type Role int

// Roles of listeners.
const (
	Callers Role = iota
	Peers
	Readiness
	Metrics
)

func (r Role) String() string {
	return [...]string{"callers", "peers", "readiness", "metrics"}[r]
}

// connShares are the shares of the inbound connections for each role. A host that reads the
// store for others has a connection from every host of its failure domain.
var connShares = [...]float64{Callers: 0.55, Peers: 0.30, Readiness: 0.10, Metrics: 0.05}

// minConns are the fewest connections of each role.
var minConns = [...]int{Callers: 32, Peers: 16, Readiness: 8, Metrics: 4}

// plan holds the limits that follow from the limits of the process.
type plan struct {
	conns     [4]int // by role
	body      int64  // bytes; 0 is unlimited
	largeBody int64
}

// newPlan derives the limits of a process with a memory limit in bytes and a limit of
// descriptors; 0 is none.
func newPlan(s Settings, memory int64, maxFDs int) plan {
	p := plan{}
	total := unlimitedConns
	if memory > 0 {
		p.largeBody = max(minLarge, int64(float64(memory)*largeShare))
		p.body = max(int64(float64(memory)*bodyShare), p.largeBody+minLarge/4)
		total = min(total, int(float64(memory)*connShare/connBytes))
	}
	if maxFDs > 0 {
		total = min(total, int(float64(max(0, maxFDs-fileFDs))*inboundFDShare))
	}
	open := float64(total) / (1 + closingShare)
	for role, share := range connShares {
		p.conns[role] = max(minConns[role], int(open*share))
	}
	if s.MaxCallers > 0 {
		p.conns[Callers] = s.MaxCallers
	}
	return p
}
