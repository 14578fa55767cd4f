package worker

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// message is one message on a session between an entry host and an owner. Exactly
// one field is set, besides those that accompany others: the owner sends Heartbeat, Result, Attached,
// Witness and CancelReply, the entry host the others. A host ignores fields that it doesn't know.
type message struct {
	Heartbeat *heartbeat `cbor:"1,keyasint,omitempty"`
	Ack       uint64     `cbor:"2,keyasint,omitempty"`
	Submit    *Job       `cbor:"3,keyasint,omitempty"`
	Cancel    string     `cbor:"4,keyasint,omitempty"`
	Result    *Result    `cbor:"5,keyasint,omitempty"`
	Attach    *attach    `cbor:"6,keyasint,omitempty"`
	Attached  *attached  `cbor:"7,keyasint,omitempty"`
	// Session and Acked accompany a heartbeat: the session, to which the entry host may
	// attach, and the newest ack that has arrived.
	Session SessionID `cbor:"8,keyasint,omitempty"`
	Acked   uint64    `cbor:"9,keyasint,omitempty"`
	// Closed accompanies a Heartbeat, Usual an Ack (usual.go). Hosts of earlier versions
	// ignore both.
	Closed []closedQueue `cbor:"10,keyasint,omitempty"`
	Usual  []queueUsual  `cbor:"11,keyasint,omitempty"`
	// Crashes accompanies a Heartbeat, with new records, and a Submit, with those of the job
	// (crashlog.go).
	Crashes []crashRecord `cbor:"12,keyasint,omitempty"`
	// StartOrReturn accompanies a Submit, Startable a Heartbeat (start_offer.go). Hosts of
	// earlier versions ignore both.
	StartOrReturn bool `cbor:"13,keyasint,omitempty"`
	Startable     int  `cbor:"14,keyasint,omitempty"`
	// Submission accompanies a Submit and the Result that answers it: the number of the
	// submission, 0 from hosts of earlier versions.
	Submission uint64 `cbor:"15,keyasint,omitempty"`
	// Submissions accompanies an Attach: the number of the latest submission of each of its Jobs.
	Submissions []uint64 `cbor:"16,keyasint,omitempty"`
	// UnwantedMs accompanies a Cancel: how long nobody had waited for the job when it was sent,
	// in milliseconds.
	UnwantedMs int64 `cbor:"17,keyasint,omitempty"`
	// LateStarts and ServerIDsKept accompany a Heartbeat or an Ack, with new records of the
	// late-start log, and a Result, with that of a lost job. ServerIDsKept is true; without it hosts
	// of earlier versions don't log the jobs that they lose with an owner.
	LateStarts    []lateStart `cbor:"18,keyasint,omitempty"`
	ServerIDsKept bool        `cbor:"19,keyasint,omitempty"`
	// Extend names a job for which another caller waits, ExtendMs is how long it does, in
	// milliseconds; 0 if that is unknown. Hosts of earlier versions ignore both.
	Extend   string `cbor:"20,keyasint,omitempty"`
	ExtendMs int64  `cbor:"21,keyasint,omitempty"`
	// Witness is sent by the owner, Witnessed acknowledges it with its number. Witnessing
	// accompanies an Ack: the entry host can be a witness. EndedJobs accompanies a Heartbeat: jobs
	// that the witness need not remember (witness.go). Hosts of earlier versions ignore all four.
	Witness    *witnessRequest `cbor:"22,keyasint,omitempty"`
	Witnessed  uint64          `cbor:"23,keyasint,omitempty"`
	Witnessing bool            `cbor:"24,keyasint,omitempty"`
	EndedJobs  []string        `cbor:"25,keyasint,omitempty"`
	// SettledJobs accompanies a Heartbeat: jobs of the entry host of which no start command may
	// still be executed.
	SettledJobs []string `cbor:"27,keyasint,omitempty"`
	// SettledSubmissions accompanies SettledJobs: the numbers of their submissions.
	SettledSubmissions []uint64 `cbor:"28,keyasint,omitempty"`
	// LateStartOwners accompanies LateStarts: the owner that each record is about.
	LateStartOwners []string `cbor:"26,keyasint,omitempty"`
	// CancelJob asks an owner to end a job, whoever waits for it, with CancelNumber. CancelReply
	// answers with that number, JobFound says what the owner knew of the job. AnswersCancels
	// accompanies a Heartbeat (cancel.go). Hosts of earlier versions ignore all five.
	CancelJob      string `cbor:"30,keyasint,omitempty"`
	CancelNumber   uint64 `cbor:"31,keyasint,omitempty"`
	CancelReply    uint64 `cbor:"32,keyasint,omitempty"`
	JobFound       uint8  `cbor:"33,keyasint,omitempty"`
	AnswersCancels bool   `cbor:"35,keyasint,omitempty"`
	// CancelledJobs accompanies a Heartbeat or an Ack: new records of the cancel log. Hosts of earlier
	// versions ignore it.
	CancelledJobs []cancelRecord `cbor:"34,keyasint,omitempty"`
}

// unwantedSince returns since when nobody waits for the job that m cancels. m was read at
// readAt.
func (m *message) unwantedSince(readAt time.Time) time.Time {
	return readAt.Add(-time.Duration(max(m.UnwantedMs, 0)) * time.Millisecond)
}

// newCancel returns a message that cancels a job for which nobody has waited since a time.
func newCancel(now time.Time, job string, since time.Time) message {
	return message{Cancel: job, UnwantedMs: now.Sub(since).Milliseconds()}
}

// heartbeat is what a host sends periodically on each session that an entry host has
// opened with it. The entry host acknowledges Number immediately.
type heartbeat struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	// IsOwner says whether the host owns its failure domain, Leaving whether it has
	// begun a planned stop.
	IsOwner bool `cbor:"Owner"`
	Leaving bool
	// KnownOwner is the incarnation that the host considers the owner of its failure
	// domain, empty if it knows none.
	KnownOwner string `cbor:"Hint"`
	// RetainedServers names the servers that a leaving owner still uses.
	RetainedServers []string `cbor:"Keeping"`
	Load            Load
}

// setLateStarts adds records of the late-start log to a message.
func (m *message) setLateStarts(l lateStartsMessage) {
	m.LateStarts, m.LateStartOwners, m.ServerIDsKept = l.records, l.owners, true
}

// job returns the submitted job with what accompanies it.
func (m *message) job() Job {
	j := *m.Submit
	j.StartOrReturn, j.Submission = m.StartOrReturn, m.Submission
	return j
}

// Bounds of the numbers that another host tells, so that no sum of them exceeds its type.
const (
	// maxToldServers and maxToldTasks are far above the servers and tasks of an owner.
	maxToldServers, maxToldTasks = 1_000_000, 1_000_000
	// maxToldCPUMilli is the processor capacity of maxToldServers of 1,000 cores each, in
	// thousandths of a core.
	maxToldCPUMilli = maxToldServers * 1_000_000
	// maxToldCoreMs is the work of a million cores in a day, in thousandths of a core-second.
	maxToldCoreMs = 1_000_000 * int64(MaxTime/time.Millisecond)
)

var errTooManyJobs = errors.New("the witness request names too many jobs")

// decodeMessage decodes a message of another host. It limits its numbers to their bounds and its
// lists to the lengths that hosts send; a job is checked by Validate. An earlier or a later
// version of a host may not do that.
func decodeMessage(b []byte) (message, error) {
	var m message
	if err := cbor.Unmarshal(b, &m); err != nil {
		return message{}, fmt.Errorf("decode message: %w", err)
	}
	if m.Heartbeat != nil {
		l := &m.Heartbeat.Load
		l.WaitMs = limit(l.WaitMs, MaxTime.Milliseconds())
		l.FreeCPUMilli = limit(l.FreeCPUMilli, maxToldCPUMilli)
		l.Servers = limit(l.Servers, maxToldServers)
	}
	if m.Result != nil {
		m.Result.RetryAfter = limit(m.Result.RetryAfter, maxRetryAfter)
	}
	m.Startable = limit(m.Startable, maxToldTasks)
	m.Closed = m.Closed[:min(len(m.Closed), maxToldQueues)]
	for i := range m.Closed {
		m.Closed[i].ReopensMs = limit(m.Closed[i].ReopensMs, MaxTime.Milliseconds())
	}
	m.Usual = m.Usual[:min(len(m.Usual), maxToldQueues)]
	for i := range m.Usual {
		m.Usual[i].CoreMs = limit(m.Usual[i].CoreMs, maxToldCoreMs)
	}
	m.Crashes = m.Crashes[:min(len(m.Crashes), maxRecordsInMessage)]
	m.LateStarts = m.LateStarts[:min(len(m.LateStarts), maxLateStartsInMessage)]
	if m.Witness != nil && len(m.Witness.Jobs) > maxNamedJobs {
		// A part of it must not be acknowledged for the whole.
		return message{}, errTooManyJobs
	}
	m.EndedJobs = m.EndedJobs[:min(len(m.EndedJobs), maxNamedJobs)]
	m.SettledJobs = m.SettledJobs[:min(len(m.SettledJobs), maxNamedJobs)]
	m.SettledSubmissions = m.SettledSubmissions[:min(len(m.SettledSubmissions), maxNamedJobs)]
	m.LateStartOwners = m.LateStartOwners[:min(len(m.LateStartOwners), maxLateStartsInMessage)]
	m.CancelledJobs = m.CancelledJobs[:min(len(m.CancelledJobs), maxCancelsInMessage)]
	if len(m.CancelJob) > maxJobIDBytes {
		return message{}, errors.New("decode message: the ID of the job to cancel is too long")
	}
	m.JobFound = min(m.JobFound, uint8(foundAndEnded))
	m.UnwantedMs = limit(m.UnwantedMs, MaxTime.Milliseconds())
	m.ExtendMs = limit(m.ExtendMs, MaxTime.Milliseconds())
	return m, nil
}

// limit returns n, or the nearest bound if it is not from 0 to most.
func limit[N int | int64 | time.Duration](n, most N) N { return min(max(n, 0), most) }
