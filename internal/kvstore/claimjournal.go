package kvstore

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
)

// The rules cited here are those of claim.go.

// ClaimKey identifies a journal by its bucket and its partition (rule 2).
type ClaimKey struct{ Bucket, Partition int }

// Key returns the key of the journal in the store for an environment.
func (k ClaimKey) Key(environment string) string {
	return fmt.Sprintf("Claims/%s/%02d/%02d", environment, k.Bucket, k.Partition)
}

// Claim is an entry of a journal. It records the attempt that holds the claim of
// the submission ID: its nonce, and the incarnation and address of its host.
type Claim struct {
	ID          uuid.UUID
	Incarnation string
	Address     string
	Nonce       uint64
}

// ClaimJournal is the value at a claim key: the claims of the ids of one bucket and
// one partition.
type ClaimJournal struct {
	// Start is the start of the time range of the bucket, in Unix milliseconds.
	// The journal holds claims of ids with timestamps in this range.
	Start  int64
	Claims []Claim
}

// find returns the claim of id, and whether there is one.
func (j *ClaimJournal) find(id uuid.UUID) (Claim, bool) {
	for _, c := range j.Claims {
		if c.ID == id {
			return c, true
		}
	}
	return Claim{}, false
}

// ClaimKeyOf returns the key of the journal for an id, and the start of the time
// range of its bucket in Unix milliseconds (rule 2).
func ClaimKeyOf(id uuid.UUID) (ClaimKey, int64) {
	widthMs := claimBucketWidth.Milliseconds()
	bucketNumber := timestampMs(id) / widthMs
	return ClaimKey{
		Bucket:    int(bucketNumber % claimBuckets),
		Partition: int(xxhash.Sum64(id[:]) % claimPartitions),
	}, bucketNumber * widthMs
}

// timestampMs returns the timestamp of a UUIDv7 in Unix milliseconds.
func timestampMs(id uuid.UUID) int64 {
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms
}

// EncodeClaimJournal returns the CBOR encoding of a journal.
func EncodeClaimJournal(j ClaimJournal) ([]byte, error) {
	b, err := cbor.Marshal(j)
	if err != nil {
		return nil, fmt.Errorf("encode claim journal: %w", err)
	}
	return b, nil
}

// DecodeClaimJournal decodes a journal from CBOR. It returns an empty journal if b
// is empty, which is the value of a key that was never written.
func DecodeClaimJournal(b []byte) (ClaimJournal, error) {
	var j ClaimJournal
	if len(b) == 0 {
		return j, nil
	}
	if err := cbor.Unmarshal(b, &j); err != nil {
		return j, fmt.Errorf("decode claim journal: %w", err)
	}
	return j, nil
}
