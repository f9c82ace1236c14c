package testenv

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
)

// queuedWrites is the number of writes that a connection queues before its senders block.
const queuedWrites = 1024

// brokerConnection is the broker's end of a client connection. Broker.mu guards tags, unacked and confirm.
type brokerConnection struct {
	conn       net.Conn
	send       chan []byte
	closed     chan struct{}
	once       sync.Once
	lastTag    uint64 // the last delivery tag
	unacked    map[uint64]unackedDelivery
	confirm    map[uint16]uint64   // by channel in confirm mode: number of publishes so far
	publishing map[uint16]*pending // by channel: incomplete publishes; only the reading goroutine uses it
}

func newBrokerConnection(conn net.Conn) *brokerConnection {
	return &brokerConnection{
		conn: conn, send: make(chan []byte, queuedWrites), closed: make(chan struct{}),
		unacked: map[uint64]unackedDelivery{}, confirm: map[uint16]uint64{}, publishing: map[uint16]*pending{},
	}
}

func (k *brokerConnection) close() {
	k.once.Do(func() { close(k.closed); k.conn.Close() })
}

// write writes the queued bytes until the connection ends.
func (k *brokerConnection) write() {
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
}

// put queues bytes for writing; it drops them once the connection is closed.
func (k *brokerConnection) put(p []byte) {
	select {
	case k.send <- p:
	case <-k.closed:
	}
}

// call sends a method.
func (k *brokerConnection) call(channel uint16, m []byte) { k.put(frame(frameMethod, channel, m)) }

// content sends a method followed by a message's header and body frames.
func (k *brokerConnection) content(channel uint16, m []byte, msg message) {
	p := append(frame(frameMethod, channel, m), frame(frameHeader, channel, msg.head)...)
	for rest := msg.body; len(rest) > 0; {
		n := min(len(rest), maxBodyFrame)
		p, rest = append(p, frame(frameBody, channel, rest[:n])...), rest[n:]
	}
	k.put(p)
}

// read handles the frames of a connection until it ends.
func (b *Broker) read(k *brokerConnection) {
	head := make([]byte, 8)
	if _, err := io.ReadFull(k.conn, head); err != nil || string(head[:4]) != "AMQP" {
		return
	}
	k.call(0, method(connectionStart, []byte{0, 9}, number(0), long("PLAIN"), long("en_US")))
	for {
		kind, channel, payload, err := k.readFrame()
		if err != nil || !b.handleFrame(k, kind, channel, payload) {
			return
		}
	}
}

// readFrame reads one frame; it does not check the frame's end octet.
func (k *brokerConnection) readFrame() (kind frameKind, channel uint16, payload []byte, err error) {
	head := make([]byte, frameHeaderSize)
	if _, err := io.ReadFull(k.conn, head); err != nil {
		return 0, 0, nil, err
	}
	payload = make([]byte, binary.BigEndian.Uint32(head[3:])+1)
	if _, err := io.ReadFull(k.conn, payload); err != nil {
		return 0, 0, nil, err
	}
	return frameKind(head[0]), binary.BigEndian.Uint16(head[1:]), payload[:len(payload)-1], nil
}

// handleFrame handles one frame and reports whether the connection stays open.
func (b *Broker) handleFrame(k *brokerConnection, kind frameKind, channel uint16, payload []byte) bool {
	publish := k.publishing[channel]
	switch kind {
	case frameMethod:
		return b.handleMethod(k, channel, payload)
	case frameHeartbeat: // answers each heartbeat by one
		k.put(frame(frameHeartbeat, 0, nil))
	case frameHeader:
		if publish != nil {
			publish.head, publish.size = payload, binary.BigEndian.Uint64(payload[4:])
			b.publishComplete(k, channel)
		}
	case frameBody:
		if publish != nil {
			publish.body = append(publish.body, payload...)
			b.publishComplete(k, channel)
		}
	}
	return true
}
