package rpc

import (
	"sync"

	"gladepick/internal/network"
)

// Pool keeps one client for each address. It never removes a client. It is safe for concurrent use.
type Pool struct {
	network network.Network

	mutex   sync.Mutex // guards the fields below
	clients map[string]*Client
	closed  bool
}

// NewPool returns an empty pool.
func NewPool(network network.Network) *Pool {
	return &Pool{network: network, clients: map[string]*Client{}}
}

// Get returns the client of the process at an address, "ip:port". The pool owns the client and closes it.
func (p *Pool) Get(address string) *Client {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	client := p.clients[address]
	if client == nil {
		client = NewClient(p.network, address)
		p.clients[address] = client
		if p.closed {
			client.Close()
		}
	}
	return client
}

// Close closes all clients. Calls made later fail with ErrNotSent.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, client := range p.clients {
		client.Close()
	}
}
