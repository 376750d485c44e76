//go:build review

package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"fawncove/internal/wire"
)

const (
	// hangLasts is how long machines hang.
	hangLasts = 40 * time.Second
	// hungJobs are the jobs that run, each on a machine of its own, and cancelledJobs those of them
	// that are cancelled and whose machines hang.
	hungJobs      = 6
	cancelledJobs = 4
	// tolerance is what is added to cancel_s for the stand-in's own clock.
	tolerance = 200 * time.Millisecond
)

// hung has users cancel jobs as their machines begin to hang and the controller that holds them
// crashes. Their tasks have to be gone cancel_s after the users were told. CRASH=0 leaves the crash
// out.
func hung(ctx context.Context, p *play) (int, error) {
	cfg := settings()
	sky, err := startCloud(ctx, p.rec, cfg)
	if err != nil {
		return 0, err
	}
	c, err := startClusterWith(ctx, p.rec, p.root, p.dir, sky)
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return 0, err
	}
	p.rec.say("three controllers take users")
	var jobs []string
	for i := range hungJobs {
		job := wire.Job{ID: fmt.Sprintf("wk-%06d", 400+i), Class: "usporedba-baza", Team: "red", Shape: wire.Array, Priority: "standard", Tasks: 1, CPUs: 4,
			MemoryGB: 15, Image: "img-07", ImageGB: 1.8, Zone: "x", Spot: true, EstimateS: 150}
		jobs = append(jobs, job.ID)
		sky.submitted(job.ID)
		if err := acceptJob(c, job); err != nil {
			return 0, err
		}
	}
	if err := c.until("all tasks run", 55*time.Second, func() bool {
		return !slices.ContainsFunc(jobs, func(id string) bool { return sky.whereIs(id+"/0") == nil })
	}); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	cancelled := jobs[:cancelledJobs]
	others := slices.Clone(c.nodes)
	if p.trouble {
		var machines []*machine
		for _, id := range cancelled {
			machines = append(machines, sky.whereIs(id+"/0"))
		}
		slices.SortFunc(machines, byName)
		var names []string
		for _, m := range machines {
			m.hang(hangLasts)
			names = append(names, m.name)
		}
		p.rec.say("%s hang for %v", strings.Join(names, " "), hangLasts)
		if os.Getenv("CRASH") != "0" {
			down := sky.busiest()
			down.kill()
			others = slices.DeleteFunc(others, func(n *controller) bool { return n == down })
			p.rec.say("%s crashes", down.name)
		}
	}
	told := cancelAll(c, others, cancelled)
	limit := time.Duration(cfg.Workers.CancelS*float64(time.Second)) + tolerance
	last := slices.MaxFunc(told, func(a, b time.Time) int { return a.Compare(b) })
	time.Sleep(time.Until(last.Add(limit + 1500*time.Millisecond)))
	late := 0
	for i, id := range cancelled {
		at, left := sky.leftAt(id + "/0")
		switch {
		case !left:
			p.rec.say("%s/0 is still on its machine %.2f s after its user was told that the job is cancelled", id, time.Since(told[i]).Seconds())
			late++
		case at.Sub(told[i]) > limit:
			p.rec.say("%s/0 was on its machine until %.2f s after its user was told that the job is cancelled", id, at.Sub(told[i]).Seconds())
			late++
		default:
			p.rec.say("%s/0 was gone %.2f s after its user was told", id, at.Sub(told[i]).Seconds())
		}
	}
	p.rec.say("%d of %d cancelled tasks were on their machines for more than cancel_s (%v s)", late, len(cancelled), cfg.Workers.CancelS)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}

// cancelAll has the users of jobs cancel them at once, each until it is told so, and returns when they
// were.
func cancelAll(c *cluster, nodes []*controller, jobs []string) []time.Time {
	told := make([]time.Time, len(jobs))
	var wg sync.WaitGroup
	for i, id := range jobs {
		wg.Go(func() {
			for try := i; c.ctx.Err() == nil; try++ {
				n := nodes[try%len(nodes)]
				a := send("POST", n.clients, "/v1/jobs/"+id+"/cancel", nil, 5*time.Second)
				told[i] = time.Now()
				c.rec.say("user: cancels %s at %s -> %v", id, n.name, a)
				if a.status == 200 {
					return
				}
				time.Sleep(retryAfter)
			}
		})
	}
	wg.Wait()
	return told
}
