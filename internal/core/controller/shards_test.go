package controller

import (
	"testing"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/wire"
)

// TestShardChoiceKeepsBlocksEven guards against the machines of a quiet fleet ending up
// with one controller: they follow the work, so a job must not go to a large
// block only because it is large, though it goes there when it cannot start
// elsewhere.
func TestShardChoiceKeepsBlocksEven(t *testing.T) {
	core, _ := newCore(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1",
		Partitions: map[string]string{"free": "n0", "free #1": "n0", "free #2": "n1"},
		Blocks:     map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7}, "n1": {Grant: 1<<18 + 1, Incarnation: 9}}})
	job := func(priority, image string) *wire.Job {
		return &wire.Job{ID: "wk-000001", Team: "free", Shape: wire.Array, Priority: priority, Tasks: 10, CPUs: 2, Image: image}
	}
	p := core.view.Peers["n1"]
	p.LastFrame = core.loop.Now
	for _, c := range []struct {
		name            string
		own, other      cluster.Capacity
		ownSpare, spare float64
		priority, image string
		want            string
	}{
		{"the larger block has a little more to spare", cluster.Capacity{Size: 300}, cluster.Capacity{Size: 900}, 80, 120, "standard", "a", "free #1"},
		{"the smaller one is full", cluster.Capacity{Size: 300}, cluster.Capacity{Size: 900}, -400, 500, "standard", "a", "free #2"},
		{"urgent, both have room", cluster.Capacity{Free: 50, Size: 300}, cluster.Capacity{Free: 150, Size: 900}, 50, 150, "urgent", "a", "free #1"},
		{"urgent, only the larger one has room", cluster.Capacity{Size: 300}, cluster.Capacity{Free: 150, Size: 900}, -10, 150, "urgent", "a", "free #2"},
		{"urgent, even blocks, one has the image", cluster.Capacity{Free: 50, Size: 300},
			cluster.Capacity{Free: 50, Size: 300, Images: map[string]float64{"a": 40}}, 50, 50, "urgent", "a", "free #2"},
	} {
		core.load.capacity, core.load.spareCPUs, p.Capacity, p.SpareCPUs = c.own, c.ownSpare, c.other, c.spare
		if got := core.shardLoads().chooseShard(job(c.priority, c.image)); got != c.want {
			t.Errorf("%s: goes to %s, want %s", c.name, got, c.want)
		}
	}
}
