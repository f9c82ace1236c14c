package testenv

import (
	"time"

	amqp "github.com/rabbitmq/amqp091-go"
)

// Connect opens a client connection to a broker on the network.
func Connect(n *Network, address string) (*amqp.Connection, error) {
	return amqp.DialConfig("amqp://guest:guest@"+address+"/", amqp.Config{Dial: Dialer(n)})
}

// QueueWorker consumes jobs from a queue until the connection ends. It acks a delivery 3 s after its answer.
func (g *WorkerGroup) QueueWorker(c *amqp.Connection, name, queue string) error {
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
				step, duration := g.beginJob(id, name, string(m.Body))
				time.Sleep(duration)
				text, _ := answerLines(id, name, step)
				g.endJob(id)
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
