package controlplane_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"

	"gotest.tools/v3/assert"
)

// platform is a fake of the platform's list of workers.
type platform struct {
	mutex     sync.Mutex
	instances []map[string]any
	calls     int
	server    *http.Server
}

func startPlatform(sim *simulation) *platform {
	p := &platform{}
	p.server = &http.Server{Handler: http.HandlerFunc(p.serve)}
	listener, err := sim.network.Host(platformIP).Listen(platformAddress)
	assert.NilError(sim.t, err)
	go func() { _ = p.server.Serve(listener) }()
	return p
}

func (p *platform) stop() { _ = p.server.Close() }

func (p *platform) set(instances ...map[string]any) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.instances = instances
}

// serve serves the list in pages of two entries.
func (p *platform) serve(writer http.ResponseWriter, request *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.calls++
	begin := 0
	_, _ = fmt.Sscanf(request.URL.Query().Get("page-token"), "p-%d", &begin)
	end := min(begin+2, len(p.instances))
	page := map[string]any{"instances": p.instances[begin:end], "next-token": nil}
	if end < len(p.instances) {
		page["next-token"] = fmt.Sprintf("p-%d", end)
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(page)
}
