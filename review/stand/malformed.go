//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"fawncove/internal/wire"
)

const (
	// retryAfter and retryFor are how a user repeats a submission without an answer.
	retryAfter = time.Second
	retryFor   = 25 * time.Second
	// pollTimeout is how long a user waits for the answer to a question.
	pollTimeout = 2 * time.Second
)

// Submissions that are not a map, as a program sends them that writes -1 for a length that it
// does not know: a list that is said to have 2^32-1 elements, and ends there; and the same with
// lists in lists, for machines with so much memory that they have room for one.
var (
	emptyList    = []byte{0x90}
	endlessList  = []byte{0xdd, 0xff, 0xff, 0xff, 0xff}
	endlessLists = bytes.Repeat(endlessList, 12_000)
)

// malformed has a user send a submission that is not a map. It is to be answered with 400, and no
// controller may end by it.
func malformed(ctx context.Context, p *play) (int, error) {
	c, err := startCluster(ctx, p.rec, p.root, p.dir)
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return 0, err
	}
	p.rec.say("three controllers take users")
	job := wire.Job{ID: "wk-000412", Class: "usporedba-baza", Team: "red", Shape: wire.Array, Priority: "standard", Tasks: 2, CPUs: 1, MemoryGB: 1, Image: "img-07", ImageGB: 1, Spot: true, EstimateS: 60}
	if err := acceptJob(c, job); err != nil {
		return 0, err
	}
	bodies := [][]byte{emptyList}
	if p.trouble {
		bodies = [][]byte{endlessList, endlessLists}
	}
	wrong := 0
	for _, body := range bodies {
		wrong += submitMalformed(c, body)
		if c.ends() > 0 {
			break
		}
	}
	unanswered := 0
	for _, n := range c.nodes {
		a := send("GET", n.clients, "/v1/jobs/"+job.ID, nil, pollTimeout)
		p.rec.say("user: GET %s at %s -> %v", job.ID, n.name, a)
		if a.status == 0 {
			unanswered++
		}
	}
	p.rec.say("controllers have ended by themselves %d times; %d malformed submissions without 400; %d of %d questions about the accepted job without an answer",
		c.ends(), wrong, unanswered, len(c.nodes))
	if c.ends() > 0 {
		return broken, nil
	}
	return held, nil
}

// acceptJob submits a job until it is accepted.
func acceptJob(c *cluster, job wire.Job) error {
	fields := map[string]any{"uid": job.ID, "vrstaPosla": job.Class, "vlasnik": job.Team, "oblik": string(job.Shape), "hitnost": job.Priority,
		"komadi": job.Tasks, "vcpus": job.CPUs, "cards": job.GPUs, "memoryGb": job.MemoryGB, "otisak": job.Image, "pullGb": job.ImageGB,
		"kalupi": nil, "dvoriste": zoneOf(job), "samePlace": false, "scatter": false, "posudba": job.Spot,
		"procjenaS": job.EstimateS, "biljegS": 0.0, "spremanjeS": 0.0, "rokS": nil}
	body, err := wire.Encode(fields)
	if err != nil {
		return err
	}
	var last answer
	for range 20 {
		last = send("POST", c.nodes[0].clients, "/v1/jobs", body, 5*time.Second)
		c.rec.say("user: submits %s at %s -> %v", job.ID, c.nodes[0].name, last)
		if last.status == 200 || last.status == 201 {
			return nil
		}
		time.Sleep(retryAfter)
	}
	return fmt.Errorf("%s is not accepted: %v", job.ID, last)
}

// zoneOf returns the only zone that a job may run in as users send it: null if it may in any.
func zoneOf(job wire.Job) any {
	if job.Zone == "" {
		return nil
	}
	return job.Zone
}

// submitMalformed sends a body as users do, through a load balancer that takes one controller after
// the other: a submission without an answer is repeated. It returns how many tries were not
// answered with 400.
func submitMalformed(c *cluster, body []byte) (wrong int) {
	for end, try := time.Now().Add(retryFor), 0; time.Now().Before(end); try++ {
		n := c.nodes[try%len(c.nodes)]
		a := send("POST", n.clients, "/v1/jobs", body, 5*time.Second)
		c.rec.say("user: submits %d bytes that are not a map (% x ...) at %s -> %v", len(body), body[:min(5, len(body))], n.name, a)
		if a.status == 400 {
			return wrong
		}
		wrong++
		time.Sleep(retryAfter)
	}
	return wrong
}
