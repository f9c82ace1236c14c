package testenv

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"
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

type brokerConnection struct {
	conn    net.Conn
	send    chan []byte
	closed  chan struct{}
	once    sync.Once
	tags    uint64
	unacked map[uint64]unackedDelivery
	confirm map[uint16]uint64 // publishes so far on channels in confirm mode
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
		k := &brokerConnection{conn: conn, send: make(chan []byte, 1024), closed: make(chan struct{}),
			unacked: map[uint64]unackedDelivery{}, confirm: map[uint16]uint64{}}
		b.mu.Lock()
		b.queue("")
		b.connections[k] = true
		b.mu.Unlock()
		go func() {
			for {
				select {
				case p := <-k.send:
					if _, err := k.conn.Write(p); err != nil {
						k.close()
					}
				case <-k.closed:
					return
				}
			}
		}()
		go func() {
			b.read(k)
			b.drop(k)
		}()
	}
}

func (k *brokerConnection) close() {
	k.once.Do(func() { close(k.closed); k.conn.Close() })
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
		keep := q.consumers[:0]
		for _, c := range q.consumers {
			if c.link != k {
				keep = append(keep, c)
			}
		}
		q.consumers = keep
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
		k.content(c.channel, method(60, 60, short(c.tag), long64(k.tags), []byte{flag}, short(""), short(string(m.key))), m)
	}
}

// frame, method and the rest word what AMQP 0-9-1 calls so.
func frame(kind byte, channel uint16, payload []byte) []byte {
	b := append([]byte{kind}, binary.BigEndian.AppendUint16(nil, channel)...)
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	return append(append(b, payload...), 0xCE)
}

func method(class, id uint16, args ...[]byte) []byte {
	b := binary.BigEndian.AppendUint16(binary.BigEndian.AppendUint16(nil, class), id)
	return append(b, bytes.Join(args, nil)...)
}

func short(s string) []byte    { return append([]byte{byte(len(s))}, s...) }
func long(s string) []byte     { return append(binary.BigEndian.AppendUint32(nil, uint32(len(s))), s...) }
func long64(v uint64) []byte   { return binary.BigEndian.AppendUint64(nil, v) }
func number(v uint32) []byte   { return binary.BigEndian.AppendUint32(nil, v) }
func number16(v uint16) []byte { return binary.BigEndian.AppendUint16(nil, v) }

func (k *brokerConnection) put(p []byte) {
	select {
	case k.send <- p:
	case <-k.closed:
	}
}

func (k *brokerConnection) call(channel uint16, m []byte) { k.put(frame(1, channel, m)) }

func (k *brokerConnection) content(channel uint16, m []byte, msg message) {
	p := append(frame(1, channel, m), frame(2, channel, msg.head)...)
	for rest := msg.body; len(rest) > 0; {
		n := min(len(rest), 100<<10)
		p, rest = append(p, frame(3, channel, rest[:n])...), rest[n:]
	}
	k.put(p)
}

// args reads a method's arguments.
type args struct{ b []byte }

func (a *args) take(n int) []byte {
	if len(a.b) < n {
		a.b = nil
		return make([]byte, n)
	}
	p := a.b[:n]
	a.b = a.b[n:]
	return p
}
func (a *args) short() string { return string(a.take(int(a.take(1)[0]))) }
func (a *args) long64() uint64 {
	return binary.BigEndian.Uint64(a.take(8))
}

func (b *Broker) read(k *brokerConnection) {
	head := make([]byte, 8)
	if _, err := io.ReadFull(k.conn, head); err != nil || string(head[:4]) != "AMQP" {
		return
	}
	k.call(0, method(10, 10, []byte{0, 9}, number(0), long("PLAIN"), long("en_US")))
	publishing := map[uint16]*pending{}
	for {
		if _, err := io.ReadFull(k.conn, head[:7]); err != nil {
			return
		}
		channel := binary.BigEndian.Uint16(head[1:])
		payload := make([]byte, binary.BigEndian.Uint32(head[3:])+1)
		if _, err := io.ReadFull(k.conn, payload); err != nil {
			return
		}
		payload = payload[:len(payload)-1]
		switch head[0] {
		case 1:
			if !b.method(k, channel, payload, publishing) {
				return
			}
		case 2:
			if p := publishing[channel]; p != nil {
				p.head, p.size = payload, binary.BigEndian.Uint64(payload[4:])
				b.publishComplete(k, channel, publishing)
			}
		case 8: // a heartbeat for a heartbeat
			k.put(frame(8, 0, nil))
		case 3:
			if p := publishing[channel]; p != nil {
				p.body = append(p.body, payload...)
				b.publishComplete(k, channel, publishing)
			}
		}
	}
}

// pending is a publish whose content is still coming.
type pending struct {
	message
	mandatory bool
	size      uint64
}

func (b *Broker) publishComplete(k *brokerConnection, channel uint16, publishing map[uint16]*pending) {
	p := publishing[channel]
	if p.head == nil || uint64(len(p.body)) < p.size {
		return
	}
	delete(publishing, channel)
	b.mu.Lock()
	defer b.mu.Unlock()
	n, confirming := k.confirm[channel]
	if confirming {
		k.confirm[channel] = n + 1
		if b.NacksLeft > 0 {
			b.NacksLeft--
			k.call(channel, method(60, 120, long64(n+1), []byte{0}))
			return
		}
	}
	if b.queues[string(p.key)] != nil {
		b.enqueue(string(p.key), p.message)
	} else if p.mandatory {
		k.content(channel, method(60, 50, number16(312), short("NO_ROUTE"), short(""), short(string(p.key))), p.message)
	}
	if confirming {
		k.call(channel, method(60, 80, long64(n+1), []byte{0}))
	}
}

func (b *Broker) method(k *brokerConnection, channel uint16, payload []byte, publishing map[uint16]*pending) bool {
	a := &args{payload}
	id := binary.BigEndian.Uint32(a.take(4))
	b.mu.Lock()
	defer b.mu.Unlock()
	switch id {
	case 10<<16 | 11: // start-ok
		k.call(0, method(10, 30, number16(0), number(128<<10), number16(0)))
	case 10<<16 | 40: // open
		k.call(0, method(10, 41, short("")))
	case 10<<16 | 50: // close
		k.call(0, method(10, 51))
		return false
	case 20<<16 | 10: // channel open
		k.call(channel, method(20, 11, long("")))
	case 20<<16 | 40: // channel close
		k.call(channel, method(20, 41))
	case 85<<16 | 10: // confirm select
		k.confirm[channel] = 0
		k.call(channel, method(85, 11))
	case 60<<16 | 10: // qos
		k.call(channel, method(60, 11))
	case 50<<16 | 10: // queue declare
		a.take(2)
		name := a.short()
		if name == "" {
			b.named++
			name = "amq.gen-" + string(rune('a'+b.named))
		}
		b.queue(name)
		k.call(channel, method(50, 11, short(name), number(0), number(0)))
	case 60<<16 | 20: // consume
		a.take(2)
		name, tag := a.short(), a.short()
		c := &consumer{link: k, channel: channel, tag: tag, autoAck: a.take(1)[0]&2 != 0, queue: name}
		if b.queues[name] == nil {
			k.call(channel, method(20, 40, number16(404), short("NOT_FOUND"), number16(60), number16(20)))
			break
		}
		k.call(channel, method(60, 21, short(tag)))
		q := b.queue(name)
		q.consumers = append(q.consumers, c)
		b.deliver(q)
	case 60<<16 | 30: // cancel
		tag := a.short()
		for _, q := range b.queues {
			for i, c := range q.consumers {
				if c.link == k && c.tag == tag {
					q.consumers = append(q.consumers[:i:i], q.consumers[i+1:]...)
				}
			}
		}
		k.call(channel, method(60, 31, short(tag)))
	case 60<<16 | 40: // publish
		a.take(2)
		a.short()
		key := a.short()
		publishing[channel] = &pending{message: message{key: []byte(key)}, mandatory: a.take(1)[0]&1 != 0}
	case 60<<16 | 80: // ack
		if tag := a.long64(); k.unacked[tag].from != nil {
			b.Acked++
			delete(k.unacked, tag)
		}
	case 60<<16 | 90, 60<<16 | 120: // reject, nack
		tag := a.long64()
		requeue := a.take(1)[0]
		if id&0xffff == 120 {
			requeue >>= 1
		}
		if h := k.unacked[tag]; h.from != nil {
			delete(k.unacked, tag)
			if requeue&1 != 0 {
				b.redeliver(h)
			} else {
				b.Rejected++
			}
		}
	}
	return true
}

// Connect opens a client's connection to a broker on the network.
func Connect(n *Network, address string) (*amqp.Connection, error) {
	return amqp.DialConfig("amqp://guest:guest@"+address+"/", amqp.Config{Dial: Dialer(n)})
}

// QueueWorker takes jobs from a queue until its connection ends. It acks a delivery late: long after its answer.
func (y *WorkerGroup) QueueWorker(c *amqp.Connection, name, queue string) error {
	ch, err := c.Channel()
	if err != nil {
		return err
	}
	jobs, err := ch.Consume(queue, "", false, false, false, false, nil)
	if err != nil {
		return err
	}
	go func() {
		for m := range jobs {
			go func() {
				id, _ := m.Headers["x-request-id"].(string)
				word, takes := y.beginJob(id, name, string(m.Body))
				time.Sleep(takes)
				text, _ := lines(id, name, word)
				y.endJob(id)
				for _, s := range text {
					ch.Publish("", m.ReplyTo, false, false, amqp.Publishing{CorrelationId: m.CorrelationId, Body: []byte(s)})
				}
				time.Sleep(3 * time.Second)
				m.Ack(false)
			}()
		}
	}()
	return nil
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
