package simtest

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
)

// calledOffSeeds is with how many further seeds TestLimitBesideCalledOffSeeds plays, and
// calledOffFirst the first of them.
var (
	calledOffSeeds = flag.Int("called-off", 4, "number of further seeds of TestLimitBesideCalledOff")
	calledOffFirst = flag.Int("called-off-first", 100, "first of these seeds")
)

// TestLimitBesideCalledOffSeeds guards against what TestLimitBesideCalledOff does with other
// courses: its four seeds are few of them.
func TestLimitBesideCalledOffSeeds(t *testing.T) {
	for i := range *calledOffSeeds {
		seed := *calledOffFirst + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) { limitBesideCalledOff(t, seed) })
	}
}

// TestLimitBesideCalledOff: two teams are at their limits, and more work waits. Half of
// one's jobs are cancelled while their machines are cut off, hang, or reach nobody, for
// longer than a lease, and the leader ends with it, or not. The limit has to hold while
// the cancelled tasks may still run; once they are surely gone all room is used again;
// the other team's guarantee is served meanwhile; and shares stay within the limits.
func TestLimitBesideCalledOff(t *testing.T) { limitBesideCalledOff(t, calledOffSeed) }

// calledOffSeed is the first seed of TestLimitBesideCalledOff.
const calledOffSeed = 7

// limitBesideCalledOff plays TestLimitBesideCalledOff with four seeds, this one the first.
func limitBesideCalledOff(t *testing.T, seed int) {
	for _, trouble := range []string{"cut off", "hung", "mute"} {
		for kind := range 4 {
			parted, ends := kind%2 == 1, kind/2 == 1
			name := fmt.Sprintf("%s, parted %v, the leader ends %v", trouble, parted, ends)
			par := cluster.Defaults()
			if par.SinglePartitionBelow = 0; parted {
				par.ShardLimitedAbove = 0
			}
			w := build(uint64(seed+kind), 3, 60, par, config.Cluster{
				InitialSize: 3, Zones: []string{"x", "y"}, ClockErrorMs: 50,
				Teams:   []config.Team{{Name: "red", CPUs: 12, CPUsMax: 24}, {Name: "blue", CPUs: 12, CPUsMax: 24}},
				Workers: config.Workers{ReportS: 2, LeaseS: 12, CancelS: 34},
				State:   config.State{RPS: 100, WriteRPS: 50, ValueKB: 8, TxnOps: 12},
				Cloud:   config.Cloud{RPS: 5, ListLagS: 4},
			})
			w.Run(5 * time.Second)
			first := w.replicas(1, 6, "red", 2)
			w.replicas(20, 5, "blue", 2)
			full := func(within time.Duration) bool {
				for end := w.now + within; w.now < end && w.used["red"] < 24; {
					w.Run(time.Second)
				}
				return w.used["red"] == 24
			}
			if !full(2 * time.Minute) {
				t.Fatalf("%s: red uses %v", name, w.used["red"])
			}
			w.replicas(40, 6, "red", 2)
			w.Run(5 * time.Second)
			long, hit := config.Seconds(w.cfg.Workers.LeaseS)+28*time.Second, map[*worker]bool{}
			for _, u := range first[:3] {
				for i := range 2 { // where its replicas are
					hit[w.where[fmt.Sprintf("%s/%d", u.job.ID, i)]] = true
				}
				w.after(w.within(200*time.Millisecond), func() { u.wantsCancel = true; u.cancel() })
			}
			for _, k := range w.byName() {
				switch {
				case !hit[k]:
				case trouble == "hung":
					k.hang = w.now + long
				case trouble == "mute":
					k.Mute(long)
				default:
					for _, n := range w.nodes {
						w.Cut(k.name, n.name, long)
					}
				}
			}
			if ends {
				w.Crash(w.leading(), 30*time.Second)
			}
			owed := w.replicas(60, 1, "blue", 2)[0]
			// A block changes hands within 21 s, its machines are given up a lease later,
			// and others come up. What is accepted meanwhile waits for nothing else.
			for i := range 8 {
				w.after(20*time.Second+time.Duration(i)*2*time.Second, func() { w.replicas(80+i, 1, "red", 2) })
			}
			w.Run(40 * time.Second)
			if !full(50 * time.Second) {
				t.Errorf("%s: 90 s later red uses %v of 24 processors, its shares %v", name, w.used["red"], w.nodes[0].core.ShardedTeams() > 0)
			}
			if owed.begunAt == 0 {
				t.Errorf("%s: 90 s later %s, within its team's guarantee, has not begun", name, owed.job.ID)
			}
			w.Run(20 * time.Second)
			for _, x := range w.Broken() {
				t.Errorf("%s: %s", name, x)
			}
		}
	}
}
