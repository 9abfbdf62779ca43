package frontend

import "time"

// Config is the configuration of a Server.
type Config struct {
	// MaxBodyBytes limits the size of a request body. The longest prompts in use
	// have some tens of thousands of tokens, which is well below a megabyte.
	MaxBodyBytes int
	// MaxHeaderBytes limits the size of the request headers.
	MaxHeaderBytes int
	// MaxTokens is the highest max_tokens that a request may ask for.
	MaxTokens int
	// DefaultMaxTokens is used when a request does not set max_tokens.
	DefaultMaxTokens int
	// ReadTimeout limits the time to read one request, so that slow senders do not
	// occupy connections for long.
	ReadTimeout time.Duration
	// IdleTimeout is how long a keep-alive connection may stay without requests.
	IdleTimeout time.Duration
	// WriteTimeout limits each write to a caller that does not read.
	WriteTimeout time.Duration
	// DisconnectPollInterval is the interval at which the connection of a waiting
	// caller is polled for disconnection. It bounds how long engine memory stays
	// allocated after the caller has disconnected; each poll is one system call.
	DisconnectPollInterval time.Duration
	// StreamKeepAlive is how long a stream may be idle before a comment line is
	// sent, so that a connection whose remote state is lost is detected.
	StreamKeepAlive time.Duration
	// InterTokenTarget is the longest time between two tokens that the SLO burn
	// report counts as within the target.
	InterTokenTarget time.Duration
	// TCP keep-alive settings of caller connections: a connection whose peer does
	// not answer is closed after ProbeIdle + ProbeCount x ProbeInterval.
	ProbeIdle     time.Duration
	ProbeInterval time.Duration
	ProbeCount    int
	// UnackedTimeout is how long sent data may stay unacknowledged before the
	// connection is closed. Keep-alive probes do not run while data is
	// unacknowledged, and the kernel would otherwise retransmit for 15 minutes.
	UnackedTimeout time.Duration
	// Concurrency limits the number of connections served concurrently.
	Concurrency int
}

// DefaultConfig returns the settings of a production host.
func DefaultConfig() Config {
	return Config{
		MaxBodyBytes:           4 << 20,
		MaxHeaderBytes:         16 << 10,
		MaxTokens:              32768,
		DefaultMaxTokens:       256,
		ReadTimeout:            10 * time.Second,
		IdleTimeout:            time.Minute,
		WriteTimeout:           10 * time.Second,
		DisconnectPollInterval: 50 * time.Millisecond,
		StreamKeepAlive:        2 * time.Second,
		InterTokenTarget:       39 * time.Millisecond,
		ProbeIdle:              2 * time.Second,
		ProbeInterval:          time.Second,
		ProbeCount:             3,
		UnackedTimeout:         5 * time.Second,
		Concurrency:            64 << 10,
	}
}
