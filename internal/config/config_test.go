package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// validSettings is a settings file without an error.
const validSettings = `
host_name = "n0"
area = "x"
client_listen = "127.0.0.1:8080"
cluster_listen = "127.0.0.1:8081"
new_field = 3
[[peers]]
host_name = "n1"
area = "y"
endpoint = "127.0.0.2:8081"
[external]
cloud = "127.0.0.3:1"
state = "127.0.0.3:2"
[cluster]
initial_size = 2
[[cluster.teams]]
name = "red"
cpus = 4.0
cpus_max = 8.0
[cluster.workers]
report_s = 2.0
lease_s = 12.0
cancel_s = 30.0
[cluster.state]
rps = 100.0
write_rps = 20.0
value_kb = 4.0
txn_ops = 12
[cluster.cloud]
rps = 5.0
list_lag_s = 6.0
[cluster.limits]
cores = 0.2
ram_mb = 179.0
sockets = 1500
`

// load loads settings from a file with a text.
func load(t *testing.T, text string) (*Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(path)
}

// TestInvalidSettingsAreRefused guards against starting with settings that cannot work: the
// error names the setting.
func TestInvalidSettingsAreRefused(t *testing.T) {
	s, err := load(t, validSettings)
	if err != nil {
		t.Fatal(err)
	}
	if s.HostName != "n0" {
		t.Errorf("HostName = %q, want n0", s.HostName)
	}
	for _, c := range []struct{ name, from, to, wantSetting string }{
		{"no host name", `host_name = "n0"`, ``, "host_name"},
		{"host name of a peer", `host_name = "n1"`, `host_name = "n0"`, "peers[0].host_name"},
		{"address without a port", `client_listen = "127.0.0.1:8080"`, `client_listen = "here"`, "client_listen"},
		{"address used twice", `cluster_listen = "127.0.0.1:8081"`, `cluster_listen = "127.0.0.1:8080"`, "cluster_listen"},
		{"team guarantee above its limit", `cpus = 4.0`, `cpus = 9.0`, "cluster.teams[0].cpus"},
		{"negative team guarantee", `cpus = 4.0`, `cpus = -1.0`, "cluster.teams[0]"},
		{"cancellation before the lease ends", `cancel_s = 30.0`, `cancel_s = 10.0`, "cluster.workers.cancel_s"},
		{"lease shorter than the heartbeat interval", `lease_s = 12.0`, `lease_s = 1.0`, "cluster.workers.lease_s"},
		{"no writes", `write_rps = 20.0`, `write_rps = 0.0`, "cluster.state.write_rps"},
		{"write rate is not a number", `write_rps = 20.0`, `write_rps = nan`, "cluster.state.write_rps"},
		{"text for a number", `ram_mb = 179.0`, `ram_mb = "much"`, "ram_mb"},
		{"malformed file", `[external]`, `[external`, "toml"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := load(t, strings.Replace(validSettings, c.from, c.to, 1))
			if err == nil || !strings.Contains(err.Error(), c.wantSetting) {
				t.Errorf("%q -> %q: error = %v, want one that names %s", c.from, c.to, err, c.wantSetting)
			}
		})
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none.toml")); err == nil {
		t.Error("Load of a missing file: error = nil, want an error")
	}
}

// TestLeaseCapacityFollowsValueSize guards against a lease value that does not hold the
// instances of the cluster, and against a capacity far below what it holds.
func TestLeaseCapacityFollowsValueSize(t *testing.T) {
	for _, c := range []struct {
		name        string
		valueKB     float64
		controllers int
		least, most int
	}{
		{"4 KiB", 4, 5, 609, 1200},
		{"8 KiB", 8, 5, 1467, 2400},
		{"too small for any instance", 1, 5, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := Settings{Cluster: Cluster{InitialSize: c.controllers, State: State{ValueKB: c.valueKB}}}
			if got := s.LeaseCapacity(); got < c.least || got > c.most {
				t.Errorf("%v KiB, %d controllers: LeaseCapacity = %d, want %d to %d", c.valueKB, c.controllers, got, c.least, c.most)
			}
		})
	}
}

// TestFleetLimitsFollowSettings guards against a cluster size that ignores a setting: the
// tightest limit comes first, more of a resource allows more instances, and a limit that is
// not set bounds nothing.
func TestFleetLimitsFollowSettings(t *testing.T) {
	s, err := load(t, validSettings)
	if err != nil {
		t.Fatal(err)
	}
	// limits returns the instances that each setting allows, and checks their order.
	limits := func() map[string]int {
		machines := map[string]int{}
		last := 0
		for _, limit := range s.FleetLimits() {
			if limit.Machines < last {
				t.Errorf("%s allows %d instances and comes after %d, want ascending limits", limit.Resource, limit.Machines, last)
			}
			last = limit.Machines
			machines[limit.Setting] = limit.Machines
		}
		return machines
	}
	before := limits()
	if len(before) != 5 {
		t.Fatalf("limits = %v, want 5", before)
	}
	s.Cluster.Limits.Sockets *= 2
	if got := limits(); got["cluster.limits.sockets"] != 2*before["cluster.limits.sockets"] {
		t.Errorf("limits with twice the sockets = %v, want twice the limit of sockets in %v", got, before)
	}
	s.Cluster.State.TxnOps = 3 // too few for pages
	if got := limits(); got["cluster.state.value_kb"] >= before["cluster.state.value_kb"]/4 {
		t.Errorf("limits without pages = %v, want value_kb below a quarter of that in %v", got, before)
	}
	s.Cluster.Limits.Sockets = 0
	if _, ok := limits()["cluster.limits.sockets"]; ok {
		t.Error("sockets without a limit bound the number of instances, want no limit")
	}
}

// TestFourThousandInstancesAreAllowed guards against a constant that keeps a cluster below
// 4,000 instances on the deployments known so far. The limits that stay below are those whose
// cost per instance is measured and whose amount the settings give: the controllers are too
// few or too small.
func TestFourThousandInstancesAreAllowed(t *testing.T) {
	const wanted = 4000
	type deployment struct {
		name        string
		controllers int
		limits      Limits
		state       State
		cloud       Cloud
		reportS     float64
		teams       int
		below       map[string]int // limits that stay below, by setting, and what they allow
	}
	const cores, ram, sockets = "cluster.limits.cores", "cluster.limits.ram_mb", "cluster.limits.sockets"
	for _, c := range []deployment{
		{"five controllers, 1,500 sockets, five teams", 5, Limits{0.18, 179, 1500}, State{80, 20, 4, 12}, Cloud{5, 6}, 2.5, 5, nil},
		{"five controllers, 3,000 sockets, one team", 5, Limits{0.24, 179, 3000}, State{150, 50, 8, 40}, Cloud{5, 10}, 6, 1, nil},
		{"five large controllers, 3,225 sockets, five teams", 5, Limits{0.384, 441, 3225}, State{180, 50, 4, 12}, Cloud{8, 6}, 5, 5, nil},
		{"five controllers, 2,781 sockets, one team", 5, Limits{0.228, 169, 2781}, State{150, 50, 8, 40}, Cloud{5, 10}, 6, 1, nil},
		{"five small controllers, 1,000 sockets, frequent reports", 5, Limits{0.12, 125, 1000}, State{250, 100, 16, 16}, Cloud{4, 6}, 1.5, 2,
			map[string]int{cores: 2250, ram: 3675, sockets: 2800}},
		{"three controllers, 1,500 sockets, five teams", 3, Limits{0.18, 179, 1500}, State{80, 20, 4, 12}, Cloud{5, 6}, 2.5, 5,
			map[string]int{cores: 3375, ram: 3339, sockets: 2100}},
		{"three controllers, 3,000 sockets, one team", 3, Limits{0.24, 179, 3000}, State{150, 50, 8, 40}, Cloud{5, 10}, 3, 1,
			map[string]int{ram: 3339}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := Settings{Cluster: Cluster{InitialSize: c.controllers, Limits: c.limits, State: c.state, Cloud: c.cloud,
				Workers: Workers{ReportS: c.reportS}, Teams: make([]Team, c.teams)}}
			for _, limit := range s.FleetLimits() {
				least, known := c.below[limit.Setting]
				if known && limit.Machines >= wanted {
					t.Errorf("%s allows %d instances, want fewer than %d as listed", limit.Resource, limit.Machines, wanted)
				}
				if !known {
					least = wanted
				}
				// One instance less may be the rounding of a product.
				if limit.Machines < least-1 {
					t.Errorf("%s allows %d instances, want %d", limit.Resource, limit.Machines, least)
				}
			}
		})
	}
}
