package worker

// The jobs that an owner may have started, as an entry host or a witness remembers them (witness.go,
// rules 4, 5 and 7).

import (
	"maps"
	"slices"
	"time"
)

// startableJobs are the jobs that an owner may have started, as another host remembers them,
// each with the time up to which it counts; the zero time if the owner says when.
type startableJobs map[string]time.Time

// startableOf returns the jobs of an owner that this host remembers.
func (e *Entry) startableOf(owner string) startableJobs {
	if e.remembered[owner] == nil {
		e.remembered[owner] = startableJobs{}
	}
	return e.remembered[owner]
}

// handleWitnessRequest remembers jobs that an owner may start.
func (e *Entry) handleWitnessRequest(now time.Time, owner string, r witnessRequest) {
	if v := e.viewOf(owner); v == nil || !v.open {
		return
	}
	jobs := e.startableOf(owner)
	if r.All {
		for id, until := range jobs {
			if until.IsZero() {
				jobs[id] = now.Add(outcomeDelay)
			}
		}
	}
	malformed := func(id string) bool { return id == "" || len(id) > maxJobIDBytes }
	if len(jobs)+len(r.Jobs) > 2*maxNamedJobs || slices.ContainsFunc(r.Jobs, malformed) {
		e.cfg.Log.Warn().Str("Owner", owner).Uint64("Request", r.Number).Int("Jobs", len(jobs)).Msg("WitnessRequestRefused")
		return // The owner turns to another host, if there is one.
	}
	for _, id := range r.Jobs {
		until, ok := jobs[id]
		j := e.jobs[id]
		waits := j != nil && j.owner == owner
		if waits {
			j.settled = false
		}
		switch {
		case r.Own:
			jobs[id] = time.Time{}
		case !waits && (!ok || !until.IsZero()):
			jobs[id] = now.Add(outcomeDelay) // Its caller has left.
		}
	}
	e.send(owner, message{Witnessed: r.Number})
}

// keepStartable remembers a job that its owner has lost or that is cancelled, unless it is
// settled (rule 7).
func (e *Entry) keepStartable(now time.Time, j *entryJob) {
	if j.owner == e.cfg.Self.Incarnation || j.settled {
		return
	}
	jobs := e.startableOf(j.owner)
	if until, ok := jobs[j.job.ID]; len(jobs) < maxNamedJobs && (!ok || !until.IsZero()) {
		jobs[j.job.ID] = now.Add(outcomeDelay)
	}
}

// forgetStartable forgets jobs of an owner that it has named (rule 4).
func (e *Entry) forgetStartable(owner string, jobs []string) {
	for _, id := range jobs {
		delete(e.remembered[owner], id)
	}
}

// tickStartable forgets the jobs that don't count any more.
func (e *Entry) tickStartable(now time.Time) {
	for owner, jobs := range e.remembered {
		maps.DeleteFunc(jobs, func(_ string, until time.Time) bool { return !until.IsZero() && !now.Before(until) })
		if len(jobs) == 0 {
			delete(e.remembered, owner)
		}
	}
}

// logStartable adds the jobs of a lost owner to the late-start log (rule 5).
func (e *Entry) logStartable(now time.Time, domain, owner string) {
	jobs := e.remembered[owner]
	delete(e.remembered, owner)
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		if until := jobs[id]; until.IsZero() || now.Before(until) {
			e.logLost(now, domain, owner, id)
		}
	}
}

// logLost adds a job of a lost owner to the late-start log.
func (e *Entry) logLost(now time.Time, domain, owner, id string) {
	e.cfg.Log.Info().Str("Job", id).Str("Owner", owner).Msg("JobMayStartLate")
	e.cfg.LateStarts.add(now, id, domain, owner, now.Add(lateStartTimeout))
}

// domainOf returns the failure domain of a host, empty if it isn't known.
func (e *Entry) domainOf(incarnation string) string {
	for _, c := range e.candidates {
		if c.Incarnation == incarnation {
			return c.FailureDomain
		}
	}
	return ""
}
