// Package document defines the environment document: the one configuration
// of an environment, which operators edit, review and promote unchanged.
//
// The limits of each field are struct tags. The decoder enforces them and the
// reference page is made from them, so that the two cannot differ.
package document

// Document is the configuration of one environment. The same bytes serve
// trial and production; backend servers are found through the platform's host
// list, so the document holds no addresses.
type Document struct {
	Name     string    `validate:"required,max=64,name" doc:"name of the set-up, for people"`
	Services []Service `validate:"required,min=1,max=100,unique=Name,dive" doc:"the services that callers may ask for"`
	Teams    []Team    `validate:"required,min=1,max=1000,unique=Name,dive" doc:"the teams that may submit work"`
	Measures Measures  `doc:"how the two measures are weighed against each other"`
	Claims   Claims    `doc:"claims of submissions without a home token, in the platform's store"`
	Queues   []Queue   `json:",omitempty" validate:"max=10000,unique=Name,dive" doc:"the queues of restartable jobs"`
	Requests Requests  `doc:"limits on what callers of queues send"`
}

// Queue takes restartable jobs whose tasks run under leases.
type Queue struct {
	Name       string  `validate:"required,max=64" doc:"name of the queue"`
	Host       string  `validate:"max=255" doc:"host name under which callers reach the queue"`
	PathPrefix string  `validate:"required,max=255" doc:"start of the path of its jobs"`
	Service    string  `validate:"required,max=64" doc:"service whose backend servers run its tasks"`
	Priority   int     `validate:"min=0,max=1000" doc:"0 comes first"`
	Attempts   int     `validate:"min=0,max=1000" doc:"failures of one task after which its job has failed"`
	Stretch    float64 `validate:"min=0,max=1000" doc:"latency objective, as a multiple of the job's work"`
	TargetMs   int     `validate:"min=0,max=3600000" doc:"added to the latency objective, in milliseconds"`
	TimeoutMs  int     `validate:"min=0,max=3600000" doc:"longest wait of a caller, in milliseconds; 0 means that the request says it"`
	Advised    bool    `doc:"whether a policy service must be asked which backend servers may run a task; such jobs are refused"`
}

// Requests bounds what callers of queues send.
type Requests struct {
	MaxHeaderBytes int `validate:"min=0,max=1048576" doc:"largest header, in bytes; 0 means the default"`
	MaxBodyBytes   int `validate:"min=0,max=67108864" doc:"largest body, in bytes; 0 means the default"`
}

// Service is one service with its policies.
type Service struct {
	Name        string    `validate:"required,max=64,name" doc:"name used in requests"`
	Slots       int       `validate:"min=1,max=1024" doc:"tasks that one backend server runs at once"`
	Connections int       `validate:"min=1,max=4096,gtefield=Slots" doc:"connections to one backend server, all entry hosts together"`
	MemoryMB    int       `validate:"min=0,max=1048576" doc:"largest task size that a backend server can hold, in megabytes; 0 means unchecked"`
	PriorRunMs  int       `validate:"min=1,max=600000" doc:"assumed run time before any has been measured, in milliseconds"`
	MaxRunMs    int       `validate:"min=1,max=600000,gtefield=PriorRunMs" doc:"longest run time of a task, in milliseconds; later answers are not waited for"`
	Deadline    Deadline  `doc:"how long callers wait"`
	Retry       Retry     `doc:"repeating of requests"`
	Ejection    Ejection  `doc:"setting aside of backend servers that fail more than their peers"`
	Objective   Objective `doc:"the service-level objective"`
}

// Deadline bounds how long a caller waits.
type Deadline struct {
	DefaultMs int `validate:"min=1,max=3600000" doc:"deadline of a request that names none, in milliseconds"`
	MaxMs     int `validate:"min=1,max=3600000,gtefield=DefaultMs" doc:"longest deadline that a request may ask for, in milliseconds"`
}

// Retry is the policy for repeated sends.
type Retry struct {
	BudgetPercent int `validate:"min=0,max=100" doc:"repeats allowed, in percent of first sends"`
	MaxAttempts   int `validate:"min=1,max=10" doc:"sends of one request, the first included"`
	BackoffMinMs  int `validate:"min=1,max=60000" doc:"wait before the first repeat, in milliseconds; doubles with each one"`
	BackoffMaxMs  int `validate:"min=1,max=60000,gtefield=BackoffMinMs" doc:"longest wait before a repeat, in milliseconds"`
}

// Ejection is the policy for outlier detection.
type Ejection struct {
	MaxPercent int `validate:"min=0,max=50" doc:"backend servers of a service that may be ejected at once, in percent"`
	ProbeMs    int `validate:"min=10,max=600000" doc:"wait before an ejected server is given one probing task, in milliseconds"`
}

// Objective is a service-level objective.
type Objective struct {
	LatencyMs     int     `validate:"min=1,max=3600000" doc:"an answer later than this is bad, in milliseconds"`
	TargetPercent float64 `validate:"gt=0,lt=100" doc:"share of good answers promised, in percent"`
	WindowDays    int     `validate:"min=1,max=90" doc:"length of the budget window, in days"`
	CountRefusals bool    `doc:"whether refusals use up the error budget"`
}

// Team is one team of callers.
type Team struct {
	Name          string  `validate:"required,max=64,name" doc:"name used in requests"`
	Weight        int     `validate:"min=1,max=1000" doc:"share of a busy service, relative to other teams"`
	RatePerSecond float64 `validate:"gt=0,max=1000000" doc:"task starts a second, all entry hosts together"`
	Burst         int     `validate:"min=1,max=1000000" doc:"task starts that may come at once, all entry hosts together"`
	Concurrency   int     `validate:"min=1,max=1000000" doc:"tasks queued or running at once, all entry hosts together"`
}

// Measures weighs the two measures of the users.
type Measures struct {
	WastedMessageMs float64 `validate:"min=0,max=1000" doc:"response time that one wasted message is worth, in milliseconds; higher means fewer messages and longer waits"`
}

// Claims is the budget of the claim journal.
type Claims struct {
	WritesPerSecond int `validate:"min=1,max=1000" doc:"store writes a second for claims, all entry hosts together"`
}

// Service returns the service called name.
func (d *Document) Service(name string) (*Service, bool) {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i], true
		}
	}
	return nil, false
}

// Team returns the team called name.
func (d *Document) Team(name string) (*Team, bool) {
	for i := range d.Teams {
		if d.Teams[i].Name == name {
			return &d.Teams[i], true
		}
	}
	return nil, false
}
