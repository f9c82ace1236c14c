package simulated

import "time"

// linkKey identifies a link by the IP addresses of its hosts.
type linkKey struct {
	from string
	to   string
}

// link carries packets from one host to another, in order. The network's mutex guards it.
type link struct {
	network  *Network
	from     *host
	to       *host
	delay    time.Duration
	isolated bool        // packets are held instead of delivered
	queue    []packet    // packets in flight, in the order of their arrival
	timer    *time.Timer // fires at the first packet's arrival; nil before the first packet
}

// packet is a packet in flight. Its deliver function runs at its arrival, with the network's mutex held.
type packet struct {
	arrival time.Time
	deliver func()
}

// send sends a packet. A host that is powered off sends nothing.
func (l *link) send(deliver func()) {
	if l.from.poweredOff {
		return
	}
	l.queue = append(l.queue, packet{arrival: l.arrival(time.Now(), len(l.queue)), deliver: deliver})
	if len(l.queue) == 1 {
		l.schedule()
	}
}

// arrival draws the arrival time of the packet at a position of the queue. It is never before that of the packet ahead.
func (l *link) arrival(now time.Time, position int) time.Time {
	drawn := now.Add(l.delay)
	if spread := int64(l.delay / jitterDivisor); spread > 0 {
		drawn = drawn.Add(time.Duration(l.network.random.Int64N(spread)))
	}
	if position > 0 && drawn.Before(l.queue[position-1].arrival) {
		return l.queue[position-1].arrival
	}
	return drawn
}

// blocked reports whether packets are held instead of delivered.
func (l *link) blocked() bool {
	return l.isolated || l.from.poweredOff || l.to.poweredOff
}

// schedule sets the timer to the first packet's arrival.
func (l *link) schedule() {
	if l.blocked() || len(l.queue) == 0 {
		return
	}
	wait := time.Until(l.queue[0].arrival)
	if l.timer == nil {
		l.timer = time.AfterFunc(wait, l.deliverArrived)
		return
	}
	l.timer.Reset(wait)
}

// deliverArrived delivers all packets whose arrival time has come. The link's timer calls it. It locks the mutex.
func (l *link) deliverArrived() {
	l.network.mutex.Lock()
	defer l.network.mutex.Unlock()
	if l.blocked() {
		return
	}
	now := time.Now()
	for len(l.queue) > 0 && !l.queue[0].arrival.After(now) {
		arrived := l.queue[0]
		l.queue = l.queue[1:]
		arrived.deliver()
	}
	l.schedule()
}

// resume draws new arrival times for the held packets, as if they were sent now.
func (l *link) resume() {
	now := time.Now()
	for i := range l.queue {
		l.queue[i].arrival = l.arrival(now, i)
	}
	l.schedule()
}
