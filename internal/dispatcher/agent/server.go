package agent

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
)

// Serve serves HTTP requests on a loopback listener until ctx ends.
func (a *Agent) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{Handler: a.handler(), ReadTimeout: a.limits.RequestTimeout, WriteTimeout: a.limits.RequestTimeout}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// handler returns the routes of the agent.
func (a *Agent) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", a.serveStatus)
	mux.HandleFunc("GET /members", a.forward)
	mux.HandleFunc("GET /leases", a.forward)
	mux.HandleFunc("POST /drain", a.command(a.Drain))
	mux.HandleFunc("POST /start", a.command(a.StartInstance))
	mux.HandleFunc("POST /reload", a.command(a.Reload))
	return mux
}

// serveStatus responds with the statuses of all instances.
func (a *Agent) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(a.Statuses())
}

// forward sends the request to an instance, and responds with the instance's JSON.
func (a *Agent) forward(w http.ResponseWriter, r *http.Request) {
	in, err := a.find(r.FormValue("instance"))
	var answer json.RawMessage
	if err == nil {
		target := "http://" + in.config.Listen + r.URL.Path + "?key=" + url.QueryEscape(r.FormValue("key"))
		err = fetchJSON(r.Context(), newClient(), a.limits.ReplyBytes, http.MethodGet, target, &answer)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(answer)
}

// command returns a handler that calls action with the name of the instance in the request.
func (a *Agent) command(action func(name string) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, a.limits.RequestBytes)
		if err := action(r.FormValue("instance")); err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		io.WriteString(w, "{}\n")
	}
}
