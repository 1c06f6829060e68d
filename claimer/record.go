package claimer

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/garnetworks/garnetworks"
)

// The layout of the claims in the object API. Keys of another layout are not
// found, so a change needs a new prefix and a time of Retention with both.
const (
	// Prefix is the beginning of all keys of the layout.
	Prefix = "claims/v1/"
	// Shards is the number of objects that take changes.
	Shards = 16
	// Buckets is the number of objects behind each shard.
	Buckets = 64
)

// Digest is a truncated SHA-256 hash.
type Digest [16]byte

// KeyDigest returns the digest that stands for a workspace's key for a service.
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

// Bucket returns the number of the bucket, within the shard, for the key.
func (d Digest) Bucket() int { return int(binary.BigEndian.Uint16(d[2:4])) % Buckets }

func compareDigests(a, b Digest) int { return bytes.Compare(a[:], b[:]) }

// State is the state of a record; a higher one is further on (rule C3).
type State uint8

const (
	// StateClaimed means that a call has the key and may run until Until.
	StateClaimed State = iota + 1
	// StateUnknown means that the call may have run and its answer is not known.
	StateUnknown
	// StateCompleted means that the call ran and its answer came whole.
	StateCompleted
	// StateReleased means that the call is proven not to have run, so that the
	// key is free.
	StateReleased
)

// Record is what is kept of one key.
type Record struct {
	_   struct{} `cbor:",toarray"`
	Key Digest
	// Body is the digest of the call's body hash.
	Body Digest
	// Call is the call that has claimed the key in this epoch.
	Call garnetworks.CallID
	// Epoch counts the claims of the key from 1; it never decreases.
	Epoch uint32
	State State
	// Until is when the call has ended at the latest, in Unix milliseconds.
	Until int64
	// Changed is when the state was entered, by the writer's clock, in Unix
	// milliseconds.
	Changed int64
	// Answer is meaningful if State is StateCompleted.
	Answer Answer
	// Stopped are the newest other calls, stoppedKept at most, that have given
	// up their claims of the key: a late copy of such a claim is refused.
	Stopped []garnetworks.CallID
}

// maxStopped bounds Record.Stopped. Only claims that were given up within the
// seconds that a copy can be held up on its way matter.
const maxStopped = 8

// AnswerForm says where a completed call's answer is.
type AnswerForm uint8

const (
	// AnswerDropped means that the answer was not kept.
	AnswerDropped AnswerForm = iota
	// AnswerInline means that the answer is in the record.
	AnswerInline
	// AnswerStored means that the answer is an object of its own.
	AnswerStored
)

// Answer is a recorded answer or the way to it.
type Answer struct {
	_           struct{} `cbor:",toarray"`
	Form        AnswerForm
	Status      int
	ContentType string
	Body        []byte
	// Revision is the revision of the object if Form is AnswerStored.
	Revision garnetworks.Revision
}

// merge returns the copy of a record that is further on (rule C3).
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

// expired reports whether the record can be forgotten (rule C10).
func (r *Record) expired(now time.Time, retention time.Duration) bool {
	return now.UnixMilli() > max(r.Until, r.Changed)+retention.Milliseconds()
}

// settled reports whether the record may move to its bucket: its state is not
// expected to change again.
func (r *Record) settled(now time.Time) bool {
	if r.State == StateClaimed {
		return now.UnixMilli() > r.Until+settleDelay.Milliseconds()
	}
	return now.UnixMilli() > r.Changed+settleDelay.Milliseconds()
}

// settleDelay is how long a settled record stays in its shard, where replays that
// follow at once find it without a second read.
const settleDelay = time.Minute

// size estimates the record's encoded bytes from above.
func (r *Record) size() int {
	const fixed = 96
	total := fixed + len(r.Call) + len(r.Answer.ContentType) + len(r.Answer.Body)
	for _, call := range r.Stopped {
		total += 2 + len(call)
	}
	return total
}
