package wire

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"reflect"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// MaxBody is the limit for request and answer bodies.
const MaxBody = 64 << 10

// MaxTasks is the largest number of tasks a job may have.
const MaxTasks = 100_000

// Shape says how the tasks of a job belong together.
type Shape string

// The shapes of jobs.
const (
	// Array: independent tasks, each runs to completion.
	Array Shape = "array"
	// Daemon: replicas that run until the job is cancelled.
	Daemon Shape = "daemon"
	// Group: a gang, whose tasks run all at once.
	Group Shape = "group"
)

// priorities are those that users may ask for, highest first.
var priorities = [...]string{"production", "urgent", "standard", "idle"}

// Job is a submission. The same map, extended by the fields of JobRecord, is
// what the state service keeps.
type Job struct {
	ID          string   `msgpack:"uid"`
	Class       string   `msgpack:"vrstaPosla"`
	Team        string   `msgpack:"vlasnik"`
	Shape       Shape    `msgpack:"oblik"`
	Priority    string   `msgpack:"hitnost"`
	Tasks       int      `msgpack:"komadi"`
	CPUs        float64  `msgpack:"vcpus"`
	GPUs        float64  `msgpack:"cards"`
	MemoryGB    float64  `msgpack:"memoryGb"`
	Image       string   `msgpack:"otisak"`
	ImageGB     float64  `msgpack:"pullGb"`
	Types       []string `msgpack:"kalupi"`
	Zone        string   `msgpack:"dvoriste"`
	SamePlace   bool     `msgpack:"samePlace"`
	Scatter     bool     `msgpack:"scatter"`
	Spot        bool     `msgpack:"posudba"`
	EstimateS   float64  `msgpack:"procjenaS"`
	CheckpointS float64  `msgpack:"biljegS"`
	SaveS       float64  `msgpack:"spremanjeS"`
	DeadlineS   *float64 `msgpack:"rokS"`
}

// Rank returns the place of the job's priority, 0 for the highest; an unknown one comes
// after all others.
func (j *Job) Rank() int {
	for i, p := range priorities {
		if p == j.Priority {
			return i
		}
	}
	return len(priorities)
}

// ValidJobID reports whether id has the form of a job id.
func ValidJobID(id string) bool {
	if len(id) < 9 || len(id) > 21 || id[:3] != "wk-" {
		return false
	}
	for _, c := range id[3:] {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// Errors of a submission that is not one map; see also FieldError.
var (
	ErrNotMap         = errors.New("not a map with text keys")
	ErrMoreThanOneMap = errors.New("more than one value")
)

// FieldError reports that a field of a submission is missing or invalid. Field is its name
// on the wire.
type FieldError struct{ Field string }

// Error names the field.
func (e FieldError) Error() string { return "field " + e.Field + " is missing or invalid" }

// ParseJob reads a submission. The error is a FieldError, one of the errors above, or what
// is wrong with the encoding. When the body holds a valid id the job has it even if another
// field is wrong, since a known id is answered whatever the rest says.
func ParseJob(body []byte) (Job, error) {
	var j Job
	first, rest, err := cutFirst(body)
	if err != nil {
		return j, fmt.Errorf("not MessagePack: %w", err)
	}
	f, err := readFields(first)
	if err != nil {
		return j, err
	}
	if id := f.text("uid"); ValidJobID(id) {
		j.ID = id
	} else {
		f.fail("uid")
	}
	if len(rest) > 0 {
		return j, ErrMoreThanOneMap
	}
	f.parseKind(&j)
	f.parseNeeds(&j)
	f.parsePlacement(&j)
	f.parseTimes(&j)
	return j, f.err
}

// parseKind reads what job it is and how many tasks it has.
func (f *fields) parseKind(j *Job) {
	j.Class = f.text("vrstaPosla")
	j.Team = f.text("vlasnik")
	j.Shape = Shape(f.text("oblik"))
	if j.Shape != Array && j.Shape != Daemon && j.Shape != Group {
		f.fail("oblik")
	}
	j.Priority = f.text("hitnost")
	if j.Rank() == len(priorities) {
		f.fail("hitnost")
	}
	if n := f.count("komadi"); n >= 1 && n <= MaxTasks {
		j.Tasks = int(n)
	} else {
		f.fail("komadi")
	}
}

// parseNeeds reads what each task takes of its machine.
func (f *fields) parseNeeds(j *Job) {
	j.CPUs = f.amount("vcpus")
	j.GPUs = f.amount("cards")
	j.MemoryGB = f.amount("memoryGb")
	j.Image = f.text("otisak")
	j.ImageGB = f.amount("pullGb")
}

// parsePlacement reads where the tasks may run.
func (f *fields) parsePlacement(j *Job) {
	j.Types = f.texts("kalupi")
	if f.present("dvoriste") {
		if j.Zone = f.text("dvoriste"); j.Zone == "" {
			f.fail("dvoriste")
		}
	}
	j.SamePlace = f.flag("samePlace")
	j.Scatter = f.flag("scatter")
	j.Spot = f.flag("posudba")
}

// parseTimes reads how long tasks run, when they save and when the job should be done.
func (f *fields) parseTimes(j *Job) {
	j.EstimateS = f.amount("procjenaS")
	j.CheckpointS = f.amount("biljegS")
	j.SaveS = f.amount("spremanjeS")
	if f.present("rokS") {
		deadline := f.amount("rokS")
		j.DeadlineS = &deadline
	}
}

// jobFields are the names of the fields of a submission.
var jobFields = fieldNames(reflect.TypeFor[Job]())

// fields reads the fields of a submission and keeps the first error.
type fields struct {
	values map[string]any // scalars, and lists of texts as []string
	err    error
}

// invalid is the value of a field that no field may have.
type invalid struct{}

// readFields reads the map of a submission, whose structure is sound. Fields that no
// submission has are passed over.
func readFields(message []byte) (*fields, error) {
	if !isMap(message[0]) {
		return nil, ErrNotMap
	}
	decoder := msgpack.NewDecoder(bytes.NewReader(message))
	n, err := decoder.DecodeMapLen()
	if err != nil {
		return nil, fmt.Errorf("not MessagePack: %w", err)
	}
	f := &fields{values: make(map[string]any, len(jobFields))}
	for range n {
		name, err := decoder.DecodeString()
		if err != nil {
			return nil, fmt.Errorf("not MessagePack: %w", err)
		}
		if err := f.readField(decoder, name); err != nil {
			return nil, fmt.Errorf("not MessagePack: %w", err)
		}
	}
	return f, nil
}

// readField reads the value of one field.
func (f *fields) readField(decoder *msgpack.Decoder, name string) error {
	code, err := decoder.PeekCode()
	if err != nil {
		return err
	}
	switch {
	case !jobFields[name]:
		return decoder.Skip()
	case !isContainer(code):
		f.values[name], err = decoder.DecodeInterface()
		return err
	}
	raw, err := decoder.DecodeRaw()
	if err != nil {
		return err
	}
	texts, ok := readTexts(raw)
	if !ok {
		f.values[name] = invalid{}
		return nil
	}
	f.values[name] = texts
	return nil
}

// readTexts reads a list of texts; ok is false for any other list or map.
func readTexts(raw msgpack.RawMessage) (texts []string, ok bool) {
	decoder := msgpack.NewDecoder(bytes.NewReader(raw))
	n, err := decoder.DecodeArrayLen()
	if err != nil {
		return nil, false
	}
	texts = make([]string, 0, n)
	for range n {
		code, err := decoder.PeekCode()
		if err != nil || !msgpcode.IsString(code) {
			return nil, false
		}
		text, err := decoder.DecodeString()
		if err != nil {
			return nil, false
		}
		texts = append(texts, text)
	}
	return texts, true
}

// fail records that a field is missing or invalid.
func (f *fields) fail(name string) {
	if f.err == nil {
		f.err = FieldError{name}
	}
}

// present reports whether a field is there and not null.
func (f *fields) present(name string) bool { return f.values[name] != nil }

// text reads a text.
func (f *fields) text(name string) string {
	s, ok := f.values[name].(string)
	if !ok {
		f.fail(name)
	}
	return s
}

// texts reads a list of texts that may be null.
func (f *fields) texts(name string) []string {
	if !f.present(name) {
		return nil
	}
	texts, ok := f.values[name].([]string)
	if !ok {
		f.fail(name)
	}
	return texts
}

// flag reads a boolean.
func (f *fields) flag(name string) bool {
	b, ok := f.values[name].(bool)
	if !ok {
		f.fail(name)
	}
	return b
}

// amount reads a number that is not negative.
func (f *fields) amount(name string) float64 {
	v, ok := number(f.values[name])
	if !ok || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		f.fail(name)
		return 0
	}
	return v
}

// count reads a whole number. A decimal such as 4.0 is not one.
func (f *fields) count(name string) int64 {
	switch v := f.values[name].(type) {
	case float32, float64:
		f.fail(name)
		return 0
	default:
		n, ok := number(v)
		if !ok || n < 0 || n > 1<<53 {
			f.fail(name)
			return 0
		}
		return int64(n)
	}
}

// number returns a decoded number of any type.
func number(v any) (float64, bool) {
	switch n := v.(type) {
	case float32:
		return float64(n), true
	case float64:
		return n, true
	case int8:
		return float64(n), true
	case int16:
		return float64(n), true
	case int32:
		return float64(n), true
	case int64:
		return float64(n), true
	case uint8:
		return float64(n), true
	case uint16:
		return float64(n), true
	case uint32:
		return float64(n), true
	case uint64:
		return float64(n), true
	}
	return 0, false
}

// The states of a job that users are told.
const (
	Pending   = "pending"
	Running   = "running"
	Done      = "done"
	Cancelled = "cancelled"
)

// JobAnswer is the answer to a submission, query or cancellation. Done and Running are
// numbers of tasks, for display.
type JobAnswer struct {
	ID      string `msgpack:"uid"`
	State   string `msgpack:"stanje"`
	Done    int    `msgpack:"done"`
	Running int    `msgpack:"running"`
}

// ErrorAnswer says why a request is refused.
type ErrorAnswer struct {
	Error string `msgpack:"error"`
}
