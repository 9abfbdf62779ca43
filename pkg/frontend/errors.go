package frontend

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mulberrystream/mulberrystream/pkg/node"
)

// Codes of refusals that originate in the front end.
const (
	codeBadRequest  node.Code = "bad_request"
	codeContentType node.Code = "unsupported_content_type"
	codeMethod      node.Code = "method_not_allowed"
	codeMissingKey  node.Code = "missing_key"
)

// errorBody is the JSON of an error.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code      node.Code `json:"code"`
	Message   string    `json:"message"`
	Ran       node.Ran  `json:"ran"`
	RequestID string    `json:"request_id,omitempty"`
}

func encodeError(r node.Refuse) []byte {
	body, err := json.Marshal(errorBody{Error: errorDetail{
		Code:      r.Code,
		Message:   r.Detail,
		Ran:       r.Ran,
		RequestID: string(r.ID),
	}})
	if err != nil {
		// Strings always marshal.
		panic(err)
	}
	return body
}

// writeRefusal responds with the status, JSON body and Retry-After header of a
// refusal.
func writeRefusal(ctx *fasthttp.RequestCtx, r node.Refuse) {
	ctx.Response.Reset()
	ctx.SetStatusCode(statusOf(r.Code))
	ctx.SetContentType("application/json")
	if r.RetryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", retryAfter(r.RetryAfter))
	}
	ctx.SetBody(encodeError(r))
}

// retryAfter rounds up to whole seconds, since a caller that retries too early is
// refused again.
func retryAfter(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

func refuse(ctx *fasthttp.RequestCtx, code node.Code, detail string) {
	writeRefusal(ctx, node.Refuse{Code: code, Ran: node.NotRun, Detail: detail})
}

func statusOf(c node.Code) int {
	switch c {
	case codeBadRequest, node.CodeAboveBurst:
		return fasthttp.StatusBadRequest
	case codeMissingKey, node.CodeInvalidKey, node.CodeKeyWithdrawn:
		return fasthttp.StatusUnauthorized
	case node.CodeNotAllowed:
		return fasthttp.StatusForbidden
	case node.CodeUnknownModel, node.CodeUnknownRoute:
		return fasthttp.StatusNotFound
	case codeMethod:
		return fasthttp.StatusMethodNotAllowed
	case node.CodeInProgress, node.CodeKeyReuse:
		return fasthttp.StatusConflict
	case codeContentType:
		return fasthttp.StatusUnsupportedMediaType
	case node.CodeRateLimited:
		return fasthttp.StatusTooManyRequests
	case node.CodeBackendFailed, node.CodeOutcomeUnknown:
		return fasthttp.StatusBadGateway
	}
	return fasthttp.StatusServiceUnavailable
}
