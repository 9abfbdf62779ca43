package frontend

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"github.com/mulberrystream/mulberrystream/pkg/node"
)

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// handleModels lists the models that the caller's organisation is allowed to use.
func (s *Server) handleModels(ctx *fasthttp.RequestCtx) {
	if !ctx.IsGet() {
		refuse(ctx, codeMethod, "use GET")
		return
	}
	caller, ok := s.authenticate(ctx)
	if !ok {
		return
	}
	rules := s.router.Rules().Rules
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, m := range rules.Models() {
		if !rules.Allowed(caller.org, m.Name) {
			continue
		}
		list.Data = append(list.Data, modelEntry{ID: string(m.Name), Object: "model", OwnedBy: "mulberrystream"})
	}
	writeJSON(ctx, list)
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		refuse(ctx, node.CodeInternalFailure, "the answer could not be encoded")
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
