package owner

import (
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/sched"
)

// unknownUse is the most that tasks use which may run on machines of this block, or of any,
// and are not known here. The zero value says that there is no such bound, since the size of a machine
// is not known: then no limit allows for more, and no share can be given up.
type unknownUse struct {
	atMost  sched.Resources
	bounded bool
}

// allows reports whether a limit allows for more beside what is used, by tasks known here
// and by others.
func (u unknownUse) allows(limit sched.Limit, used, more sched.Resources) bool {
	return !limit.Any() || u.bounded && limit.Allows(used.Add(u.atMost, 1), more)
}

// unknownClusterUse returns what tasks may use on all controllers beside what clusterUse knows,
// where local is that of this block. Nothing bounds what a controller that holds machines has
// not told of late. When it is gone its block lapses, and the machines are another's.
func (o *Owner) unknownClusterUse(local unknownUse) unknownUse {
	for name, block := range o.view.Lease.Blocks {
		p := o.view.Peers[name]
		told := p != nil && o.loop.Now.Sub(p.LastFrame) < cluster.UsageMaxAge
		if name != o.view.Self && len(block.Machines) > 0 && !told {
			return unknownUse{}
		}
	}
	return local
}

// maxUse returns the most that tasks may use which run on some machines.
func (o *Owner) maxUse(machines []*machine) unknownUse {
	sum := unknownUse{bounded: true}
	for _, m := range machines {
		size, known := o.maxSize(m)
		if !known {
			return unknownUse{}
		}
		sum.atMost = sum.atMost.Add(size, 1)
	}
	return sum
}

// maxSize returns a machine's size, or that of the largest type while its type is not known.
// A process that has just started may know no types, and an earlier list may lack the
// machine's: taken for 0, what runs there would be given away with its quota share.
func (o *Owner) maxSize(m *machine) (size sched.Resources, known bool) {
	if m.size.CPUs > 0 {
		return m.size, true
	}
	if _, listed := o.view.MachineTypes[m.machineType]; m.machineType != "" && !listed {
		return size, false
	}
	return o.view.LargestMachine()
}
