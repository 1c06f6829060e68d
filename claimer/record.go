package claimer

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Layout of the claims in the object API. Keys of another layout are not found, so a change
// requires a new prefix, and reading both for the duration of Retention.
const (
	// Prefix is the prefix of all keys of the layout.
	Prefix = "claims/v1/"
	// Shards is the number of objects that receive changes.
	Shards = 16
	// Buckets is the number of bucket objects of each shard.
	Buckets = 64
)

// Digest is a truncated SHA-256 hash.
type Digest [16]byte

// KeyDigest returns the digest of a workspace's idempotency key for a service.
func KeyDigest(workspace garnetworks.WorkspaceName, service garnetworks.ServiceName, key string) Digest {
	h := sha256.New()
	for _, part := range []string{string(workspace), string(service), key} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	return truncate([32]byte(h.Sum(nil)))
}

func truncate(hash [32]byte) Digest { return Digest(hash[:16]) }

// Shard returns the number of the shard that holds the key.
func (d Digest) Shard() int { return int(binary.BigEndian.Uint16(d[0:2])) % Shards }

// Bucket returns the number of the key's bucket within the shard.
func (d Digest) Bucket() int { return int(binary.BigEndian.Uint16(d[2:4])) % Buckets }

func compareDigests(a, b Digest) int { return bytes.Compare(a[:], b[:]) }

// State is the state of a record; higher values are later states (rule C3).
type State uint8

const (
	// StateClaimed means that a call holds the key and may run until Until.
	StateClaimed State = iota + 1
	// StateUnknown means that the call may have run and its answer is not known.
	StateUnknown
	// StateCompleted means that the call ran and its answer was received in full.
	StateCompleted
	// StateReleased means that the call is proven not to have run, so the key is free.
	StateReleased
)

// Record is the stored state of one key.
type Record struct {
	_   struct{} `cbor:",toarray"`
	Key Digest
	// Body is the digest of the call's body hash.
	Body Digest
	// Call is the call that claimed the key in this epoch.
	Call garnetworks.CallID
	// Epoch counts the claims of the key from 1; it never decreases.
	Epoch uint32
	State State
	// Until is the latest time at which the call ends, in Unix milliseconds.
	Until int64
	// Changed is when the state was entered, by the writer's clock, in Unix milliseconds.
	Changed int64
	// Answer is valid if State is StateCompleted.
	Answer Answer
	// Stopped are the newest other calls, at most maxStopped, that have given up their
	// claims of the key; delayed copies of such claims are refused.
	Stopped []garnetworks.CallID
}

// maxStopped limits Record.Stopped. A call needs to be kept only as long as a copy of its
// claim can be delayed, which is seconds.
const maxStopped = 8

// AnswerForm is how a completed call's answer is stored.
type AnswerForm uint8

const (
	// AnswerDropped means that the answer was not stored.
	AnswerDropped AnswerForm = iota
	// AnswerInline means that the answer is in the record.
	AnswerInline
	// AnswerStored means that the answer is an object of its own.
	AnswerStored
)

// Answer is a recorded answer or a reference to it.
type Answer struct {
	_           struct{} `cbor:",toarray"`
	Form        AnswerForm
	Status      int
	ContentType string
	Body        []byte
	// Revision is the revision of the object if Form is AnswerStored.
	Revision garnetworks.Revision
}

// merge returns the copy of a record with the higher epoch, then the later state (rule C3).
func merge(a, b Record) Record {
	if a.Epoch != b.Epoch {
		if a.Epoch > b.Epoch {
			return a
		}
		return b
	}
	if b.State > a.State {
		return b
	}
	return a
}

// expired reports whether the record may be deleted (rule C10).
func (r *Record) expired(now time.Time, retention time.Duration) bool {
	return now.UnixMilli() > max(r.Until, r.Changed)+retention.Milliseconds()
}

// settled reports whether the record may move to its bucket, because its state is not
// expected to change again.
func (r *Record) settled(now time.Time) bool {
	if r.State == StateClaimed {
		return now.UnixMilli() > r.Until+settleDelay.Milliseconds()
	}
	return now.UnixMilli() > r.Changed+settleDelay.Milliseconds()
}

// settleDelay is how long an unchanged record stays in its shard, where retries that follow
// soon find it without reading the bucket.
const settleDelay = time.Minute

// size returns an upper estimate of the record's encoded bytes.
func (r *Record) size() int {
	const fixed = 96
	total := fixed + len(r.Call) + len(r.Answer.ContentType) + len(r.Answer.Body)
	for _, call := range r.Stopped {
		total += 2 + len(call)
	}
	return total
}
