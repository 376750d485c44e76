// Package config reads the settings file that the platform hands to every
// controller and checks it. Fields it does not know are ignored, so that a
// newer platform can start an older controller.
package config

import (
	"errors"
	"fmt"
	"math"
	"net"
	"time"

	"github.com/BurntSushi/toml"
)

// Settings is the whole settings file.
type Settings struct {
	HostName      string   `toml:"host_name"`
	Area          string   `toml:"area"`
	ClientListen  string   `toml:"client_listen"`
	ClusterListen string   `toml:"cluster_listen"`
	Peers         []Peer   `toml:"peers"`
	External      External `toml:"external"`
	Cluster       Cluster  `toml:"cluster"`
}

// Peer is another controller.
type Peer struct {
	HostName string `toml:"host_name"`
	Area     string `toml:"area"`
	Endpoint string `toml:"endpoint"`
}

// External names the services the controllers depend on.
type External struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Cluster is what all controllers share.
type Cluster struct {
	InitialSize  int         `toml:"initial_size"`
	Zones        []string    `toml:"zones"`
	ClockErrorMs float64     `toml:"clock_error_ms"`
	Teams        []Team      `toml:"teams"`
	Objectives   []Objective `toml:"objectives"`
	Workers      Workers     `toml:"workers"`
	State        State       `toml:"state"`
	Cloud        Cloud       `toml:"cloud"`
	Limits       Limits      `toml:"limits"`
}

// Team is one team with its guarantee and its limit; 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective restates one of the operator's aims.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
	WithinS float64 `toml:"within_s"`
}

// Workers holds the rhythm of reports and leases.
type Workers struct {
	ReportS float64 `toml:"report_s"`
	LeaseS  float64 `toml:"lease_s"`
	CancelS float64 `toml:"cancel_s"`
}

// State holds the limits of the state service.
type State struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Cloud holds the limits of the cloud.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Limits is the size of the controller's own machine.
type Limits struct {
	Cores   float64 `toml:"cores"`
	RAMMB   float64 `toml:"ram_mb"`
	Sockets int     `toml:"sockets"`
}

// Seconds turns a number of seconds into a duration.
func Seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// ListEvery is how often the leader reads the machine list, when that takes few
// pages.
func (s *Settings) ListEvery() time.Duration {
	return max(2*time.Second, Seconds(s.Cluster.Cloud.ListLagS)/2)
}

// ListPause is the time from one page of the machine list to the next.
func (s *Settings) ListPause() time.Duration { return Seconds(1 / (listPart * s.Cluster.Cloud.RPS)) }

// Load reads and checks the file at path.
func Load(path string) (*Settings, error) {
	var s Settings
	if _, err := toml.DecodeFile(path, &s); err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return &s, nil
}

// check reports the first field that is missing or contradicts another.
func (s *Settings) check() error {
	if s.HostName == "" {
		return errors.New("host_name: missing")
	}
	if s.Area == "" {
		return errors.New("area: missing")
	}
	addresses := []struct{ field, value string }{
		{"client_listen", s.ClientListen}, {"cluster_listen", s.ClusterListen},
		{"external.cloud", s.External.Cloud}, {"external.state", s.External.State},
	}
	if s.ClientListen != "" && s.ClientListen == s.ClusterListen {
		return errors.New("cluster_listen: the same address as client_listen")
	}
	names := map[string]bool{s.HostName: true}
	for i, p := range s.Peers {
		if p.HostName == "" {
			return fmt.Errorf("peers[%d].host_name: missing", i)
		}
		if names[p.HostName] {
			return fmt.Errorf("peers[%d].host_name: %q is named twice", i, p.HostName)
		}
		names[p.HostName] = true
		addresses = append(addresses, struct{ field, value string }{fmt.Sprintf("peers[%d].endpoint", i), p.Endpoint})
	}
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return fmt.Errorf("%s: %q is no address of the form host:port", a.field, a.value)
		}
	}
	c := &s.Cluster
	teams := map[string]bool{}
	for i, t := range c.Teams {
		if t.Name == "" {
			return fmt.Errorf("cluster.teams[%d].name: missing", i)
		}
		if teams[t.Name] {
			return fmt.Errorf("cluster.teams[%d].name: %q is named twice", i, t.Name)
		}
		teams[t.Name] = true
		for _, v := range []float64{t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax} {
			if !(v >= 0) || math.IsInf(v, 0) {
				return fmt.Errorf("cluster.teams[%d]: amounts of %q must not be negative", i, t.Name)
			}
		}
		if t.CPUsMax > 0 && t.CPUs > t.CPUsMax {
			return fmt.Errorf("cluster.teams[%d].cpus: the guarantee of %q is above cpus_max", i, t.Name)
		}
		if t.GPUsMax > 0 && t.GPUs > t.GPUsMax {
			return fmt.Errorf("cluster.teams[%d].gpus: the guarantee of %q is above gpus_max", i, t.Name)
		}
	}
	for _, f := range []struct {
		field string
		value float64
	}{
		{"cluster.initial_size", float64(c.InitialSize)},
		{"cluster.workers.report_s", c.Workers.ReportS},
		{"cluster.workers.lease_s", c.Workers.LeaseS},
		{"cluster.workers.cancel_s", c.Workers.CancelS},
		{"cluster.state.rps", c.State.RPS},
		{"cluster.state.write_rps", c.State.WriteRPS},
		{"cluster.state.value_kb", c.State.ValueKB},
		{"cluster.state.txn_ops", float64(c.State.TxnOps)},
		{"cluster.cloud.rps", c.Cloud.RPS},
	} {
		if !(f.value > 0) || math.IsInf(f.value, 0) {
			return fmt.Errorf("%s: must be above 0", f.field)
		}
	}
	// Finishing a job changes three keys at once, so fewer cannot work.
	if c.State.TxnOps < 3 {
		return errors.New("cluster.state.txn_ops: at least 3 are needed")
	}
	if c.Workers.CancelS <= c.Workers.LeaseS {
		return errors.New("cluster.workers.cancel_s: must be above lease_s")
	}
	if c.Workers.LeaseS <= c.Workers.ReportS {
		return errors.New("cluster.workers.lease_s: must be above report_s")
	}
	for _, f := range []struct {
		field string
		value float64
	}{
		{"cluster.clock_error_ms", c.ClockErrorMs},
		{"cluster.cloud.list_lag_s", c.Cloud.ListLagS},
		{"cluster.limits.cores", c.Limits.Cores},
		{"cluster.limits.ram_mb", c.Limits.RAMMB},
		{"cluster.limits.sockets", float64(c.Limits.Sockets)},
	} {
		if !(f.value >= 0) || math.IsInf(f.value, 0) {
			return fmt.Errorf("%s: must not be negative", f.field)
		}
	}
	return nil
}
