package testenv

import (
	"net"
	"slices"
	"sync"
)

// Broker is a small AMQP 0-9-1 broker with the default exchange, queues, publisher confirms, returns and redelivery. It
// passes the properties of a message through byte by byte.
type Broker struct {
	mu             sync.Mutex
	queues         map[string]*queue
	connections    map[*brokerConnection]bool
	generatedNames int // queues that the broker has named itself
	NacksLeft      int // how many of the next publishes the broker nacks and discards
	Acked          int // deliveries acked
	Rejected       int // deliveries rejected without requeue
}

// queue holds the messages that wait for a consumer, and its consumers in round-robin order.
type queue struct {
	waiting   []message
	consumers []*consumer
}

type message struct {
	key, head, body []byte
	redelivered     bool
}

type consumer struct {
	conn    *brokerConnection
	channel uint16
	tag     string
	autoAck bool
	queue   string
}

// unackedDelivery is a delivery that its consumer has neither acked nor rejected.
type unackedDelivery struct {
	message
	from    *consumer
	channel uint16
}

// Queue declares a queue.
func (b *Broker) Queue(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue(name)
}

// queue returns a queue and creates it if it is new. The caller holds the lock.
func (b *Broker) queue(name string) *queue {
	if b.queues == nil {
		b.queues, b.connections = map[string]*queue{}, map[*brokerConnection]bool{}
	}
	if b.queues[name] == nil {
		b.queues[name] = &queue{}
	}
	return b.queues[name]
}

// Serve accepts connections until the listener closes.
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

// Drop breaks all connections that consume from a queue. The broker redelivers what they have not acked.
func (b *Broker) Drop(name string) {
	b.mu.Lock()
	var consuming []*brokerConnection
	for _, c := range b.queue(name).consumers {
		consuming = append(consuming, c.conn)
	}
	b.mu.Unlock()
	for _, k := range consuming {
		b.drop(k)
	}
}

// drop closes a connection, removes its consumers and redelivers what they have not acked.
func (b *Broker) drop(k *brokerConnection) {
	k.close()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.connections[k] {
		return
	}
	delete(b.connections, k)
	for _, q := range b.queues {
		q.consumers = slices.DeleteFunc(q.consumers, func(c *consumer) bool { return c.conn == k })
	}
	for tag := uint64(1); tag <= k.lastTag; tag++ {
		if delivery, ok := k.unacked[tag]; ok {
			b.redeliver(delivery)
		}
	}
}

func (b *Broker) redeliver(delivery unackedDelivery) {
	delivery.redelivered = true
	b.enqueue(delivery.from.queue, delivery.message)
}

// enqueue appends a message to a queue and delivers what it can. The caller holds the lock.
func (b *Broker) enqueue(name string, m message) {
	q := b.queues[name]
	q.waiting = append(q.waiting, m)
	b.deliver(q)
}

// deliver sends the waiting messages of a queue to its consumers in turn. The caller holds the lock.
func (b *Broker) deliver(q *queue) {
	for len(q.waiting) > 0 && len(q.consumers) > 0 {
		m, c := q.waiting[0], q.consumers[0]
		q.waiting = q.waiting[1:]
		q.consumers = append(q.consumers[1:], c)
		k := c.conn
		k.lastTag++
		if !c.autoAck {
			k.unacked[k.lastTag] = unackedDelivery{m, c, c.channel}
		}
		flag := byte(0)
		if m.redelivered {
			flag = 1
		}
		k.content(c.channel, method(basicDeliver, short(c.tag), long64(k.lastTag), []byte{flag}, short(""), short(string(m.key))), m)
	}
}

// NackNext makes the broker nack and discard the next n publishes on channels in confirm mode.
func (b *Broker) NackNext(n int) {
	b.mu.Lock()
	b.NacksLeft = n
	b.mu.Unlock()
}

// Unsettled returns the number of messages waiting in the queue "jobs" plus the deliveries of all queues that are not
// settled.
func (b *Broker) Unsettled() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := len(b.queue("jobs").waiting)
	for k := range b.connections {
		n += len(k.unacked)
	}
	return n
}
