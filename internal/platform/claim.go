package platform

// Claims of submissions without a home token.
//
//  1. A submission is started only by the holder of its claim: an entry in a
//     journal value of the store with the holder's incarnation and a nonce
//     made for one attempt.
//  2. The id alone determines the key: its mint time gives the bucket and its
//     hash the partition. Every host meets the same id at the same key.
//  3. A claim is granted to an attempt when a compare-and-swap that contains
//     its entry is known to have succeeded, or when a read shows its nonce.
//  4. A read that does not show the entry proves nothing, because a delayed
//     write may still land. The attempt then writes again at the version
//     read, after which the delayed write fails on its version.
//  5. An attempt that is given up is never granted, also when its write lands
//     later: the nonce dies with the attempt. An entry of this incarnation
//     whose nonce belongs to no live attempt starts nothing.
//  6. Keys form a fixed ring of buckets and are never deleted. A value names
//     the start of the time range that it holds, and the range only moves
//     forward. An id of an earlier range is refused by everyone.
//  7. One write is in flight for each key; attempts that arrive meanwhile
//     share the next one. Each partition has an even part of the write budget of
//     all hosts. As one host prefers to write a partition, the budget holds
//     whatever the number of hosts; while hosts disagree about who prefers it,
//     each of them may use the part.

import (
	"sort"
	"time"

	"github.com/google/uuid"
)

// The layout of the journal is fixed: if two hosts used different widths, they
// would meet the same id at different keys (rule 2).
const (
	claimPartitions    = 16
	claimBuckets       = 16
	claimBucketWidth   = time.Minute
	claimMaxValueBytes = 768 << 10
	claimEntryBytes    = 128
	claimRetryInterval = 200 * time.Millisecond
)

// ClaimRetention is the greatest age of an id that can be claimed. The ring
// has room for it, for ClaimSkew on both sides and for a bucket in reuse.
const ClaimRetention = 10 * time.Minute

// ClaimSkew is how far in the future an id may have been minted.
const ClaimSkew = time.Minute

// ClaimerConfig builds a Claimer.
type ClaimerConfig struct {
	// Incarnation and Address are those of this host.
	Incarnation, Address string
	// WritesPerSecond is the write budget of all hosts together.
	WritesPerSecond float64
	// Nonce returns a value that no other attempt has.
	Nonce func() uint64
}

// Claimer decides about claims. It is not safe for concurrent use.
type Claimer struct {
	cfg  ClaimerConfig
	keys map[ClaimKey]*claimKeyState
	// nextWrite is when each partition may be written again.
	nextWrite [claimPartitions]time.Time
}

type claimKeyState struct {
	key           ClaimKey
	valueKnown    bool
	callInFlight  bool
	retryAt       time.Time
	value         ClaimJournal
	version       uint64
	waiting       []*claimAttempt
	writing       []*claimAttempt
	valueInFlight ClaimJournal
}

type claimAttempt struct {
	id            uuid.UUID
	bucketStartMs int64
	nonce         uint64
	deadline      time.Time
}

// ClaimOutcome is the end of an attempt.
type ClaimOutcome uint8

const (
	// ClaimGranted means that this host is the home and starts the submission.
	ClaimGranted ClaimOutcome = iota + 1
	// ClaimHeldElsewhere means that another incarnation is the home.
	ClaimHeldElsewhere
	// ClaimHeldLocally means that another attempt of this incarnation owns the id. If
	// this host does not hold the submission, that attempt was given up:
	// nobody has started the submission and nobody ever will.
	ClaimHeldLocally
	// ClaimAbandoned means that the store did not settle the claim in time.
	// This host will start nothing under it.
	ClaimAbandoned
	// ClaimTooOld means that the id is older than what the journal holds.
	ClaimTooOld
	// ClaimTooNew means that the id was minted too far in the future.
	ClaimTooNew
	// ClaimNotUUIDv7 means that the id has no mint time.
	ClaimNotUUIDv7
	// ClaimJournalFull means that the journal value has no room.
	ClaimJournalFull
)

// ClaimAction is what the service has to carry out: exactly one field is set.
type ClaimAction struct {
	Read   *ClaimRead
	Write  *ClaimWrite
	Result *ClaimResult
}

// ClaimRead asks for the value at a key.
type ClaimRead struct{ Key ClaimKey }

// ClaimWrite asks for a compare-and-swap.
type ClaimWrite struct {
	Key             ClaimKey
	ExpectedVersion uint64
	Value           ClaimJournal
}

// ClaimResult tells how an attempt ended. Holder is set if another
// incarnation holds the claim.
type ClaimResult struct {
	ID      uuid.UUID
	Nonce   uint64
	Outcome ClaimOutcome
	Holder  Claim
}

// NewClaimer returns a Claimer without claims.
func NewClaimer(c ClaimerConfig) *Claimer {
	return &Claimer{cfg: c, keys: map[ClaimKey]*claimKeyState{}}
}

// SetBudget changes the write budget of all hosts together.
func (c *Claimer) SetBudget(writesPerSecond float64) {
	c.cfg.WritesPerSecond = writesPerSecond
}

// StartAttempt begins an attempt to claim id, which is given up at deadline. It
// returns the nonce of the attempt.
func (c *Claimer) StartAttempt(now time.Time, id uuid.UUID, deadline time.Time) (uint64, []ClaimAction) {
	nonce := c.cfg.Nonce()
	if outcome := checkID(now, id); outcome != 0 {
		return nonce, []ClaimAction{{Result: &ClaimResult{ID: id, Nonce: nonce, Outcome: outcome}}}
	}
	key, bucketStartMs := ClaimKeyOf(id)
	s := c.keys[key]
	if s == nil {
		s = &claimKeyState{key: key}
		c.keys[key] = s
	}
	s.waiting = append(s.waiting, &claimAttempt{id, bucketStartMs, nonce, deadline})
	return nonce, c.advance(now, s)
}

func checkID(now time.Time, id uuid.UUID) ClaimOutcome {
	if id.Version() != 7 {
		return ClaimNotUUIDv7
	}
	age := time.Duration(now.UnixMilli()-mintTimeMs(id)) * time.Millisecond
	if age > ClaimRetention {
		return ClaimTooOld
	}
	if age < -ClaimSkew {
		return ClaimTooNew
	}
	return 0
}

// ReadDone delivers the value at a key; ok is false if the read failed.
func (c *Claimer) ReadDone(now time.Time, key ClaimKey, version uint64, value ClaimJournal, ok bool) []ClaimAction {
	s := c.keys[key]
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

// WriteResult is what is known of a compare-and-swap.
type WriteResult uint8

const (
	// WriteOutcomeUnknown means that the change may have taken effect or still may.
	WriteOutcomeUnknown WriteResult = iota
	// WriteDone means that the change has taken effect.
	WriteDone
	// WriteConflict means that the key had another version.
	WriteConflict
)

// WriteDone delivers the result of a write with the version that it made.
func (c *Claimer) WriteDone(now time.Time, key ClaimKey, result WriteResult, version uint64) []ClaimAction {
	s := c.keys[key]
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
			// An outage is not met with a stream of calls.
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

// Tick gives up attempts whose deadline has passed and retries what failed or
// had no budget. Call it every few milliseconds while claims are pending.
func (c *Claimer) Tick(now time.Time) []ClaimAction {
	var actions []ClaimAction
	for _, s := range c.sortedKeys() {
		actions = append(actions, s.abandonExpired(now)...)
		actions = append(actions, c.advance(now, s)...)
		if !s.callInFlight && len(s.waiting) == 0 && len(s.writing) == 0 {
			delete(c.keys, s.key)
		}
	}
	return actions
}

// Pending reports whether any attempt is open.
func (c *Claimer) Pending() bool { return len(c.keys) > 0 }

func (c *Claimer) sortedKeys() []*claimKeyState {
	list := make([]*claimKeyState, 0, len(c.keys))
	for _, s := range c.keys {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i].key, list[j].key
		return a.Bucket < b.Bucket || a.Bucket == b.Bucket && a.Partition < b.Partition
	})
	return list
}

// abandonExpired drops late attempts, those in the write in flight too (rule 5).
func (s *claimKeyState) abandonExpired(now time.Time) []ClaimAction {
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

// advance issues the next read or write of a key, if there is one.
func (c *Claimer) advance(now time.Time, s *claimKeyState) []ClaimAction {
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

// resolveFromValue ends the attempts that the value read already decides.
func (c *Claimer) resolveFromValue(s *claimKeyState) []ClaimAction {
	var actions []ClaimAction
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
			// A second attempt at the same id waits for the next value.
			remaining = append(remaining, a)
		default:
			scheduled[a.id] = true
			remaining = append(remaining, a)
		}
	}
	s.waiting = remaining
	return actions
}

// outcomeOf compares an entry that was read with the attempt (rules 3 and 5).
func (c *Claimer) outcomeOf(a *claimAttempt, held Claim) ClaimOutcome {
	if held.Incarnation != c.cfg.Incarnation {
		return ClaimHeldElsewhere
	}
	if held.Nonce == a.nonce {
		return ClaimGranted
	}
	return ClaimHeldLocally
}

// write builds the compare-and-swap for all open attempts of a key (rule 7).
func (c *Claimer) write(s *claimKeyState) ClaimAction {
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

// tryReserveWrite applies the budget to a partition (rule 7).
func (c *Claimer) tryReserveWrite(now time.Time, partition int) bool {
	if now.Before(c.nextWrite[partition]) {
		return false
	}
	interval := claimPartitions / c.cfg.WritesPerSecond
	c.nextWrite[partition] = now.Add(time.Duration(interval * float64(time.Second)))
	return true
}

func resultAction(a *claimAttempt, o ClaimOutcome, holder Claim) ClaimAction {
	return ClaimAction{Result: &ClaimResult{ID: a.id, Nonce: a.nonce, Outcome: o, Holder: holder}}
}
