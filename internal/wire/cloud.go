package wire

// MachineType is one kind of machine the cloud rents.
type MachineType struct {
	Name      string   `msgpack:"sku"`
	CPUs      float64  `msgpack:"vcpus"`
	GPUs      float64  `msgpack:"cards"`
	MemoryGB  float64  `msgpack:"memoryGb"`
	CacheGB   float64  `msgpack:"cacheGb"`
	FetchGBPS float64  `msgpack:"pullGbPerS"`
	Price     float64  `msgpack:"hourly"`
	SpotPrice float64  `msgpack:"lowPrice"`
	BootS     float64  `msgpack:"readyS"`
	Zones     []string `msgpack:"dvorista"`
}

// MachineTypes is the answer of /machine_types.
type MachineTypes struct {
	Types List[MachineType] `msgpack:"kalupi"`
}

// MaxInstancesPerRequest and MaxDeletesPerRequest bound one request; MaxInstancesPerPage one page.
const (
	MaxInstancesPerRequest = 50
	MaxDeletesPerRequest   = 100
	MaxInstancesPerPage    = 500
)

// InstanceRequest asks for machines.
type InstanceRequest struct {
	ID    string `msgpack:"narudzba"`
	Type  string `msgpack:"kalup"`
	Zone  string `msgpack:"dvoriste"`
	Spot  bool   `msgpack:"posudba"`
	Count int    `msgpack:"number"`
}

// Names is a list of machine names.
type Names struct {
	Machines []string `msgpack:"strojevi"`
}

// The states of a machine in the cloud's list.
const (
	MachineBooting = "booting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)

// Machine is one machine in the cloud's list.
type Machine struct {
	Name     string  `msgpack:"uid"`
	Endpoint string  `msgpack:"endpoint"`
	Type     string  `msgpack:"kalup"`
	Zone     string  `msgpack:"dvoriste"`
	Spot     bool    `msgpack:"posudba"`
	State    string  `msgpack:"stanje"`
	AgeS     float64 `msgpack:"heldS"`
}

// MachineList is one page of the cloud's list.
type MachineList struct {
	Machines List[Machine] `msgpack:"strojevi"`
	More     bool          `msgpack:"more"`
}
