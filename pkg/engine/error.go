package engine

import "fmt"

// Error codes. A backend server may send others.
const (
	CodeBadRequest     = "bad_request"
	CodeUnknownAttempt = "unknown_attempt" // the engine holds no KV cache for the attempt
	CodeStaleFence     = "stale_fence"
	CodeFull           = "full"
	CodeLeaving        = "leaving"
	CodeConnect        = "connect"      // the connection could not be opened
	CodeConnectionLost = "broken"       // the connection failed before the answer was complete
	CodeCancelled      = "cancelled"    // the caller's context was cancelled
	CodeTimeout        = "timeout"      // the caller's deadline or the chunk timeout passed
	CodeMalformed      = "malformed"    // the answer could not be parsed
	CodeWrongRef       = "wrong_ref"    // the answer belongs to another attempt
	CodeWrongOffset    = "wrong_offset" // a chunk repeats or skips tokens
	CodeIncomplete     = "incomplete"   // the stream ended before its last chunk
	CodeUnexpected     = "unexpected"   // an error status without a code
)

// Error is a failed call to a backend server.
type Error struct {
	Step   string // the call, such as "decode"
	Peer   string // address
	Code   string
	NotRun bool // the backend server is known not to have started the work
	Err    error
}

// Error returns the step, the peer, the code and the cause as one text.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s at %s: %s", e.Step, e.Peer, e.Code)
	}
	return fmt.Sprintf("%s at %s: %s: %v", e.Step, e.Peer, e.Code, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Refused reports whether the backend server itself rejected the call. It is then
// alive, although it did not do the work.
func (e *Error) Refused() bool {
	switch e.Code {
	case CodeBadRequest, CodeUnknownAttempt, CodeStaleFence, CodeFull, CodeLeaving:
		return true
	}
	return false
}
