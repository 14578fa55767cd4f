package platform

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
)

// The rules cited here are those of claim.go.

// ClaimKey names one journal value.
type ClaimKey struct{ Bucket, Partition int }

// Key returns the store key of the journal value in an environment.
func (k ClaimKey) Key(environment string) string {
	return fmt.Sprintf("Claims/%s/%02d/%02d", environment, k.Bucket, k.Partition)
}

// Claim is an entry of the journal: which attempt owns a submission.
type Claim struct {
	ID          uuid.UUID
	Incarnation string
	Address     string
	Nonce       uint64
}

// ClaimJournal is the value at a claim key.
type ClaimJournal struct {
	// Start is the first mint time that the value holds, in Unix milliseconds.
	Start  int64
	Claims []Claim
}

// find returns the claim of id.
func (j *ClaimJournal) find(id uuid.UUID) (Claim, bool) {
	for _, c := range j.Claims {
		if c.ID == id {
			return c, true
		}
	}
	return Claim{}, false
}

// ClaimKeyOf returns the key of an id and the start of its bucket (rule 2).
func ClaimKeyOf(id uuid.UUID) (ClaimKey, int64) {
	widthMs := claimBucketWidth.Milliseconds()
	bucketNumber := mintTimeMs(id) / widthMs
	return ClaimKey{
		Bucket:    int(bucketNumber % claimBuckets),
		Partition: int(xxhash.Sum64(id[:]) % claimPartitions),
	}, bucketNumber * widthMs
}

// mintTimeMs returns the mint time of a UUIDv7 in Unix milliseconds.
func mintTimeMs(id uuid.UUID) int64 {
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms
}

// EncodeClaimJournal returns the bytes of a journal value.
func EncodeClaimJournal(j ClaimJournal) ([]byte, error) {
	b, err := cbor.Marshal(j)
	if err != nil {
		return nil, fmt.Errorf("encode claim journal: %w", err)
	}
	return b, nil
}

// DecodeClaimJournal reads a journal value. No bytes make an empty journal.
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
