package testenv

import "slices"

// call is a method received from a client.
type call struct {
	connection *brokerConnection
	channel    uint16
	args       *args
}

// answer sends a method to the client on the same channel.
func (c *call) answer(id methodID, args ...[]byte) { c.connection.call(c.channel, method(id, args...)) }

// methodHandlers holds the handlers of the methods that the broker supports. They run under its lock. The broker
// ignores all other methods.
var methodHandlers = map[methodID]func(*Broker, *call){
	connectionStartOK: func(_ *Broker, c *call) { c.answer(connectionTune, number16(0), number(128<<10), number16(0)) },
	connectionOpen:    func(_ *Broker, c *call) { c.answer(connectionOpenOK, short("")) },
	connectionClose:   func(_ *Broker, c *call) { c.answer(connectionCloseOK) },
	channelOpen:       func(_ *Broker, c *call) { c.answer(channelOpenOK, long("")) },
	channelClose:      func(_ *Broker, c *call) { c.answer(channelCloseOK) },
	basicQos:          func(_ *Broker, c *call) { c.answer(basicQosOK) },
	confirmSelect:     (*Broker).selectConfirms,
	queueDeclare:      (*Broker).declare,
	basicConsume:      (*Broker).consume,
	basicCancel:       (*Broker).cancel,
	basicPublish:      (*Broker).beginPublish,
	basicAck:          (*Broker).ack,
	basicReject:       func(b *Broker, c *call) { b.reject(c.connection, c.args.long64(), c.args.octet()&1 != 0) },
	basicNack:         func(b *Broker, c *call) { b.reject(c.connection, c.args.long64(), c.args.octet()&2 != 0) },
}

// handleMethod runs a method's handler and reports whether the connection stays open.
func (b *Broker) handleMethod(k *brokerConnection, channel uint16, payload []byte) bool {
	read := &args{payload}
	id := methodID(read.number())
	if handle := methodHandlers[id]; handle != nil {
		b.mu.Lock()
		handle(b, &call{connection: k, channel: channel, args: read})
		b.mu.Unlock()
	}
	return id != connectionClose
}

func (b *Broker) selectConfirms(c *call) {
	c.connection.confirm[c.channel] = 0
	c.answer(confirmSelectOK)
}

// declare creates a queue. If the client gives no name, the broker generates one.
func (b *Broker) declare(c *call) {
	c.args.skip(2)
	name := c.args.short()
	if name == "" {
		b.generatedNames++
		name = "amq.gen-" + string(rune('a'+b.generatedNames))
	}
	b.queue(name)
	c.answer(queueDeclareOK, short(name), number(0), number(0))
}

func (b *Broker) consume(c *call) {
	c.args.skip(2)
	name, tag := c.args.short(), c.args.short()
	added := &consumer{conn: c.connection, channel: c.channel, tag: tag, autoAck: c.args.octet()&2 != 0, queue: name}
	if b.queues[name] == nil {
		c.answer(channelClose, number16(replyNotFound), short("NOT_FOUND"), number(uint32(basicConsume)))
		return
	}
	c.answer(basicConsumeOK, short(tag))
	q := b.queue(name)
	q.consumers = append(q.consumers, added)
	b.deliver(q)
}

func (b *Broker) cancel(c *call) {
	tag := c.args.short()
	for _, q := range b.queues {
		q.consumers = slices.DeleteFunc(q.consumers, func(each *consumer) bool {
			return each.conn == c.connection && each.tag == tag
		})
	}
	c.answer(basicCancelOK, short(tag))
}

// beginPublish records a publish. Its content follows in header and body frames.
func (b *Broker) beginPublish(c *call) {
	c.args.skip(2)
	c.args.short()
	key := c.args.short()
	c.connection.publishing[c.channel] = &pending{message: message{key: []byte(key)}, mandatory: c.args.octet()&1 != 0}
}

func (b *Broker) ack(c *call) {
	tag := c.args.long64()
	if c.connection.unacked[tag].from != nil {
		b.Acked++
		delete(c.connection.unacked, tag)
	}
}

// reject settles a delivery that a consumer rejects, and redelivers it if requeue is set.
func (b *Broker) reject(k *brokerConnection, tag uint64, requeue bool) {
	rejected := k.unacked[tag]
	if rejected.from == nil {
		return
	}
	delete(k.unacked, tag)
	if requeue {
		b.redeliver(rejected)
	} else {
		b.Rejected++
	}
}

// pending is a publish whose content is not yet complete.
type pending struct {
	message
	mandatory bool
	size      uint64
}

// publishComplete does nothing until the content of a publish is complete. Then it enqueues the message, or returns it
// if it is mandatory and has no queue, and confirms it on a channel in confirm mode.
func (b *Broker) publishComplete(k *brokerConnection, channel uint16) {
	p := k.publishing[channel]
	if p.head == nil || uint64(len(p.body)) < p.size {
		return
	}
	delete(k.publishing, channel)
	b.mu.Lock()
	defer b.mu.Unlock()
	n, confirming := k.confirm[channel]
	if confirming {
		k.confirm[channel] = n + 1
		if b.NacksLeft > 0 {
			b.NacksLeft--
			k.call(channel, method(basicNack, long64(n+1), []byte{0}))
			return
		}
	}
	if b.queues[string(p.key)] != nil {
		b.enqueue(string(p.key), p.message)
	} else if p.mandatory {
		k.content(channel, method(basicReturn, number16(replyNoRoute), short("NO_ROUTE"), short(""), short(string(p.key))), p.message)
	}
	if confirming {
		k.call(channel, method(basicAck, long64(n+1), []byte{0}))
	}
}
