package testenv

import (
	"net"
	"slices"
	"sync"
)

// Broker is a small AMQP 0-9-1 broker: the default exchange, queues, confirms, returns and redelivery. A message's
// properties pass through as the bytes that came.
type Broker struct {
	mu          sync.Mutex
	queues      map[string]*queue
	connections map[*brokerConnection]bool
	named       int
	NacksLeft   int // so many of the next confirms are nacks
	Acked       int // deliveries acked
	Rejected    int // deliveries rejected without requeue
}

type queue struct {
	waiting   []message
	consumers []*consumer
}

type message struct {
	key, head, body []byte
	redelivered     bool
}

type consumer struct {
	link    *brokerConnection
	channel uint16
	tag     string
	autoAck bool
	queue   string
}

type unackedDelivery struct {
	message
	from    *consumer
	channel uint16
}

// Queue makes a queue.
func (b *Broker) Queue(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue(name)
}

func (b *Broker) queue(name string) *queue {
	if b.queues == nil {
		b.queues, b.connections = map[string]*queue{}, map[*brokerConnection]bool{}
	}
	if b.queues[name] == nil {
		b.queues[name] = &queue{}
	}
	return b.queues[name]
}

// Serve takes connections until the listener closes.
func (b *Broker) Serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		k := newBrokerConnection(conn)
		b.mu.Lock()
		b.queue("")
		b.connections[k] = true
		b.mu.Unlock()
		go k.write()
		go func() {
			b.read(k)
			b.drop(k)
		}()
	}
}

// Drop breaks all connections that consume a queue; what they have not acked is delivered again.
func (b *Broker) Drop(name string) {
	b.mu.Lock()
	var gone []*brokerConnection
	for _, c := range b.queue(name).consumers {
		gone = append(gone, c.link)
	}
	b.mu.Unlock()
	for _, k := range gone {
		b.drop(k)
	}
}

func (b *Broker) drop(k *brokerConnection) {
	k.close()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.connections[k] {
		return
	}
	delete(b.connections, k)
	for _, q := range b.queues {
		q.consumers = slices.DeleteFunc(q.consumers, func(c *consumer) bool { return c.link == k })
	}
	for tag := uint64(1); tag <= k.tags; tag++ {
		if h, ok := k.unacked[tag]; ok {
			b.redeliver(h)
		}
	}
}

func (b *Broker) redeliver(h unackedDelivery) {
	h.redelivered = true
	b.enqueue(h.from.queue, h.message)
}

// enqueue queues a message and delivers what can be.
func (b *Broker) enqueue(name string, m message) {
	q := b.queues[name]
	q.waiting = append(q.waiting, m)
	b.deliver(q)
}

func (b *Broker) deliver(q *queue) {
	for len(q.waiting) > 0 && len(q.consumers) > 0 {
		m, c := q.waiting[0], q.consumers[0]
		q.waiting = q.waiting[1:]
		q.consumers = append(q.consumers[1:], c)
		k := c.link
		k.tags++
		if !c.autoAck {
			k.unacked[k.tags] = unackedDelivery{m, c, c.channel}
		}
		flag := byte(0)
		if m.redelivered {
			flag = 1
		}
		k.content(c.channel, method(basicDeliver, short(c.tag), long64(k.tags), []byte{flag}, short(""), short(string(m.key))), m)
	}
}

// NackNext makes the next confirms nacks.
func (b *Broker) NackNext(n int) {
	b.mu.Lock()
	b.NacksLeft = n
	b.mu.Unlock()
}

// Unsettled counts the messages in the queue of jobs and the deliveries of it that are not settled.
func (b *Broker) Unsettled() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := len(b.queue("jobs").waiting)
	for k := range b.connections {
		n += len(k.unacked)
	}
	return n
}
