package owner

import (
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// A probe is a direct command that names no task. Its answer lists the tasks of the machine.

const (
	// maxProbesInFlight bounds the probes, so that a takeover of hundreds of machines does
	// not use up processor and sockets at one stroke.
	maxProbesInFlight = 24
	// probeInterval spaces the probes of a machine that answers them and does not report.
	probeInterval = time.Second
)

// learnEndpoint notes how a machine can be reached that has not reported yet. It is then
// probed: after a takeover every job that may have been started before waits until the last
// machine has reported, and the next heartbeats may be seconds away.
func (o *Owner) learnEndpoint(m *machine, info *peerpb.MachineInfo) {
	if info.GetEndpoint() == "" || m.endpoint != "" {
		return
	}
	m.endpoint, m.expectedEpoch = info.GetEndpoint(), max(1, info.GetAgentEpoch()) // epochs start at 1
	if m.machineType == "" {
		m.machineType, m.zone, m.spot = info.GetType(), info.GetZone(), info.GetSpot()
	}
	o.workers.toProbe[m.name] = true
}

// UpdateMachineInfo learns from lookup, by name, how to reach machines that have not
// reported yet.
func (o *Owner) UpdateMachineInfo(lookup func(name string) *peerpb.MachineInfo) {
	for name, m := range o.workers.machines {
		if m.endpoint != "" {
			continue
		}
		if info := lookup(name); info != nil {
			o.learnEndpoint(m, info)
		}
	}
	o.probeWorkers()
}

// LearnMachines learns from other controllers how to reach machines of the block.
func (o *Owner) LearnMachines(known []*peerpb.MachineInfo) {
	for _, info := range known {
		if m := o.workers.machines[info.GetName()]; m != nil {
			o.learnEndpoint(m, info)
		}
	}
	o.probeWorkers()
}

// probeWorkers probes machines that have not reported yet, or that have fallen silent. The
// answer counts as a status; the token that comes with the probe rules out commands of an
// earlier holder.
func (o *Owner) probeWorkers() {
	if len(o.workers.toProbe) == 0 || !o.mayStart() {
		return
	}
	for _, name := range cluster.SortedKeys(o.workers.toProbe) {
		m := o.workers.machines[name]
		if m == nil || !o.needsProbe(m) {
			delete(o.workers.toProbe, name)
			continue
		}
		if o.workers.probesInFlight >= maxProbesInFlight {
			return
		}
		if o.acceptsCommand(m) && !o.loop.Now.Before(m.nextProbe) {
			o.probe(m)
		}
	}
}

// needsProbe reports whether a probe of the machine may tell something new.
func (o *Owner) needsProbe(m *machine) bool {
	return !m.released() && !m.unreachable() && (m.agentEpoch == 0 || m.needsReconciliation || o.isSilent(m))
}

// probe asks a worker for its tasks.
func (o *Owner) probe(m *machine) {
	epoch := m.agentEpoch
	if epoch == 0 {
		epoch = m.expectedEpoch
	}
	o.workers.probesInFlight++
	body := wire.Commands{Token: o.tokenToSend(m), AgentEpoch: epoch, Commands: []wire.Command{}}
	o.sendDirect(m, body, o.blockLease.Expires(), func(d eventloop.Completion) {
		o.workers.probesInFlight--
		o.handleCommandResult(m, nil, d)
		if d.Outcome == eventloop.Conflict && m.agentEpoch != 0 && m.agentEpoch != epoch {
			m.commands.resume() // the epoch was wrong, and is known now
		}
		if d.Outcome == eventloop.Succeeded {
			o.placement.due = true
			// A worker that reaches no controller stays silent however often it answers.
			m.nextProbe = o.loop.Now.Add(probeInterval)
		}
		o.probeWorkers()
	})
}
