package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const good = `
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

func load(t *testing.T, text string) error {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := Load(path)
	return err
}

func TestLoad(t *testing.T) {
	if err := load(t, good); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, names string }{
		{`host_name = "n0"`, ``, "host_name"},
		{`host_name = "n1"`, `host_name = "n0"`, "peers[0].host_name"},
		{`client_listen = "127.0.0.1:8080"`, `client_listen = "here"`, "client_listen"},
		{`cluster_listen = "127.0.0.1:8081"`, `cluster_listen = "127.0.0.1:8080"`, "cluster_listen"},
		{`cpus = 4.0`, `cpus = 9.0`, "cluster.teams[0].cpus"},
		{`cpus = 4.0`, `cpus = -1.0`, "cluster.teams[0]"},
		{`cancel_s = 30.0`, `cancel_s = 10.0`, "cluster.workers.cancel_s"},
		{`lease_s = 12.0`, `lease_s = 1.0`, "cluster.workers.lease_s"},
		{`write_rps = 20.0`, `write_rps = 0.0`, "cluster.state.write_rps"},
		{`write_rps = 20.0`, `write_rps = nan`, "cluster.state.write_rps"},
		{`ram_mb = 179.0`, `ram_mb = "much"`, "ram_mb"},
		{`[external]`, `[external`, "toml"},
	} {
		err := load(t, strings.Replace(good, c.from, c.to, 1))
		if err == nil || !strings.Contains(err.Error(), c.names) {
			t.Errorf("%q -> %q: %v, should name %s", c.from, c.to, err, c.names)
		}
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none.toml")); err == nil {
		t.Error("a missing file is accepted")
	}
}

func TestFleetRoom(t *testing.T) {
	for _, c := range []struct {
		kb          float64
		controllers int
		least, most int
	}{{4, 5, 609, 1200}, {8, 5, 1467, 2400}, {1, 5, 0, 0}} {
		s := Settings{Cluster: Cluster{InitialSize: c.controllers, State: State{ValueKB: c.kb}}}
		if got := s.LeaseCapacity(); got < c.least || got > c.most {
			t.Errorf("%v KiB, %d controllers: room for %d machines, want %d to %d", c.kb, c.controllers, got, c.least, c.most)
		}
	}
}

// TestBudgets: the tightest limit comes first, more of it allows a larger
// fleet, and a limit that is not set bounds nothing.
func TestBudgets(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.toml")
	if err := os.WriteFile(path, []byte(good), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	of := func() map[string]int {
		out := map[string]int{}
		last := 0
		for _, b := range s.FleetLimits() {
			if b.Machines < last {
				t.Errorf("%s allows %d machines and comes after %d", b.Resource, b.Machines, last)
			}
			last = b.Machines
			out[b.Setting] = b.Machines
		}
		return out
	}
	before := of()
	if len(before) != 5 {
		t.Fatalf("budgets: %v", before)
	}
	s.Cluster.Limits.Sockets *= 2
	if got := of(); got["cluster.limits.sockets"] != 2*before["cluster.limits.sockets"] {
		t.Errorf("twice the sockets: %v, before %v", got, before)
	}
	s.Cluster.State.TxnOps = 3 // too few for pages
	if got := of(); got["cluster.state.value_kb"] >= before["cluster.state.value_kb"]/4 {
		t.Errorf("without pages: %v, with them %v", got, before)
	}
	s.Cluster.Limits.Sockets = 0
	if _, ok := of()["cluster.limits.sockets"]; ok {
		t.Error("a limit that is not set bounds the fleet")
	}
}

// TestFleetOfFourThousand: no constant of the budgets keeps a fleet below 4,000
// machines on deployments of the shapes met so far. The budgets that stay below
// are those whose figure is measured and whose amount the settings give: the
// controllers are too few or too small.
func TestFleetOfFourThousand(t *testing.T) {
	const wanted = 4000
	type shape struct {
		name        string
		controllers int
		limits      Limits
		state       State
		cloud       Cloud
		reportS     float64
		teams       int
		below       map[string]int // what stays below, by field, and what it allows
	}
	const cores, ram, sockets = "cluster.limits.cores", "cluster.limits.ram_mb", "cluster.limits.sockets"
	for _, c := range []shape{
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
			for _, b := range s.FleetLimits() {
				least, known := c.below[b.Setting]
				if known && b.Machines >= wanted {
					t.Errorf("%s allows %d machines and is listed as below %d", b.Resource, b.Machines, wanted)
				}
				if !known {
					least = wanted
				}
				// A machine less may be the rounding of a product.
				if b.Machines < least-1 {
					t.Errorf("%s allows %d machines, want %d", b.Resource, b.Machines, least)
				}
			}
		})
	}
}
