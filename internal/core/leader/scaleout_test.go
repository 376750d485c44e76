package leader

import (
	"testing"

	"fawncove/internal/core/sched"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// TestOnDemandOnlyForUrgentBacklog guards against paying for on-demand instances without
// need: they are requested for the backlog that the running instances cannot clear beside
// new arrivals, and not for tasks that can wait.
func TestOnDemandOnlyForUrgentBacklog(t *testing.T) {
	for _, c := range []struct {
		name                string
		arrivalRate, slackS float64 // processors; seconds
		provisionAll        bool
		want                int // tasks that on-demand instances are requested for
	}{
		{"keeps up and clears the backlog", 10, 0, false, 0},
		{"no capacity left for the backlog", 60, 0, false, 50},
		{"tasks can wait", 60, 100, false, 0},
		{"tasks can wait but form a gang", 60, 100, true, 100},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLeader(nil, wire.LeaseRecord{})
			l.renewals["n1"] = &peerpb.Renewal{BusyCpus: 40, BusySpotCpus: 30}
			l.local = &fakeController{arrivalRate: c.arrivalRate}
			// 100 tasks of 9 s, to be cleared in 1.5 boot times of 6 s, need as
			// many processors for that time.
			waiting := []sched.Demand{{Need: sched.Resources{CPUs: 1}, Count: 100, RunS: 9, SlackS: c.slackS, ProvisionAll: c.provisionAll}}
			if got := l.backlogForOnDemand(waiting, 120)[0].Count; got != c.want {
				t.Errorf("backlogForOnDemand has %d tasks, want %d", got, c.want)
			}
		})
	}
}
