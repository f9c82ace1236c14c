package testenv

import (
	"bytes"
	"encoding/binary"
)

// frameKind is the type of an AMQP 0-9-1 frame.
type frameKind byte

const (
	frameMethod    frameKind = 1
	frameHeader    frameKind = 2
	frameBody      frameKind = 3
	frameHeartbeat frameKind = 8

	frameEnd        = 0xCE
	frameHeaderSize = 7
	maxBodyFrame    = 100 << 10
)

// methodID holds a method's class in the upper 16 bits and its number within the class in the lower 16.
type methodID uint32

const (
	connectionStart   methodID = 10<<16 | 10
	connectionStartOK methodID = 10<<16 | 11
	connectionTune    methodID = 10<<16 | 30
	connectionOpen    methodID = 10<<16 | 40
	connectionOpenOK  methodID = 10<<16 | 41
	connectionClose   methodID = 10<<16 | 50
	connectionCloseOK methodID = 10<<16 | 51
	channelOpen       methodID = 20<<16 | 10
	channelOpenOK     methodID = 20<<16 | 11
	channelClose      methodID = 20<<16 | 40
	channelCloseOK    methodID = 20<<16 | 41
	queueDeclare      methodID = 50<<16 | 10
	queueDeclareOK    methodID = 50<<16 | 11
	basicQos          methodID = 60<<16 | 10
	basicQosOK        methodID = 60<<16 | 11
	basicConsume      methodID = 60<<16 | 20
	basicConsumeOK    methodID = 60<<16 | 21
	basicCancel       methodID = 60<<16 | 30
	basicCancelOK     methodID = 60<<16 | 31
	basicPublish      methodID = 60<<16 | 40
	basicReturn       methodID = 60<<16 | 50
	basicDeliver      methodID = 60<<16 | 60
	basicAck          methodID = 60<<16 | 80
	basicReject       methodID = 60<<16 | 90
	basicNack         methodID = 60<<16 | 120
	confirmSelect     methodID = 85<<16 | 10
	confirmSelectOK   methodID = 85<<16 | 11
)

// The broker's reply codes.
const (
	replyNoRoute  = 312
	replyNotFound = 404
)

// frame encodes an AMQP 0-9-1 frame.
func frame(kind frameKind, channel uint16, payload []byte) []byte {
	b := append([]byte{byte(kind)}, binary.BigEndian.AppendUint16(nil, channel)...)
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	return append(append(b, payload...), frameEnd)
}

// method encodes a method with its arguments.
func method(id methodID, args ...[]byte) []byte {
	return append(number(uint32(id)), bytes.Join(args, nil)...)
}

func short(s string) []byte    { return append([]byte{byte(len(s))}, s...) }
func long(s string) []byte     { return append(binary.BigEndian.AppendUint32(nil, uint32(len(s))), s...) }
func long64(v uint64) []byte   { return binary.BigEndian.AppendUint64(nil, v) }
func number(v uint32) []byte   { return binary.BigEndian.AppendUint32(nil, v) }
func number16(v uint16) []byte { return binary.BigEndian.AppendUint16(nil, v) }

// args decodes a method's arguments. Missing bytes read as zeros.
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

func (a *args) short() string  { return string(a.take(int(a.take(1)[0]))) }
func (a *args) long64() uint64 { return binary.BigEndian.Uint64(a.take(8)) }
func (a *args) number() uint32 { return binary.BigEndian.Uint32(a.take(4)) }
func (a *args) octet() byte    { return a.take(1)[0] }
func (a *args) skip(n int)     { a.take(n) }
