package frontend

import "time"

// Config sets up a Server.
type Config struct {
	// MaxBodyBytes bounds the body of a request. The longest prompt in use is some
	// tens of thousands of tokens, which is well below a megabyte.
	MaxBodyBytes int
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes int
	// MaxTokens bounds max_tokens of a request.
	MaxTokens int
	// DefaultMaxTokens is used when a request does not say max_tokens.
	DefaultMaxTokens int
	// ReadTimeout bounds the reading of one request, so that slow senders hold no
	// connection for long.
	ReadTimeout time.Duration
	// IdleTimeout closes a kept-alive connection without requests.
	IdleTimeout time.Duration
	// WriteTimeout bounds each write to a caller that does not read.
	WriteTimeout time.Duration
	// WatchInterval is the time between two looks at a caller's connection while
	// it waits. It bounds how long engine memory outlives its caller; each look is
	// one system call.
	WatchInterval time.Duration
	// KeepAlive is the time of silence in a stream after which a comment line is
	// sent, so that a caller's connection that lost its state is found.
	KeepAlive time.Duration
	// InterTokenTarget is the time between two tokens that counts as in target in
	// the SLO burn report.
	InterTokenTarget time.Duration
	// Probe settings of the caller's TCP connection: a connection whose other end
	// does not answer is closed after ProbeIdle + ProbeCount x ProbeInterval.
	ProbeIdle     time.Duration
	ProbeInterval time.Duration
	ProbeCount    int
	// UnackedTimeout closes a connection whose other end has not acknowledged what
	// was sent for so long. Probes do not run while data is unacknowledged, and the
	// kernel would otherwise retransmit for a quarter of an hour.
	UnackedTimeout time.Duration
	// Concurrency bounds the connections served at once.
	Concurrency int
}

// DefaultConfig returns the settings of a production host.
func DefaultConfig() Config {
	return Config{
		MaxBodyBytes:     4 << 20,
		MaxHeaderBytes:   16 << 10,
		MaxTokens:        32768,
		DefaultMaxTokens: 256,
		ReadTimeout:      10 * time.Second,
		IdleTimeout:      time.Minute,
		WriteTimeout:     10 * time.Second,
		WatchInterval:    50 * time.Millisecond,
		KeepAlive:        2 * time.Second,
		InterTokenTarget: 39 * time.Millisecond,
		ProbeIdle:        2 * time.Second,
		ProbeInterval:    time.Second,
		ProbeCount:       3,
		UnackedTimeout:   5 * time.Second,
		Concurrency:      64 << 10,
	}
}
