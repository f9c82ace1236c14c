package rpc

import (
	"sync"

	"gladepick/internal/network"
)

// Pool has one client for each address. It may be used concurrently. It never removes a client.
type Pool struct {
	network network.Network

	mutex   sync.Mutex // guards what follows
	clients map[string]*Client
	closed  bool
}

// NewPool makes an empty pool.
func NewPool(network network.Network) *Pool {
	return &Pool{network: network, clients: map[string]*Client{}}
}

// Get returns the client of the process at an address, "ip:port". The pool closes it.
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
