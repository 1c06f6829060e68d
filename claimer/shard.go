package claimer

import (
	"cmp"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/garnetworks/garnetworks"
	"github.com/pkg/errors"
)

// Sizes of objects in bytes, below garnetworks.MaxObjectBytes.
const (
	// shardTargetBytes is the size above which a shard moves records to its buckets. It
	// limits the bytes written by each group commit.
	shardTargetBytes = 128 << 10
	// shardMaxClaimBytes is the size above which a shard refuses new claims (rule C11).
	shardMaxClaimBytes = 640 << 10
	// shardMaxBytes is the size above which answers are dropped from completions.
	shardMaxBytes = 960 << 10
	// bucketMaxBytes is the size above which a bucket drops its oldest answers. If that does
	// not free enough space, it accepts no more records.
	bucketMaxBytes = 960 << 10
	// MaxInlineAnswer is the largest body and content type that is stored in the record.
	MaxInlineAnswer = 4 << 10
	// MaxStoredAnswer is the largest body and content type that is stored at all.
	MaxStoredAnswer = garnetworks.MaxObjectBytes - 4<<10
)

// Shard is the aggregate that decides which call gets each key of its range. It performs no
// I/O; a changed shard is written on the condition that its object has not changed.
type Shard struct {
	_ struct{} `cbor:",toarray"`
	// Number is below Shards.
	Number int
	// Records are sorted by Key, which is unique.
	Records []Record
	// Marks hold the minimum revision of each bucket's object that a reader of this shard
	// must have read (rule C9); they never decrease.
	Marks [Buckets]garnetworks.Revision
}

// Bucket holds settled records.
type Bucket struct {
	_ struct{} `cbor:",toarray"`
	// Records are sorted by Key, which is unique.
	Records []Record
}

// OpKind is the kind of an operation.
type OpKind uint8

const (
	// OpClaim claims a key.
	OpClaim OpKind = iota + 1
	// OpComplete records an answer.
	OpComplete
	// OpUnknown records that the outcome is not known.
	OpUnknown
	// OpRelease records that the call did not run.
	OpRelease
)

// Op is an operation on one key.
type Op struct {
	_    struct{} `cbor:",toarray"`
	Kind OpKind
	Key  Digest
	Body Digest
	Call garnetworks.CallID
	// Until is the claim's end in Unix milliseconds.
	Until int64
	// Answer is set for OpComplete.
	Answer Answer
}

// Verdict is the result of an operation. It is valid once the shard that Apply returned is
// proven to be in the store, or if the shard did not change.
type Verdict uint8

const (
	// VerdictGranted grants the key to the call.
	VerdictGranted Verdict = iota + 1
	// VerdictRecorded returns the first call's answer.
	VerdictRecorded
	// VerdictInProgress means that another call holds the key and may still run.
	VerdictInProgress
	// VerdictUnknown means that a call held the key and may have run.
	VerdictUnknown
	// VerdictKeyReused means that the key was used with another body.
	VerdictKeyReused
	// VerdictReleased means that the call has ended or has given its claim up.
	VerdictReleased
	// VerdictFull means that the shard accepts no new claims.
	VerdictFull
	// VerdictDone means that a completion, unknown or release is in effect.
	VerdictDone
	// VerdictSuperseded means that the record belongs to another call, so that a completion
	// or unknown was not applied.
	VerdictSuperseded
)

// Result is a verdict with the record that it is based on.
type Result struct {
	_       struct{} `cbor:",toarray"`
	Verdict Verdict
	Record  Record
}

// Lookup finds a record in the buckets, read at revisions of at least Marks.
type Lookup func(key Digest) (Record, bool)

// transaction applies operations to a copy of a shard.
type transaction struct {
	shard   *Shard
	lookup  Lookup
	now     time.Time
	bytes   int
	changed bool
}

// Apply applies operations in order. It returns the resulting shard, the results, and whether
// the shard has changed. It does not modify s.
func (s *Shard) Apply(now time.Time, lookup Lookup, ops []Op) (*Shard, []Result, bool) {
	next := *s
	next.Records = slices.Clone(s.Records)
	d := &transaction{shard: &next, lookup: lookup, now: now, bytes: s.size()}
	results := make([]Result, len(ops))
	for i := range ops {
		results[i] = d.apply(&ops[i])
	}
	return &next, results, d.changed
}

func (d *transaction) apply(op *Op) Result {
	switch op.Kind {
	case OpClaim:
		return d.claim(op)
	case OpComplete:
		return d.recordOutcome(op, StateCompleted)
	case OpUnknown:
		return d.recordOutcome(op, StateUnknown)
	default:
		return d.release(op)
	}
}

// find returns the newest copy of the key's record.
func (d *transaction) find(key Digest) (Record, bool) {
	i, inShard := slices.BinarySearchFunc(d.shard.Records, key, compareKey)
	bucketRecord, inBucket := d.lookup(key)
	switch {
	case inShard && inBucket:
		return merge(d.shard.Records[i], bucketRecord), true
	case inShard:
		return d.shard.Records[i], true
	}
	return bucketRecord, inBucket
}

// claim applies an OpClaim.
func (d *transaction) claim(op *Op) Result {
	r, ok := d.find(op.Key)
	if !ok {
		return d.grant(op, &Record{})
	}
	if r.Call == op.Call {
		return Result{Verdict: sameCallVerdict(&r), Record: r}
	}
	if slices.Contains(r.Stopped, op.Call) {
		return Result{Verdict: VerdictReleased, Record: r} // rule C4
	}
	if r.State == StateReleased {
		return d.grant(op, &r)
	}
	return Result{Verdict: otherCallVerdict(&r, op, d.now), Record: r}
}

// grant gives the key to the call, after a released record or the zero one, if the call has
// not ended (rule C6) and there is room (rule C11).
func (d *transaction) grant(op *Op, before *Record) Result {
	if d.now.UnixMilli() >= op.Until {
		return Result{Verdict: VerdictReleased}
	}
	if d.bytes > shardMaxClaimBytes {
		return Result{Verdict: VerdictFull}
	}
	r := Record{
		Key: op.Key, Body: op.Body, Call: op.Call, Epoch: before.Epoch + 1, State: StateClaimed,
		Until: op.Until, Changed: d.now.UnixMilli(),
	}
	if before.Epoch > 0 {
		r.Stopped = appendStopped(before.Stopped, before.Call) // rule C4
	}
	d.put(r)
	return Result{Verdict: VerdictGranted, Record: r}
}

// sameCallVerdict returns the verdict on a claim whose call already has the record: the
// operation was applied before (rule C2).
func sameCallVerdict(r *Record) Verdict {
	switch r.State {
	case StateClaimed:
		return VerdictGranted
	case StateCompleted:
		return VerdictRecorded
	case StateReleased:
		return VerdictReleased // rule C4
	default:
		return VerdictUnknown
	}
}

// otherCallVerdict returns the verdict on a claim if another call has the record.
func otherCallVerdict(r *Record, op *Op, now time.Time) Verdict {
	switch {
	case r.Body != op.Body:
		return VerdictKeyReused
	case r.State == StateCompleted:
		return VerdictRecorded
	case r.State == StateClaimed && now.UnixMilli() < r.Until:
		return VerdictInProgress
	default:
		return VerdictUnknown // rule C6
	}
}

// recordOutcome applies an OpComplete or OpUnknown. A missing record is created again: the
// call may have run, and the key must not be free.
func (d *transaction) recordOutcome(op *Op, state State) Result {
	r, ok := d.find(op.Key)
	if !ok {
		r = Record{Key: op.Key, Body: op.Body, Call: op.Call, Epoch: 1, Until: op.Until}
	}
	if r.Call != op.Call {
		return Result{Verdict: VerdictSuperseded, Record: r}
	}
	if r.State >= state {
		return Result{Verdict: VerdictDone, Record: r}
	}
	r.State = state
	r.Changed = d.now.UnixMilli()
	r.Answer = op.Answer
	if r.Answer.Form == AnswerInline && d.bytes+r.size() > shardMaxBytes {
		r.Answer = Answer{Form: AnswerDropped} // rule C11
	}
	d.put(r)
	return Result{Verdict: VerdictDone, Record: r}
}

// release applies an OpRelease. A missing record is created, so that the claim's own write is
// refused if it arrives later (rule C4).
func (d *transaction) release(op *Op) Result {
	r, ok := d.find(op.Key)
	if !ok {
		r = Record{Key: op.Key, Body: op.Body, Call: op.Call, Epoch: 1, Until: op.Until}
	}
	if r.Call != op.Call {
		return d.stopCall(op, r)
	}
	if ok && r.State != StateClaimed {
		return Result{Verdict: VerdictDone, Record: r}
	}
	r.State = StateReleased
	r.Changed = d.now.UnixMilli()
	d.put(r)
	return Result{Verdict: VerdictDone, Record: r}
}

// stopCall records that a call has given up a key whose record belongs to another call. This
// changes the shard, so that a pending write of the claim under the same condition fails, and
// it outlasts the other call's release, so that a delayed copy of the claim is refused.
func (d *transaction) stopCall(op *Op, r Record) Result {
	if slices.Contains(r.Stopped, op.Call) {
		return Result{Verdict: VerdictDone, Record: r}
	}
	r.Stopped = appendStopped(r.Stopped, op.Call)
	d.put(r)
	return Result{Verdict: VerdictDone, Record: r}
}

// appendStopped adds a call to the stopped calls and drops the oldest above maxStopped.
func appendStopped(stopped []garnetworks.CallID, call garnetworks.CallID) []garnetworks.CallID {
	kept := stopped[max(0, len(stopped)-maxStopped+1):]
	return append(slices.Clone(kept), call)
}

// put replaces or adds a record.
func (d *transaction) put(r Record) {
	d.changed = true
	i, ok := slices.BinarySearchFunc(d.shard.Records, r.Key, compareKey)
	if ok {
		d.bytes += r.size() - d.shard.Records[i].size()
		d.shard.Records[i] = r
		return
	}
	d.bytes += r.size()
	d.shard.Records = slices.Insert(d.shard.Records, i, r)
}

func compareKey(r Record, key Digest) int { return compareDigests(r.Key, key) }

// size returns an upper estimate of the shard's encoded bytes.
func (s *Shard) size() int {
	const fixed = 16 + Buckets*9
	return fixed + sizeOf(s.Records)
}

func sizeOf(records []Record) int {
	total := 0
	for i := range records {
		total += records[i].size()
	}
	return total
}

// FullestBucket returns the bucket with the most settled bytes in the shard, if the shard is
// above its target size.
func (s *Shard) FullestBucket(now time.Time) (int, bool) {
	if s.size() <= shardTargetBytes {
		return 0, false
	}
	var bytes [Buckets]int
	for i := range s.Records {
		if r := &s.Records[i]; r.settled(now) {
			bytes[r.Key.Bucket()] += r.size()
		}
	}
	fullest := 0
	for b := range bytes {
		if bytes[b] > bytes[fullest] {
			fullest = b
		}
	}
	return fullest, bytes[fullest] > 0
}

// ExpiryClock returns now, or the median Until of the shard's records if that is earlier. The
// Untils were set by the nodes that received the calls, so a committing node whose clock runs
// ahead does not expire records early; their keys would be free, and a retry would run the
// call again (rule C10).
func (s *Shard) ExpiryClock(now time.Time) time.Time {
	ends := make([]int64, len(s.Records))
	for i := range s.Records {
		ends[i] = s.Records[i].Until
	}
	if len(ends) == 0 {
		return now
	}
	slices.Sort(ends)
	median := time.UnixMilli(ends[len(ends)/2])
	if median.Before(now) {
		return median
	}
	return now
}

// Settled returns the settled records of a bucket that are still in the shard.
func (s *Shard) Settled(now time.Time, bucket int) []Record {
	var settled []Record
	for _, r := range s.Records {
		if r.Key.Bucket() == bucket && r.settled(now) {
			settled = append(settled, r)
		}
	}
	return settled
}

// Without returns the shard after the records were written to a bucket at the given revision.
// Records that have changed since stay (rule C9).
func (s *Shard) Without(bucket int, written []Record, revision garnetworks.Revision) *Shard {
	moved := make(map[Digest]Record, len(written))
	for _, r := range written {
		moved[r.Key] = r
	}
	next := *s
	next.Marks[bucket] = max(next.Marks[bucket], revision)
	next.Records = make([]Record, 0, len(s.Records))
	for _, r := range s.Records {
		w, ok := moved[r.Key]
		if ok && w.Epoch == r.Epoch && w.State == r.State {
			continue
		}
		next.Records = append(next.Records, r)
	}
	return &next
}

// Merge returns the bucket with the records merged in and expired ones removed, and the expired
// ones whose answers are separate objects. It returns false if the bucket would be full even
// without inline answers (rule C11).
func (b *Bucket) Merge(now time.Time, retention time.Duration, records []Record) (*Bucket, []Record, bool) {
	byKey := make(map[Digest]Record, len(b.Records)+len(records))
	for _, list := range [][]Record{b.Records, records} {
		for _, r := range list {
			if known, ok := byKey[r.Key]; ok {
				r = merge(known, r)
			}
			byKey[r.Key] = r
		}
	}
	next := &Bucket{}
	var expiredStored []Record
	for _, r := range byKey {
		switch {
		case !r.expired(now, retention):
			next.Records = append(next.Records, r)
		case r.Answer.Form == AnswerStored:
			expiredStored = append(expiredStored, r)
		}
	}
	slices.SortFunc(next.Records, func(a, b Record) int { return compareDigests(a.Key, b.Key) })
	return next, expiredStored, next.dropAnswers()
}

// dropAnswers drops inline answers, oldest first, and reports whether the bucket now fits.
func (b *Bucket) dropAnswers() bool {
	excess := sizeOf(b.Records) - bucketMaxBytes
	if excess <= 0 {
		return true
	}
	oldest := make([]*Record, len(b.Records))
	for i := range b.Records {
		oldest[i] = &b.Records[i]
	}
	slices.SortFunc(oldest, func(a, b *Record) int { return cmp.Compare(a.Changed, b.Changed) })
	for _, r := range oldest {
		if excess <= 0 {
			break
		}
		if r.Answer.Form != AnswerInline {
			continue
		}
		before := r.size()
		r.Answer = Answer{Form: AnswerDropped}
		excess -= before - r.size()
	}
	return excess <= 0
}

// Find returns the bucket's record of a key.
func (b *Bucket) Find(key Digest) (Record, bool) {
	i, ok := slices.BinarySearchFunc(b.Records, key, compareKey)
	if !ok {
		return Record{}, false
	}
	return b.Records[i], true
}

// encode returns the CBOR encoding of a stored or forwarded value.
func encode(v any) ([]byte, error) {
	value, err := cbor.Marshal(v)
	return value, errors.Wrap(err, "encode claims")
}

// decode decodes a value written by encode.
func decode(value []byte, v any) error {
	return errors.Wrap(cbor.Unmarshal(value, v), "decode claims")
}
