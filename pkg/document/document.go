// Package document defines the environment document, which holds the whole
// configuration of an environment. Operators edit and review it in one environment
// and promote it unchanged to the next.
//
// The limits and the meaning of each field are struct tags. The decoder enforces the
// limits, and the reference page is generated from the same tags, so that the two
// cannot differ.
package document

// Document is the configuration of one environment. Trial and production use the
// same bytes: the document holds no addresses, since backend servers are found
// through the platform's host list.
type Document struct {
	Name     string    `validate:"required,max=64,name" doc:"name of the configuration, shown to operators"`
	Services []Service `validate:"required,min=1,max=100,unique=Name,dive" doc:"the services that callers may use"`
	Teams    []Team    `validate:"required,min=1,max=1000,unique=Name,dive" doc:"the teams that may submit work"`
	Measures Measures  `doc:"relative weight of the two quantities that scheduling minimizes, response time and wasted messages"`
	Claims   Claims    `doc:"limits on claims, the entries in the platform's store that let one host start a submission without a home token"`
	Queues   []Queue   `json:",omitempty" validate:"max=10000,unique=Name,dive" doc:"the queues of restartable jobs"`
	Requests Requests  `doc:"limits on the size of requests to queues"`
}

// Queue is a queue of restartable jobs, whose tasks run under leases.
type Queue struct {
	Name       string  `validate:"required,max=64" doc:"name of the queue"`
	Host       string  `validate:"max=255" doc:"host name under which callers reach the queue"`
	PathPrefix string  `validate:"required,max=255" doc:"prefix of the URL path of its jobs"`
	Service    string  `validate:"required,max=64" doc:"service whose backend servers run its tasks"`
	Priority   int     `validate:"min=0,max=1000" doc:"priority of its jobs; 0 is the highest"`
	Attempts   int     `validate:"min=0,max=1000" doc:"failed runs of one task after which its job fails; 0 means 1"`
	Stretch    float64 `validate:"min=0,max=1000" doc:"latency objective, as a multiple of the run time of the job's critical path"`
	TargetMs   int     `validate:"min=0,max=3600000" doc:"fixed part of the latency objective, which is added to the multiple, in milliseconds"`
	TimeoutMs  int     `validate:"min=0,max=3600000" doc:"longest time that a caller waits, in milliseconds; 0 means that each request states it"`
	Advised    bool    `doc:"whether a policy service decides which backend servers may run a task; not supported, so jobs of such a queue are refused"`
}

// Requests limits the size of requests to queues.
type Requests struct {
	MaxHeaderBytes int `validate:"min=0,max=1048576" doc:"largest header, in bytes; 0 means the default"`
	MaxBodyBytes   int `validate:"min=0,max=67108864" doc:"largest body, in bytes; 0 means the default"`
}

// Service is a service that backend servers provide, with its policies.
type Service struct {
	Name        string    `validate:"required,max=64,name" doc:"name used in requests"`
	Slots       int       `validate:"min=1,max=1024" doc:"tasks that one backend server runs at once"`
	Connections int       `validate:"min=1,max=4096,gtefield=Slots" doc:"connections to one backend server, summed over all entry hosts"`
	MemoryMB    int       `validate:"min=0,max=1048576" doc:"largest task size that a backend server can hold, in megabytes; 0 means unchecked"`
	PriorRunMs  int       `validate:"min=1,max=600000" doc:"run time assumed until one has been measured, in milliseconds"`
	MaxRunMs    int       `validate:"min=1,max=600000,gtefield=PriorRunMs" doc:"maximum run time of a task, in milliseconds; entry hosts do not wait longer for its answer"`
	Deadline    Deadline  `doc:"limits on how long callers wait"`
	Retry       Retry     `doc:"retry policy"`
	Ejection    Ejection  `doc:"outlier ejection: backend servers that fail more often than their peers get no tasks for a time"`
	Objective   Objective `doc:"the service-level objective"`
}

// Deadline limits how long a caller waits.
type Deadline struct {
	DefaultMs int `validate:"min=1,max=3600000" doc:"deadline of a request that states none, in milliseconds"`
	MaxMs     int `validate:"min=1,max=3600000,gtefield=DefaultMs" doc:"longest deadline that a request may state, in milliseconds"`
}

// Retry is the retry policy of a service.
type Retry struct {
	BudgetPercent int `validate:"min=0,max=100" doc:"retry budget, in percent of the first attempts"`
	MaxAttempts   int `validate:"min=1,max=10" doc:"attempts for one request, including the first"`
	BackoffMinMs  int `validate:"min=1,max=60000" doc:"backoff before the first retry, in milliseconds; doubles with each retry"`
	BackoffMaxMs  int `validate:"min=1,max=60000,gtefield=BackoffMinMs" doc:"longest backoff before a retry, in milliseconds"`
}

// Ejection is the outlier ejection policy of a service.
type Ejection struct {
	MaxPercent int `validate:"min=0,max=50" doc:"backend servers of a service that may be ejected at once, in percent"`
	ProbeMs    int `validate:"min=10,max=600000" doc:"time after which an ejected server gets one task as a probe, in milliseconds"`
}

// Objective is a service-level objective.
type Objective struct {
	LatencyMs     int     `validate:"min=1,max=3600000" doc:"an answer later than this is bad, in milliseconds"`
	TargetPercent float64 `validate:"gt=0,lt=100" doc:"objective for the share of good answers, in percent"`
	WindowDays    int     `validate:"min=1,max=90" doc:"length of the window of the error budget, in days"`
	CountRefusals bool    `doc:"whether refusals count as bad answers in the error budget"`
}

// Team is a team of callers, with its share and its quota.
type Team struct {
	Name          string  `validate:"required,max=64,name" doc:"name used in requests"`
	Weight        int     `validate:"min=1,max=1000" doc:"share of a service under contention, relative to other teams"`
	RatePerSecond float64 `validate:"gt=0,max=1000000" doc:"task starts per second, summed over all entry hosts"`
	Burst         int     `validate:"min=1,max=1000000" doc:"task starts allowed in one burst, summed over all entry hosts"`
	Concurrency   int     `validate:"min=1,max=1000000" doc:"tasks queued or running at the same time, summed over all entry hosts"`
}

// Measures sets the relative weight of the two quantities that scheduling minimizes:
// response time and wasted messages to backend servers.
type Measures struct {
	WastedMessageMs float64 `validate:"min=0,max=1000" doc:"response time that equals the cost of one wasted message, in milliseconds; a higher value means fewer messages and longer waits"`
}

// Claims limits the load that claims put on the platform's store.
type Claims struct {
	WritesPerSecond int `validate:"min=1,max=1000" doc:"store writes per second for claims, summed over all entry hosts"`
}

// Service returns the service called name and reports whether there is one.
func (d *Document) Service(name string) (*Service, bool) {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i], true
		}
	}
	return nil, false
}

// Team returns the team called name and reports whether there is one.
func (d *Document) Team(name string) (*Team, bool) {
	for i := range d.Teams {
		if d.Teams[i].Name == name {
			return &d.Teams[i], true
		}
	}
	return nil, false
}
