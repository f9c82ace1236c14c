package workerlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"gladepick/internal/cluster"
)

const (
	instancesPath   = "/instances"
	pageTokenField  = "page-token"
	stateDraining   = "draining"
	pageCountLimit  = 1000
	pageLengthLimit = 16 << 20 // bytes
)

// instancePage is a page of the platform's list of workers.
type instancePage struct {
	Instances []instance `json:"instances"`
	NextToken *string    `json:"next-token"`
}

// instance is one entry of the platform's list.
type instance struct {
	ID           string  `json:"id"`
	Service      string  `json:"service"`
	Address      string  `json:"address"`
	Zone         string  `json:"zone"`
	Version      string  `json:"version"`
	Capacity     float64 `json:"capacity"`
	State        string  `json:"state"`
	WarmupLeftMS float64 `json:"warmup-left-ms"`
}

// Read reads all pages of the platform's list of workers and returns the workers sorted by id, each id once. The
// address is "ip:port".
func Read(ctx context.Context, client *http.Client, address string) ([]cluster.Worker, error) {
	var workers []cluster.Worker
	token := ""
	for range pageCountLimit {
		page, err := readPage(ctx, client, address, token)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		for i := range page.Instances {
			workers = append(workers, page.Instances[i].worker())
		}
		if page.NextToken == nil || *page.NextToken == "" {
			slices.SortFunc(workers, func(a, b cluster.Worker) int { return strings.Compare(a.ID, b.ID) })
			return slices.CompactFunc(workers, func(a, b cluster.Worker) bool { return a.ID == b.ID }), nil
		}
		token = *page.NextToken
	}
	return nil, trace.LimitExceeded("the list of workers has more than %d pages", pageCountLimit)
}

func (i *instance) worker() cluster.Worker {
	return cluster.Worker{
		ID:                i.ID,
		Service:           i.Service,
		Address:           i.Address,
		Zone:              i.Zone,
		Version:           i.Version,
		Capacity:          int(i.Capacity),
		Draining:          i.State == stateDraining,
		WarmupRemainingMS: int64(i.WarmupLeftMS),
	}
}

func readPage(ctx context.Context, client *http.Client, address, token string) (*instancePage, error) {
	target := url.URL{Scheme: "http", Host: address, Path: instancesPath}
	if token != "" {
		target.RawQuery = url.Values{pageTokenField: {token}}.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, pageLengthLimit))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, trace.ConnectionProblem(nil, "the list of workers: unexpected HTTP status %d", response.StatusCode)
	}
	page := &instancePage{}
	if err := json.Unmarshal(body, page); err != nil {
		return nil, trace.Wrap(err, "decoding the list of workers")
	}
	return page, nil
}
