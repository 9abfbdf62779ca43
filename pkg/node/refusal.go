package node

// Ran tells whether a refused request was executed.
type Ran string

// Values of Ran. NotRun is used only if no backend server can have started the
// request.
const (
	NotRun     Ran = "not run"
	DidRun     Ran = "ran"
	RanUnknown Ran = "unknown"
)

// Code is a stable error code that callers can rely on.
type Code string

// Codes of refusals.
const (
	CodeNotReady        Code = "not_ready"
	CodeShuttingDown    Code = "shutting_down"
	CodeInvalidKey      Code = "invalid_key"
	CodeKeyWithdrawn    Code = "key_withdrawn"
	CodeNotAllowed      Code = "not_allowed"
	CodeUnknownModel    Code = "unknown_model"
	CodeUnknownRoute    Code = "unknown_route"
	CodeStaleConfig     Code = "stale_configuration"
	CodeRateLimited     Code = "rate_limited"
	CodeAboveBurst      Code = "above_burst"
	CodeRecalled        Code = "recalled"
	CodeOverloaded      Code = "overloaded"
	CodeBackendFailed   Code = "backend_failed"
	CodeOutcomeUnknown  Code = "outcome_unknown"
	CodeInProgress      Code = "in_progress"
	CodeKeyReuse        Code = "idempotency_key_reused"
	CodeNoBackend       Code = "no_backend"
	CodeInternalFailure Code = "internal_failure"
)
