package faultproxy

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// Status is the state of a proxy.
type Status struct {
	Addr   string `json:"addr"`
	Target string `json:"target"`
	Open   int    `json:"open"`
	Total  int    `json:"total"`
	Faults Faults `json:"faults"`
}

// ServeHTTP controls the proxy:
//
//	GET  .../status
//	POST .../faults                                  JSON Faults
//	POST .../silence, .../reset, .../reset_one
//	POST .../half_close?to=client|server
//	POST .../cut_after?to=client|server&bytes=N
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(Status{
			Addr: p.Addr(), Target: p.Target(), Open: p.Open(), Total: p.Total(), Faults: p.Faults(),
		})
	})
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.Set(f)
	})
	mux.HandleFunc("POST /silence", func(http.ResponseWriter, *http.Request) { p.Silence() })
	mux.HandleFunc("POST /reset", func(http.ResponseWriter, *http.Request) { p.Reset() })
	mux.HandleFunc("POST /reset_one", func(http.ResponseWriter, *http.Request) { p.ResetOne() })
	mux.HandleFunc("POST /half_close", func(_ http.ResponseWriter, r *http.Request) { p.HalfClose(directionParam(r)) })
	mux.HandleFunc("POST /cut_after", func(w http.ResponseWriter, r *http.Request) {
		n, err := strconv.Atoi(r.URL.Query().Get("bytes"))
		if err != nil || n < 0 {
			http.Error(w, "bytes: want a number from zero", http.StatusBadRequest)
			return
		}
		p.CutAfter(directionParam(r), n)
	})
	mux.ServeHTTP(w, r)
}

// directionParam returns the direction in the query parameter "to"; the default is
// to the client.
func directionParam(r *http.Request) Direction {
	if r.URL.Query().Get("to") == "server" {
		return ToServer
	}
	return ToClient
}
