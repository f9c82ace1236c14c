package scale

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"ivyfold/internal/cluster"
	"ivyfold/internal/ctxtime"
)

const (
	pathReplace   = "/api/config/replace"
	pathUpdate    = "/api/config/update"
	orderPause    = 100 * time.Millisecond // between tries
	orderPatience = 14 * time.Second       // within which a change has to be in force
)

// operator changes the configuration, through the agent of a process that is no dispatcher.
type operator struct {
	agent   *cluster.Agent
	tracker *tracker
	version uint64
	routes  int

	repeated int // calls that were made again
}

// introduce brings the first configuration in, as soon as the control group takes it.
func (o *operator) introduce(ctx context.Context) error {
	err := o.order(ctx, pathReplace, []byte(documentOf(o.routes)))
	o.repeated = 0
	return trace.Wrap(err, "introducing the first configuration")
}

// change updates one route, and returns when the control group has acknowledged that.
func (o *operator) change(ctx context.Context) error {
	next := o.version + 1
	body := fmt.Sprintf(`{"version":%d,"upsert":{"routes":[%s]}}`, next, routeOf(int(next)%o.routes, next))
	o.tracker.issue(next, time.Now())
	return o.order(ctx, pathUpdate, []byte(body))
}

// order makes a call of the operator. Where its outcome is not known it is made again, which is safe.
func (o *operator) order(ctx context.Context, path string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, orderPatience)
	defer cancel()
	for {
		err := o.orderOnce(ctx, path, body)
		if err == nil || ctx.Err() != nil {
			return err
		}
		o.repeated++
		ctxtime.Sleep(ctx, orderPause)
	}
}

func (o *operator) orderOnce(ctx context.Context, path string, body []byte) error {
	call := cluster.OperatorCall{Method: http.MethodPost, Path: path, Base: strconv.FormatUint(o.version, 10)}
	answer, text, err := o.agent.Operator(ctx, call, body)
	if err != nil {
		return trace.Wrap(err)
	}
	if answer.Status != http.StatusOK {
		return trace.CompareFailed("the operator's call was answered %d: %s", answer.Status, text)
	}
	o.version++
	return nil
}

// documentOf makes a configuration of version 1 with a service for each route.
func documentOf(routes int) string {
	var routeTexts, serviceTexts []string
	for number := range routes {
		routeTexts = append(routeTexts, routeOf(number, 1))
		serviceTexts = append(serviceTexts, fmt.Sprintf(`{"name":"service-%d","health-check":"/health","max-connections":100}`, number))
	}
	return fmt.Sprintf(`{"version":1,"routes":[%s],"services":[%s],"limits":{}}`,
		strings.Join(routeTexts, ","), strings.Join(serviceTexts, ","))
}

func routeOf(number int, version uint64) string {
	return fmt.Sprintf(`{"name":"route-%d","host":"host-%d.example","path-prefix":"/orders/","route-type":"async",`+
		`"timeout-ms":%d,"target-latency-ms":80.0,"priority":1,"service":"service-%d","max-attempts":6,"ordered":false,`+
		`"retention-s":45.0,"callback-url":false,"target-start-ms":700}`, number, number, 500+version%1000, number)
}
