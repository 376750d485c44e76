// Package config reads the settings file that the platform gives to every controller,
// checks it, and derives limits from it. Fields that it does not know are ignored, so that
// a newer platform can start an older controller. Nothing outside this package and wire
// knows the names of settings.
package config

import (
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

// Cluster is the part of the settings that is the same for all controllers.
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

// Objective is one of the operators' objectives for a class of jobs.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
	WithinS float64 `toml:"within_s"`
}

// Workers holds the intervals and lease times of workers, in seconds.
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

// Limits is the size of the controller's own machine; 0: not limited.
type Limits struct {
	Cores   float64 `toml:"cores"`
	RAMMB   float64 `toml:"ram_mb"`
	Sockets int     `toml:"sockets"`
}

const (
	// clientMemoryShare and serviceMemoryShare are the parts of the memory that bodies of
	// users and workers, and answers of the state service and the cloud, may take at once.
	// What the jobs and machines of the largest fleet take is under three quarters.
	clientMemoryShare  = 1.0 / 8
	serviceMemoryShare = 1.0 / 16
	// peerMemoryShare is the part that frames of other controllers may take at once.
	peerMemoryShare = 1.0 / 16
	// watchMemoryShare is the part that one answer to a watch may have as its size.
	watchMemoryShare = 1.0 / 32
)

// ClientMemory returns how many bytes bodies of users and workers may take at once; 0: not
// limited.
func (l Limits) ClientMemory() int64 { return l.memory(clientMemoryShare) }

// ServiceMemory returns how many bytes answers of the state service and the cloud may take at
// once; 0: not limited.
func (l Limits) ServiceMemory() int64 { return l.memory(serviceMemoryShare) }

// PeerMemory returns how many bytes frames of other controllers may take at once; 0: not
// limited.
func (l Limits) PeerMemory() int64 { return l.memory(peerMemoryShare) }

// WatchBytes returns how large an answer to a watch may be, in bytes; 0: not limited.
func (l Limits) WatchBytes() int64 { return l.memory(watchMemoryShare) }

// memory returns a part of the memory in bytes.
func (l Limits) memory(share float64) int64 { return int64(share * l.RAMMB * (1 << 20)) }

// Seconds returns a number of seconds as a duration.
func Seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// InventoryInterval returns how often the leader reads the cloud's machine list, when that takes
// few pages.
func (s *Settings) InventoryInterval() time.Duration {
	return max(2*time.Second, Seconds(s.Cluster.Cloud.ListLagS)/2)
}

// InventoryPageInterval returns the time from one page of the machine list to the next.
func (s *Settings) InventoryPageInterval() time.Duration {
	return Seconds(1 / (inventoryRequestShare * s.Cluster.Cloud.RPS))
}

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

// FieldError reports that a field of the settings is missing or contradicts another.
type FieldError struct {
	Field   string // as the file names it
	Problem string
}

// Error names the field and the problem.
func (e FieldError) Error() string { return e.Field + ": " + e.Problem }

// invalid returns the error for a field.
func invalid(field, problem string, args ...any) error {
	return FieldError{field, fmt.Sprintf(problem, args...)}
}

// minTxnOps is how many changes a transaction has to take: the end of a job changes three
// keys at once.
const minTxnOps = 3

// check returns a FieldError for the first field that is missing or contradicts another.
func (s *Settings) check() error {
	checks := []func() error{s.checkAddresses, s.Cluster.checkTeams, s.Cluster.checkAmounts, s.Cluster.checkOrder}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkAddresses checks the names and addresses of this controller, of the others and of
// the services.
func (s *Settings) checkAddresses() error {
	if s.HostName == "" {
		return invalid("host_name", "missing")
	}
	if s.Area == "" {
		return invalid("area", "missing")
	}
	if s.ClientListen != "" && s.ClientListen == s.ClusterListen {
		return invalid("cluster_listen", "the same address as client_listen")
	}
	type address struct{ field, value string }
	addresses := []address{
		{"client_listen", s.ClientListen}, {"cluster_listen", s.ClusterListen},
		{"external.cloud", s.External.Cloud}, {"external.state", s.External.State},
	}
	names := map[string]bool{s.HostName: true}
	for i, peer := range s.Peers {
		field := fmt.Sprintf("peers[%d]", i)
		if err := addName(names, field+".host_name", peer.HostName); err != nil {
			return err
		}
		addresses = append(addresses, address{field + ".endpoint", peer.Endpoint})
	}
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return invalid(a.field, "%q is no address of the form host:port", a.value)
		}
	}
	return nil
}

// addName adds a name to those that a list has so far. It must be there, and be new.
func addName(names map[string]bool, field, name string) error {
	if name == "" {
		return invalid(field, "missing")
	}
	if names[name] {
		return invalid(field, "%q is named twice", name)
	}
	names[name] = true
	return nil
}

// checkTeams checks the teams' names, guarantees and limits.
func (c *Cluster) checkTeams() error {
	names := map[string]bool{}
	for i, team := range c.Teams {
		field := fmt.Sprintf("cluster.teams[%d]", i)
		if err := addName(names, field+".name", team.Name); err != nil {
			return err
		}
		for _, amount := range []float64{team.CPUs, team.CPUsMax, team.GPUs, team.GPUsMax} {
			if !(amount >= 0) || math.IsInf(amount, 0) {
				return invalid(field, "amounts of %q must not be negative", team.Name)
			}
		}
		if team.CPUsMax > 0 && team.CPUs > team.CPUsMax {
			return invalid(field+".cpus", "the guarantee of %q is above cpus_max", team.Name)
		}
		if team.GPUsMax > 0 && team.GPUs > team.GPUsMax {
			return invalid(field+".gpus", "the guarantee of %q is above gpus_max", team.Name)
		}
	}
	return nil
}

// checkAmounts checks what must be above 0. (Fields that may be 0 are checked last, by
// checkOrder.)
func (c *Cluster) checkAmounts() error {
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
			return invalid(f.field, "must be above 0")
		}
	}
	return nil
}

// checkOrder checks fields against each other, and those that may be 0.
func (c *Cluster) checkOrder() error {
	if c.State.TxnOps < minTxnOps {
		return invalid("cluster.state.txn_ops", "at least %d are needed", minTxnOps)
	}
	if c.Workers.CancelS <= c.Workers.LeaseS {
		return invalid("cluster.workers.cancel_s", "must be above lease_s")
	}
	if c.Workers.LeaseS <= c.Workers.ReportS {
		return invalid("cluster.workers.lease_s", "must be above report_s")
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
			return invalid(f.field, "must not be negative")
		}
	}
	return nil
}
