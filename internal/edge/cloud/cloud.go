// Package cloud is the client of the cloud that rents machines. It keeps within a part of
// the cloud's request limit and translates answers into outcomes.
package cloud

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/edge/client"
	"fawncove/internal/edge/membudget"
	"fawncove/internal/wire"
)

const (
	callTimeout    = 5 * time.Second
	maxAnswerBytes = 1 << 20 // four times what a page of machines with long names takes
	// minReadTimeout is the shortest time that an answer to a read is waited for. Reading
	// again is safe, so a lost answer need not hold up the list for long.
	minReadTimeout = time.Second
)

// Cloud calls the cloud's API within its request limit.
type Cloud struct {
	base        string
	client      *client.Client
	limit       *rate.Limiter
	readTimeout *client.AdaptiveTimeout // with reads
}

// New returns a client for the cloud at addr that uses a share of its limit of rps requests
// a second.
func New(addr string, rps, share float64) *Cloud {
	return &Cloud{base: "http://" + addr, client: client.New(4, maxAnswerBytes, 0),
		readTimeout: client.NewAdaptiveTimeout(minReadTimeout, callTimeout),
		// The cloud allows bursts worth two seconds.
		limit: rate.NewLimiter(rate.Limit(rps*share), max(1, int(2*rps*share)))}
}

// LimitMemory has answers take their memory from bodies. It must be called before the first
// call.
func (c *Cloud) LimitMemory(bodies *membudget.Bodies) { c.client.LimitMemory(bodies) }

// errNotSent says that a request has not left.
var errNotSent = errors.New("request not sent")

// do sends a request that may change something. It is never repeated. The right to send it ends at until,
// if that is set: it is checked once the request limit lets the request out.
func (c *Cloud) do(ctx context.Context, until time.Time, path string, in, out any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.limit.Wait(ctx); err != nil {
		return 0, fmt.Errorf("%w: cloud budget: %w", errNotSent, err)
	}
	if !until.IsZero() && !time.Now().Before(until) {
		return 0, fmt.Errorf("%w: the right to do so has ended", errNotSent)
	}
	return c.client.Do(ctx, "POST", c.base+path, in, out, 200)
}

// read sends a request that only reads.
func (c *Cloud) read(ctx context.Context, path string, out any) (int, error) {
	if err := c.limit.Wait(ctx); err != nil {
		return 0, fmt.Errorf("cloud budget: %w", err)
	}
	return c.readTimeout.Call(ctx, func(ctx context.Context) (int, error) {
		return c.client.Do(ctx, "GET", c.base+path, nil, out, 200)
	})
}

// Types reads the machine types with their current prices.
func (c *Cloud) Types(ctx context.Context) (eventloop.Outcome, wire.MachineTypes, error) {
	var out wire.MachineTypes
	status, err := c.read(ctx, "/machine_types", &out)
	return client.OutcomeOf(status), out, err
}

// Create rents machines.
func (c *Cloud) Create(ctx context.Context, r wire.InstanceRequest) (eventloop.Outcome, wire.Names, error) {
	var out wire.Names
	status, err := c.do(ctx, time.Time{}, "/machines", r, &out)
	return client.OutcomeOf(status), out, err
}

// Delete returns machines to the cloud, unless that cannot be asked for before until, if that is set. With
// Succeeded they are gone for good.
func (c *Cloud) Delete(ctx context.Context, names []string, until time.Time) (eventloop.Outcome, error) {
	status, err := c.do(ctx, until, "/machines/release", wire.Names{Machines: names}, nil)
	if errors.Is(err, errNotSent) {
		return eventloop.NotSent, err
	}
	return client.OutcomeOf(status), err
}

// List reads a page of the machine list.
func (c *Cloud) List(ctx context.Context, after string) (eventloop.Outcome, wire.MachineList, error) {
	var out wire.MachineList
	q := url.Values{"most": {strconv.Itoa(wire.MaxInstancesPerPage)}}
	if after != "" {
		q.Set("after", after)
	}
	status, err := c.read(ctx, "/machines?"+q.Encode(), &out)
	return client.OutcomeOf(status), out, err
}
