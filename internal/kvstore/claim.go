package kvstore

// Claims of submissions.
//
// A submission is a job or a non-idempotent request of a caller. Its home is the one
// entry host that may start it (caller/home.go). A claim decides which host that is if
// the submission's id, a UUIDv7, has no home token (a token that names the home). The
// claims of many ids are kept together in one value of the platform's key-value
// store, a journal (claimjournal.go). An attempt is one try of one host to claim an
// id. It is abandoned if its outcome is not known by its deadline.
//
//  1. Only the holder of the claim starts the submission. The claim is an entry
//     in a journal. It has the incarnation of the holder and a nonce that is
//     unique to the attempt.
//  2. The id alone determines the key of the journal: the timestamp of the id
//     gives the bucket, and the hash of the id gives the partition. All hosts
//     therefore look for an id at the same key. A bucket holds the ids of a time
//     range of claimBucketWidth.
//  3. A claim is granted to an attempt when a compare-and-swap that contains
//     its entry is known to have succeeded, or when a read shows its nonce.
//  4. A read that does not show the entry proves nothing, because a delayed
//     write may still be applied. The attempt therefore writes again, expecting
//     the version that it has read. If this write succeeds, the delayed write
//     fails because the version has changed.
//  5. An abandoned attempt is never granted, even if its write is applied later,
//     because no other attempt uses its nonce. An entry with the incarnation of
//     this host, but without the nonce of a pending attempt, starts nothing.
//  6. Keys form a fixed ring of buckets. They are reused, but never deleted. Each
//     journal holds the start of its time range, which only moves forward.
//     Every host rejects an id whose time range is earlier than that of the
//     journal, whatever its own clock says. The first claim of a later time range
//     replaces all claims of the earlier one.
//  7. At most one write per key is in flight. Attempts that arrive during a
//     write share the next one. Each partition gets an equal share of the write
//     budget of all hosts, WritesPerSecond. Usually a single host writes to a
//     partition (preferredWriter in package caller), so the number of hosts
//     doesn't change the total. While hosts disagree about which of them that
//     is, each of them may use the full share.

import (
	"sort"
	"time"

	"github.com/google/uuid"
)

// The layout of the journals is fixed: hosts with different bucket widths would
// look for the same id at different keys (rule 2).
const (
	// claimPartitions and claimBuckets are the numbers of keys by hash and by
	// timestamp.
	claimPartitions = 16
	claimBuckets    = 16
	// claimBucketWidth is the length of the time range of a bucket.
	claimBucketWidth = time.Minute
	// claimMaxValueBytes limits the size of a journal, which is estimated as
	// claimEntryBytes for each claim. It must stay below the size of a value in the
	// store, which is at most a megabyte (document.MaxBytes). The estimate covers a
	// claim with an address of up to 32 bytes; the rest of the megabyte is left for
	// longer ones.
	claimMaxValueBytes = 768 << 10
	claimEntryBytes    = 128
)

// claimRetryInterval is the delay before the next call for a journal after a failed
// one.
const claimRetryInterval = 200 * time.Millisecond

// ClaimRetention is the maximum age of an id that can be claimed. The ring of
// buckets covers this time, ClaimSkew before and after it, and the bucket that is
// being reused, since claimBuckets times claimBucketWidth is longer than all these
// together.
const ClaimRetention = 10 * time.Minute

// ClaimSkew is how far the timestamp of an id may be ahead of this host's clock.
const ClaimSkew = time.Minute

// ClaimerConfig holds the parameters of NewClaimer.
type ClaimerConfig struct {
	// Incarnation and Address identify this host in the claims that it writes.
	Incarnation, Address string
	// WritesPerSecond is the write budget of all hosts together.
	WritesPerSecond float64
	// Nonce returns a value that is unique to one attempt on any host.
	Nonce func() uint64
}

// Claimer is the state machine that claims submissions for this host. Its methods
// do no I/O: they return actions, and the caller performs them. It is not safe
// for concurrent use.
type Claimer struct {
	cfg ClaimerConfig
	// journals holds the journals that have pending attempts or calls.
	journals map[ClaimKey]*claimJournalState
	// nextWrite is the earliest time of the next write to each partition.
	nextWrite [claimPartitions]time.Time
}

// claimJournalState is what this host knows of one journal and its pending attempts.
type claimJournalState struct {
	key ClaimKey
	// valueKnown reports whether value and version are those of the last read
	// or write. A write that failed or met another version clears it.
	valueKnown bool
	// callInFlight reports whether a read or a write has no result yet.
	callInFlight bool
	// retryAt is the earliest time of the next call after one that failed.
	retryAt time.Time
	value   ClaimJournal
	version uint64
	// waiting holds the attempts that are in no write, writing those that the
	// write in flight contains.
	waiting []*claimAttempt
	writing []*claimAttempt
	// valueInFlight is the value of the write in flight.
	valueInFlight ClaimJournal
}

// claimAttempt is a pending attempt of this host.
type claimAttempt struct {
	id            uuid.UUID
	bucketStartMs int64
	nonce         uint64
	deadline      time.Time
}

// ClaimOutcome says how an attempt ended.
type ClaimOutcome uint8

const (
	// ClaimGranted means that this host is the home of the submission, and so
	// the host that starts it.
	ClaimGranted ClaimOutcome = iota + 1
	// ClaimHeldElsewhere means that another incarnation (another host or another run
	// of the process on this one) is the home.
	ClaimHeldElsewhere
	// ClaimHeldLocally means that another attempt of this incarnation holds the
	// claim. If that attempt was abandoned, no host has started the submission, and
	// none will.
	ClaimHeldLocally
	// ClaimAbandoned means that the outcome of the claim was not known by the
	// deadline of the attempt. This host starts nothing for it.
	ClaimAbandoned
	// ClaimTooOld means that the id is older than ClaimRetention or than the
	// time range of the journal.
	ClaimTooOld
	// ClaimTooNew means that the timestamp of the id is more than ClaimSkew in
	// the future.
	ClaimTooNew
	// ClaimNotUUIDv7 means that the id is not a UUIDv7, so it has no timestamp.
	ClaimNotUUIDv7
	// ClaimJournalFull means that the journal has no room for another claim.
	ClaimJournalFull
)

// ClaimAction is an action that the service performs for the Claimer. Exactly one
// field is set.
type ClaimAction struct {
	Read   *ClaimRead
	Write  *ClaimWrite
	Result *ClaimResult
}

// ClaimRead requests a read of the journal at a key. Its result goes to
// [Claimer.ReadDone].
type ClaimRead struct{ Key ClaimKey }

// ClaimWrite requests a compare-and-swap of the journal at a key. Its result goes
// to [Claimer.WriteDone].
type ClaimWrite struct {
	Key             ClaimKey
	ExpectedVersion uint64
	Value           ClaimJournal
}

// ClaimResult is the result of the attempt with the given nonce. Holder is set if
// Outcome is ClaimGranted, ClaimHeldElsewhere or ClaimHeldLocally and the known
// value of the journal showed the claim. It is not set if the attempt's own write is
// known to have been applied.
type ClaimResult struct {
	ID      uuid.UUID
	Nonce   uint64
	Outcome ClaimOutcome
	Holder  Claim
}

// NewClaimer returns a Claimer without pending attempts.
func NewClaimer(c ClaimerConfig) *Claimer {
	return &Claimer{cfg: c, journals: map[ClaimKey]*claimJournalState{}}
}

// SetBudget sets the write budget of all hosts together.
func (c *Claimer) SetBudget(writesPerSecond float64) {
	c.cfg.WritesPerSecond = writesPerSecond
}

// StartAttempt starts an attempt to claim id, which is abandoned at deadline. It
// returns the nonce of the attempt, which identifies its result.
func (c *Claimer) StartAttempt(now time.Time, id uuid.UUID, deadline time.Time) (uint64, []ClaimAction) {
	nonce := c.cfg.Nonce()
	if outcome := checkID(now, id); outcome != 0 {
		return nonce, []ClaimAction{{Result: &ClaimResult{ID: id, Nonce: nonce, Outcome: outcome}}}
	}
	key, bucketStartMs := ClaimKeyOf(id)
	s := c.journals[key]
	if s == nil {
		s = &claimJournalState{key: key}
		c.journals[key] = s
	}
	s.waiting = append(s.waiting, &claimAttempt{id, bucketStartMs, nonce, deadline})
	return nonce, c.advance(now, s)
}

// checkID returns why an id can't be claimed at all, or 0 if it can.
func checkID(now time.Time, id uuid.UUID) ClaimOutcome {
	if id.Version() != 7 {
		return ClaimNotUUIDv7
	}
	age := time.Duration(now.UnixMilli()-timestampMs(id)) * time.Millisecond
	if age > ClaimRetention {
		return ClaimTooOld
	}
	if age < -ClaimSkew {
		return ClaimTooNew
	}
	return 0
}

// ReadDone handles the result of a read. ok reports whether the read succeeded. If
// not, Tick retries it.
func (c *Claimer) ReadDone(now time.Time, key ClaimKey, version uint64, value ClaimJournal, ok bool) []ClaimAction {
	s := c.journals[key]
	if s == nil {
		return nil
	}
	s.callInFlight = false
	if !ok {
		s.retryAt = now.Add(claimRetryInterval)
		return nil
	}
	s.valueKnown, s.version, s.value = true, version, value
	return c.advance(now, s)
}

// WriteResult is what this host knows of the outcome of a compare-and-swap.
type WriteResult uint8

const (
	// WriteOutcomeUnknown means that the write may have been applied or may be
	// applied later.
	WriteOutcomeUnknown WriteResult = iota
	// WriteDone means that the write was applied.
	WriteDone
	// WriteConflict means that the write was not applied because the key had
	// another version.
	WriteConflict
)

// WriteDone handles the result of a write. version is the new version of the key
// if the write was applied.
func (c *Claimer) WriteDone(now time.Time, key ClaimKey, result WriteResult, version uint64) []ClaimAction {
	s := c.journals[key]
	if s == nil {
		return nil
	}
	s.callInFlight = false
	attempts := s.writing
	s.writing = nil
	if result != WriteDone {
		s.valueKnown = false
		s.waiting = append(attempts, s.waiting...)
		if result == WriteOutcomeUnknown {
			// Wait before the next call, so as not to flood a store that is failing.
			s.retryAt = now.Add(claimRetryInterval)
			return nil
		}
		return c.advance(now, s)
	}
	s.version, s.value = version, s.valueInFlight
	var actions []ClaimAction
	for _, a := range attempts {
		actions = append(actions, resultAction(a, ClaimGranted, Claim{}))
	}
	return append(actions, c.advance(now, s)...)
}

// Tick abandons attempts whose deadline has passed, and retries calls that failed
// or that the write budget delayed. The caller must call it every few
// milliseconds while Pending reports true.
func (c *Claimer) Tick(now time.Time) []ClaimAction {
	var actions []ClaimAction
	for _, s := range c.sortedJournals() {
		actions = append(actions, s.abandonExpired(now)...)
		actions = append(actions, c.advance(now, s)...)
		if !s.callInFlight && len(s.waiting) == 0 && len(s.writing) == 0 {
			delete(c.journals, s.key)
		}
	}
	return actions
}

// Pending reports whether any attempt or call is pending.
func (c *Claimer) Pending() bool { return len(c.journals) > 0 }

// sortedJournals returns the states in a fixed order, so that simulations are
// reproducible.
func (c *Claimer) sortedJournals() []*claimJournalState {
	list := make([]*claimJournalState, 0, len(c.journals))
	for _, s := range c.journals {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i].key, list[j].key
		return a.Bucket < b.Bucket || a.Bucket == b.Bucket && a.Partition < b.Partition
	})
	return list
}

// abandonExpired abandons the attempts whose deadline has passed, including those
// in the write in flight (rule 5).
func (s *claimJournalState) abandonExpired(now time.Time) []ClaimAction {
	var actions []ClaimAction
	filter := func(list []*claimAttempt) []*claimAttempt {
		kept := list[:0]
		for _, a := range list {
			if now.Before(a.deadline) {
				kept = append(kept, a)
				continue
			}
			actions = append(actions, resultAction(a, ClaimAbandoned, Claim{}))
		}
		return kept
	}
	s.waiting = filter(s.waiting)
	s.writing = filter(s.writing)
	return actions
}

// advance returns the next read or write of a key, if one is due, and the results
// of the attempts that the known value decides.
func (c *Claimer) advance(now time.Time, s *claimJournalState) []ClaimAction {
	if s.callInFlight || len(s.waiting) == 0 || now.Before(s.retryAt) {
		return nil
	}
	if !s.valueKnown {
		s.callInFlight = true
		return []ClaimAction{{Read: &ClaimRead{s.key}}}
	}
	actions := c.resolveFromValue(s)
	if len(s.waiting) == 0 || !c.tryReserveWrite(now, s.key.Partition) {
		return actions
	}
	return append(actions, c.write(s))
}

// resolveFromValue removes the waiting attempts that the known value decides and
// returns their results. The value must be known.
func (c *Claimer) resolveFromValue(s *claimJournalState) []ClaimAction {
	var actions []ClaimAction
	// Attempts for the newest time range win, because the write starts the journal
	// anew if that range is later than the journal's (rule 6).
	newestStartMs := s.value.Start
	for _, a := range s.waiting {
		newestStartMs = max(newestStartMs, a.bucketStartMs)
	}
	capacity := (claimMaxValueBytes - len(s.value.Claims)*claimEntryBytes) / claimEntryBytes
	if newestStartMs > s.value.Start {
		capacity = claimMaxValueBytes / claimEntryBytes
	}
	var remaining []*claimAttempt
	scheduled := map[uuid.UUID]bool{}
	for _, a := range s.waiting {
		held, ok := s.value.find(a.id)
		switch {
		case a.bucketStartMs < newestStartMs:
			actions = append(actions, resultAction(a, ClaimTooOld, Claim{}))
		case ok && a.bucketStartMs == s.value.Start:
			actions = append(actions, resultAction(a, c.outcomeOf(a, held), held))
		case len(remaining) >= capacity:
			actions = append(actions, resultAction(a, ClaimJournalFull, Claim{}))
		case scheduled[a.id]:
			// A second attempt for the same id waits for the next value: the method
			// write defers it.
			remaining = append(remaining, a)
		default:
			scheduled[a.id] = true
			remaining = append(remaining, a)
		}
	}
	s.waiting = remaining
	return actions
}

// outcomeOf returns the outcome of an attempt whose id has the claim held in the
// journal (rules 3 and 5).
func (c *Claimer) outcomeOf(a *claimAttempt, held Claim) ClaimOutcome {
	if held.Incarnation != c.cfg.Incarnation {
		return ClaimHeldElsewhere
	}
	if held.Nonce == a.nonce {
		return ClaimGranted
	}
	return ClaimHeldLocally
}

// write returns the compare-and-swap for the waiting attempts of a key (rule 7).
// There must be at least one, and resolveFromValue must have left only attempts
// for one time range.
func (c *Claimer) write(s *claimJournalState) ClaimAction {
	next := ClaimJournal{Start: s.value.Start}
	if s.waiting[0].bucketStartMs > s.value.Start {
		next.Start = s.waiting[0].bucketStartMs
	} else {
		next.Claims = append(next.Claims, s.value.Claims...)
	}
	var deferred []*claimAttempt
	for _, a := range s.waiting {
		if _, ok := next.find(a.id); ok {
			deferred = append(deferred, a)
			continue
		}
		next.Claims = append(next.Claims, Claim{a.id, c.cfg.Incarnation, c.cfg.Address, a.nonce})
		s.writing = append(s.writing, a)
	}
	s.waiting = deferred
	s.callInFlight = true
	s.valueInFlight = next
	return ClaimAction{Write: &ClaimWrite{s.key, s.version, next}}
}

// tryReserveWrite reports whether the budget permits a write to a partition now,
// and charges the write to the budget if so (rule 7).
func (c *Claimer) tryReserveWrite(now time.Time, partition int) bool {
	if now.Before(c.nextWrite[partition]) {
		return false
	}
	interval := claimPartitions / c.cfg.WritesPerSecond
	c.nextWrite[partition] = now.Add(time.Duration(interval * float64(time.Second)))
	return true
}

// resultAction returns the action that delivers the result of an attempt.
func resultAction(a *claimAttempt, o ClaimOutcome, holder Claim) ClaimAction {
	return ClaimAction{Result: &ClaimResult{ID: a.id, Nonce: a.nonce, Outcome: o, Holder: holder}}
}
